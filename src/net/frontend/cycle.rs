//! The context of one read, process and write cycle of a connection.

use super::service_status::ServiceStatus;
use crate::net::reactor::ConnectionId;
use crate::net::Context;

/// What one cycle needs from outside the connection.
pub(super) struct CycleContext<'a> {
    /// The ID of the connection.
    pub(super) id: ConnectionId,
    /// Whether queries are currently executed or rejected.
    pub(super) service: ServiceStatus,
    /// The state that all callbacks share.
    pub(super) context: &'a mut Context,
}

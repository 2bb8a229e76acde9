//! What one cycle of a connection, which reads, processes and writes, needs from outside the connection.

use super::service_status::ServiceStatus;
use crate::net::reactor::ConnectionId;
use crate::net::Context;

/// The surroundings of one cycle.
pub(super) struct Cycle<'a> {
    /// The connection.
    pub(super) id: ConnectionId,
    /// Whether queries are executed or rejected at present.
    pub(super) service: ServiceStatus,
    /// The state that all callbacks share.
    pub(super) context: &'a mut Context,
}

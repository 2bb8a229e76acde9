//! Whether the pooler can execute queries.

use crate::net::shutdown::Drain;

/// What all client connections have to know about the pooler.
#[derive(Clone, Copy, Default)]
pub(super) struct ServiceStatus {
    /// Set once there is an endpoint to which queries can be sent.
    pub(super) ready: bool,
    /// Set once the connections are drained for the shutdown.
    pub(super) drain: Option<Drain>,
}

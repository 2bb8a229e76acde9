//! Whether the pooler can execute queries.

use std::time::Instant;

use crate::net::shutdown::Drain;

/// What all client connections have to know about the pooler.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceStatus {
    is_ready: bool,
    drain: Option<Drain>,
}

impl ServiceStatus {
    /// Returns whether there is an endpoint to which queries can be sent.
    pub(super) fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Records that there is an endpoint to which queries can be sent.
    pub(super) fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// Returns whether the connections are drained for the shutdown.
    pub(super) fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Starts to drain the connections.
    pub(super) fn start_draining(&mut self, drain: Drain) {
        self.drain = Some(drain);
    }

    /// Returns the drain that rejects a query received at this instant, if one does.
    pub(super) fn rejecting_drain(&self, received_at: Instant) -> Option<Drain> {
        self.drain.filter(|drain| drain.rejects(received_at))
    }
}

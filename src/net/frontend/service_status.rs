//! Whether the pooler currently executes queries.

use std::time::Instant;

use crate::net::shutdown::Drain;

/// The state of the pooler that all client connections depend on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceStatus {
    is_ready: bool,
    drain: Option<Drain>,
}

impl ServiceStatus {
    /// Returns `true` if there is an endpoint to which queries can be sent.
    pub(super) fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Records that there is an endpoint to which queries can be sent.
    pub(super) fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// Returns the drain of the shutdown, if it has started.
    pub(super) fn drain(&self) -> Option<Drain> {
        self.drain
    }

    /// Returns `true` if the connections are being drained for the shutdown.
    pub(super) fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Starts to drain the connections.
    pub(super) fn start_draining(&mut self, drain: Drain) {
        self.drain = Some(drain);
    }

    /// Returns the drain if it rejects, at `now`, a query received at `received_at`.
    pub(super) fn rejecting_drain(&self, received_at: Instant, now: Instant) -> Option<Drain> {
        self.drain.filter(|drain| drain.rejects(received_at, now))
    }

    /// Returns `true` if no query may wait behind another any more, since the process may soon be killed.
    pub(super) fn is_waiting_over(&self, now: Instant) -> bool {
        self.drain.is_some_and(|drain| drain.is_waiting_over(now))
    }
}

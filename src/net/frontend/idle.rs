//! Closes connections that stay idle while many connections are open.
//!
//! Clients that keep a connection open after a single query would otherwise use up the connection limit.

use std::time::{Duration, Instant};

use super::connection::Connection;
use super::Frontend;
use crate::net::reactor::TimerEvent;
use crate::net::Context;

/// Interval between two sweeps for idle connections.
pub(super) const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Idle timeout while more than a quarter of the connection limit is in use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle timeout while more than half of the connection limit is in use.
const IDLE_TIMEOUT_CROWDED: Duration = Duration::from_millis(200);

impl Frontend {
    /// Closes the connections whose idle timeout has passed, those idle for longest first.
    pub fn close_idle(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        context.reactor.set_timer(now + IDLE_SWEEP_INTERVAL, TimerEvent::IdleSweep);
        // The timeout depends on how many connections are left.
        while let Some(timeout) = self.idle_timeout() {
            let has_timed_out = |connection: &Connection| connection.has_been_idle(timeout, now);
            let Some(id) = self.least_recently_active(has_timed_out) else { return };
            // Input that has arrived by now ends the idle time.
            self.ready(id, context);
            let Some(connection) = self.connections.get_mut(id) else { continue };
            if !has_timed_out(connection) {
                continue;
            }
            connection.start_closing(id, context);
            context.counters.idle_closed += 1;
            let result = connection.poll(id, self.service, context);
            self.finish_poll(id, result, context);
        }
    }

    /// Returns the idle timeout for the present number of connections, or none if they are few.
    fn idle_timeout(&self) -> Option<Duration> {
        let open =
            self.connections.iter().filter(|(_, connection)| !connection.state.phase().is_closing()).count();
        if open > self.max_connections / 2 {
            Some(IDLE_TIMEOUT_CROWDED)
        } else if open > self.max_connections / 4 {
            Some(IDLE_TIMEOUT)
        } else {
            None
        }
    }
}

impl Connection {
    /// Returns whether the connection has been idle for the timeout. Clients that have sent no query yet are
    /// left out: they have a deadline of their own.
    fn has_been_idle(&self, timeout: Duration, now: Instant) -> bool {
        self.state.has_queried() && self.is_idle() && now >= self.last_active + timeout
    }
}

//! Closes connections that stay idle while many connections are open.
//!
//! Clients that keep a connection open after a single query would otherwise use up the connection limit.

use std::time::Duration;

use super::session::Session;
use super::Frontend;
use crate::net::reactor::TimerEvent;
use crate::net::Context;

/// Interval between two sweeps for idle connections.
pub(super) const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Idle timeout while more than a quarter of the connection limit is in use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle timeout while more than half of the connection limit is in use.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

impl Frontend {
    /// Closes the connections whose idle timeout has passed, those idle for longest first.
    pub fn close_idle(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        context.reactor.set_timer(now + IDLE_SWEEP_INTERVAL, TimerEvent::IdleSweep);
        // The timeout depends on how many connections are left.
        while let Some(timeout) = idle_timeout(self.open_connections(), self.max_connections) {
            let has_timed_out = |session: &Session| session.has_been_idle(timeout, now);
            let Some(id) = self.least_recently_active(has_timed_out) else { return };
            // Input that has arrived by now ends the idle time.
            self.ready(id, context);
            let Some(connection) = self.connections.get_mut(id) else { continue };
            if !has_timed_out(connection.session()) {
                continue;
            }
            connection.start_closing(id, context);
            context.counters.idle_closed += 1;
            let result = connection.poll(id, self.service, context);
            self.finish_poll(id, result, context);
        }
    }

    /// Returns the number of connections that are not being closed.
    fn open_connections(&self) -> usize {
        let connections = self.connections.iter();
        connections.filter(|(_, connection)| !connection.session().phase().is_closing()).count()
    }
}

/// Returns the idle timeout while so many connections are open, or none if they are few.
fn idle_timeout(open_connections: usize, max_connections: usize) -> Option<Duration> {
    if open_connections > max_connections / 2 {
        Some(SHORT_IDLE_TIMEOUT)
    } else if open_connections > max_connections / 4 {
        Some(IDLE_TIMEOUT)
    } else {
        None
    }
}

#[cfg(test)]
mod tests;

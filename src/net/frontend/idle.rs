//! Selects the idle connections to close while many connections are open.
//!
//! Without this, clients that keep a connection open after a single query would use up the connection limit.

use std::time::{Duration, Instant};

use super::connection::ClientConnection;
use super::connections::ClientConnections;
use crate::net::reactor::ConnectionId;

/// Interval between two sweeps for idle connections.
pub(super) const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Idle timeout while more than a quarter of the connection limit is in use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle timeout while more than half of the connection limit is in use.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// A connection whose idle timeout has passed.
pub(super) struct IdleConnection {
    /// The ID of the connection.
    pub(super) id: ConnectionId,
    timeout: Duration,
}

impl IdleConnection {
    /// Returns the connection that has been idle for longest, if its idle timeout has passed. The timeout
    /// depends on the number of open connections.
    pub(super) fn find(connections: &ClientConnections, now: Instant) -> Option<IdleConnection> {
        let timeout = idle_timeout(connections.count_open(), connections.limit())?;
        let id = connections.least_recently_active(|client| client.has_been_idle_for(timeout, now))?;
        Some(IdleConnection { id, timeout })
    }

    /// Returns `true` if the connection, which the caller has looked up, has been idle for its timeout at
    /// `now`.
    pub(super) fn is_still_idle(&self, connection: &ClientConnection, now: Instant) -> bool {
        connection.has_been_idle_for(self.timeout, now)
    }
}

/// Returns the idle timeout for this number of open connections, or `None` if they are few.
fn idle_timeout(open_connections: usize, connection_limit: usize) -> Option<Duration> {
    if open_connections > connection_limit / 2 {
        Some(SHORT_IDLE_TIMEOUT)
    } else if open_connections > connection_limit / 4 {
        Some(IDLE_TIMEOUT)
    } else {
        None
    }
}

#[cfg(test)]
mod tests;

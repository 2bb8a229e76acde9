//! The open client connections and the connection limit: whether another one can be accepted, and which
//! existing connection it replaces.

use super::connection::ClientConnection;
use super::error::MustClose;
use super::protocol_state::Phase;
use super::session::Session;
use crate::net::reactor::{ConnectionId, ConnectionTable};

/// Whether the connection limit allows a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Capacity {
    /// The limit is not reached.
    Available,
    /// The limit is reached, but this connection can be evicted for a new one.
    Evict(ConnectionId),
    /// The limit is reached and no connection can be evicted.
    Exhausted,
}

/// The client connections, at most `limit` of them.
pub(super) struct ClientConnections {
    table: ConnectionTable<ClientConnection>,
    limit: usize,
}

impl ClientConnections {
    /// Creates an empty table for at most `limit` connections.
    pub(super) fn new(limit: usize) -> ClientConnections {
        ClientConnections { table: ConnectionTable::new(), limit }
    }

    /// Returns the maximum number of connections.
    pub(super) fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of connections.
    pub(super) fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns the number of connections that are not being closed.
    pub(super) fn count_open(&self) -> usize {
        self.table.iter().filter(|(_, connection)| !connection.session().phase().is_closing()).count()
    }

    /// Returns the connection with this ID, unless it was removed.
    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut ClientConnection> {
        self.table.get_mut(id)
    }

    /// Adds a connection. The caller must have checked the connection limit.
    pub(super) fn insert(&mut self, connection: ClientConnection) -> ConnectionId {
        self.table.insert(connection)
    }

    /// Closes the connection with this ID, unless it was removed, and logs the reason.
    pub(super) fn remove(&mut self, id: ConnectionId, reason: MustClose) {
        if self.table.remove(id).is_some() {
            tracing::info!(client = %id, %reason, "client connection closed");
        }
    }

    /// Returns the IDs of all connections.
    pub(super) fn ids(&self) -> Vec<ConnectionId> {
        self.find_all(|_| true)
    }

    /// Returns the IDs of the connections whose sessions match.
    pub(super) fn find_all(&self, matches: impl Fn(&Session) -> bool) -> Vec<ConnectionId> {
        let matching = self.table.iter().filter(|(_, connection)| matches(connection.session()));
        matching.map(|(id, _)| id).collect()
    }

    /// Returns the ID of the first connection whose session matches.
    pub(super) fn find(&self, matches: impl Fn(&Session) -> bool) -> Option<ConnectionId> {
        let mut connections = self.table.iter();
        connections.find(|(_, connection)| matches(connection.session())).map(|(id, _)| id)
    }

    /// Returns the ID of the matching connection that has been inactive for longest.
    pub(super) fn least_recently_active(
        &self,
        matches: impl Fn(&ClientConnection) -> bool,
    ) -> Option<ConnectionId> {
        self.table
            .iter()
            .filter(|(_, connection)| matches(connection))
            .min_by_key(|(_, connection)| connection.session().last_active_at())
            .map(|(id, _)| id)
    }

    /// Returns the capacity for a new connection. Half-closed connections are evicted before idle
    /// ones. A connection whose last response is not completely written is never evicted.
    pub(super) fn capacity(&self) -> Capacity {
        if self.len() < self.limit {
            return Capacity::Available;
        }
        let half_closed = self.least_recently_active(is_half_closed);
        let candidate = half_closed.or_else(|| self.least_recently_active(ClientConnection::is_idle));
        candidate.map_or(Capacity::Exhausted, Capacity::Evict)
    }

    /// Returns `true` if the connection with this ID can still be evicted for a new one.
    pub(super) fn is_evictable(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.table.get_mut(id) else { return false };
        is_half_closed(connection) || connection.is_idle()
    }
}

fn is_half_closed(connection: &ClientConnection) -> bool {
    connection.session().phase() == Phase::HalfClosed
}

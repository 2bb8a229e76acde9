//! Connection pool: the known endpoints, the connections to them, and the idle ones among these.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::close_reason::CloseReason;
use super::connection::BackendConnection;
use crate::endpoint_list::ListedEndpoint;
use crate::interface::{EndpointId, EndpointStatus, UpdateKind};
use crate::net::reactor::{ConnectionId, ConnectionTable};
use crate::time::ClusterInstant;

/// Maximum number of idle connections per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 48;
/// How long a removed endpoint is kept after an update last contained it; far longer than any deadline.
const REMOVED_ENDPOINT_RETENTION: Duration = Duration::from_secs(60);

/// An endpoint of the endpoint list.
struct PooledEndpoint {
    address: SocketAddr,
    /// When the endpoint last started; `None` if long ago.
    started_at: Option<ClusterInstant>,
    /// When an update last contained the endpoint, with any status.
    last_listed_at: Instant,
    /// The status in the endpoint list.
    status: EndpointStatus,
    /// Idle connections, most recently used last.
    idle: Vec<ConnectionId>,
}

impl PooledEndpoint {
    fn new(listed: &ListedEndpoint, now: Instant) -> PooledEndpoint {
        PooledEndpoint {
            address: listed.address,
            started_at: listed.started_at,
            last_listed_at: now,
            status: listed.status,
            idle: Vec::new(),
        }
    }

    fn is_removed(&self) -> bool {
        self.status == EndpointStatus::Removed
    }
}

/// All connections to endpoints.
pub(super) struct Pool {
    endpoints: HashMap<EndpointId, PooledEndpoint>,
    connections: ConnectionTable<BackendConnection>,
    max_connections: usize,
}

impl Pool {
    /// Creates a pool without endpoints that holds at most `max_connections` connections.
    pub fn new(max_connections: usize) -> Pool {
        Pool { endpoints: HashMap::new(), connections: ConnectionTable::new(), max_connections }
    }

    /// Applies an update of the endpoint list and returns the endpoints that stop serving with it. Closes
    /// unused connections to endpoints that have a new address, have restarted, drain or were removed: an
    /// endpoint that was cut off from the network leaves its connections open but never answers.
    pub fn update_endpoints(
        &mut self,
        kind: UpdateKind,
        update: &[ListedEndpoint],
        now: Instant,
    ) -> HashSet<EndpointId> {
        let mut no_longer_serving = self.serving_endpoints();
        if kind != UpdateKind::Delta {
            self.mark_all_removed();
        }
        for listed in update {
            self.update_endpoint(listed, now);
        }
        self.close_unused_connections_to_removed();
        self.forget_removed(now);
        for serving in self.serving_endpoints() {
            no_longer_serving.remove(&serving);
        }
        no_longer_serving
    }

    fn serving_endpoints(&self) -> HashSet<EndpointId> {
        let serving =
            self.endpoints.iter().filter(|(_, endpoint)| endpoint.status == EndpointStatus::Serving);
        serving.map(|(name, _)| name.clone()).collect()
    }

    fn mark_all_removed(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.status = EndpointStatus::Removed;
        }
    }

    fn close_unused_connections_to_removed(&mut self) {
        let unused = self.connections.iter().filter(|(_, connection)| connection.is_unused());
        let endpoint = |connection: &BackendConnection| self.endpoints.get(connection.endpoint());
        let is_removed = |connection| endpoint(connection).is_some_and(PooledEndpoint::is_removed);
        let ids: Vec<_> = unused.filter(|(_, connection)| is_removed(connection)).map(|(id, _)| id).collect();
        self.remove_all(ids, CloseReason::EndpointRemoved);
    }

    /// Drops removed endpoints that no update has contained for [`REMOVED_ENDPOINT_RETENTION`].
    fn forget_removed(&mut self, now: Instant) {
        self.endpoints.retain(|_, endpoint| {
            let unlisted = now.saturating_duration_since(endpoint.last_listed_at);
            !endpoint.is_removed() || unlisted < REMOVED_ENDPOINT_RETENTION
        });
    }

    /// Applies one entry of an update.
    fn update_endpoint(&mut self, listed: &ListedEndpoint, now: Instant) {
        let known = self.endpoints.entry(listed.name.clone());
        let endpoint = known.or_insert_with(|| PooledEndpoint::new(listed, now));
        let connections_are_stale = endpoint.address != listed.address
            || endpoint.started_at != listed.started_at
            || listed.status != EndpointStatus::Serving;
        endpoint.address = listed.address;
        endpoint.started_at = listed.started_at;
        endpoint.last_listed_at = now;
        endpoint.status = listed.status;
        if connections_are_stale {
            self.close_unused_connections(&listed.name, CloseReason::EndpointChanged);
        }
    }

    /// Returns the connections to these endpoints whose query is not completely sent.
    pub fn connections_with_unsent_query(&self, endpoints: &HashSet<EndpointId>) -> Vec<ConnectionId> {
        let is_unsent = |connection: &BackendConnection| {
            connection.has_unsent_query() && endpoints.contains(connection.endpoint())
        };
        let unsent = self.connections.iter().filter(|(_, connection)| is_unsent(connection));
        unsent.map(|(id, _)| id).collect()
    }

    /// Closes the connections to an endpoint that carry no exchange.
    pub fn close_unused_connections(&mut self, endpoint: &EndpointId, reason: CloseReason) {
        let unused = self.connections.iter().filter(|(_, connection)| connection.is_unused());
        let ids: Vec<_> =
            unused.filter(|(_, connection)| connection.endpoint() == endpoint).map(|(id, _)| id).collect();
        self.remove_all(ids, reason);
    }

    fn remove_all(&mut self, ids: Vec<ConnectionId>, reason: CloseReason) {
        for id in ids {
            self.remove(id, reason);
        }
    }

    /// Returns the address of an endpoint, if it is known.
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.endpoints.get(endpoint).map(|endpoint| endpoint.address)
    }

    /// Takes the most recently used usable idle connection to an endpoint. Closes the unusable ones that were
    /// used more recently.
    pub fn take_idle(&mut self, endpoint: &EndpointId) -> Option<ConnectionId> {
        let endpoint = self.endpoints.get_mut(endpoint)?;
        while let Some(id) = endpoint.idle.pop() {
            let Some(connection) = self.connections.get_mut(id) else { continue };
            if connection.is_usable() {
                return Some(id);
            }
            close(id, CloseReason::Unusable, &mut self.connections);
        }
        None
    }

    /// Returns the connection to an endpoint that has been synchronized for the shortest time, without an
    /// exchange that waits for it.
    pub fn find_synchronizing(&self, endpoint: &EndpointId) -> Option<ConnectionId> {
        let synchronizing = self.connections.iter().filter(|(_, connection)| {
            connection.is_unused() && !connection.is_idle() && connection.endpoint() == endpoint
        });
        synchronizing.max_by_key(|(_, connection)| connection.state_deadline()).map(|(id, _)| id)
    }

    /// Returns `true` if a connection without an exchange may be reused: no input is left, its endpoint
    /// serves at the same address, and has fewer than [`MAX_IDLE_PER_ENDPOINT`] idle connections.
    pub fn is_reusable(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(id) else { return false };
        let Some(endpoint) = self.endpoints.get(connection.endpoint()) else { return false };
        connection.has_empty_buffers()
            && endpoint.status == EndpointStatus::Serving
            && endpoint.address == connection.address()
            && endpoint.idle.len() < MAX_IDLE_PER_ENDPOINT
    }

    /// Returns a synchronized connection to the pool, or closes it if it may not be reused. It then stays
    /// idle until `idle_deadline`.
    pub fn release(&mut self, id: ConnectionId, idle_deadline: Instant) {
        if !self.is_reusable(id) {
            self.remove(id, CloseReason::NotNeeded);
            return;
        }
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.set_idle(idle_deadline);
        if let Some(endpoint) = self.endpoints.get_mut(connection.endpoint()) {
            endpoint.idle.push(id);
        }
    }

    /// Ensures that one more connection can be opened, by closing an idle one if necessary. Returns `true` if
    /// not all connections are in use.
    pub fn ensure_capacity(&mut self) -> bool {
        self.connections.len() < self.max_connections || self.evict_idle()
    }

    /// Closes the connection without an exchange that would expire first. Returns `true` if there was one.
    fn evict_idle(&mut self) -> bool {
        let next_to_expire = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_unused())
            .min_by_key(|(_, connection)| connection.state_deadline())
            .map(|(id, _)| id);
        next_to_expire.is_some_and(|id| self.remove(id, CloseReason::Evicted).is_some())
    }

    /// Adds a connection in use.
    pub fn insert(&mut self, connection: BackendConnection) -> ConnectionId {
        self.connections.insert(connection)
    }

    /// Returns the connection with this ID, unless it was removed.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut BackendConnection> {
        self.connections.get_mut(id)
    }

    /// Removes a connection from the pool, whether idle or in use.
    pub fn remove(&mut self, id: ConnectionId, reason: CloseReason) -> Option<BackendConnection> {
        let connection = close(id, reason, &mut self.connections)?;
        if let Some(endpoint) = self.endpoints.get_mut(connection.endpoint()) {
            endpoint.idle.retain(|idle| *idle != id);
        }
        Some(connection)
    }
}

/// Removes a connection and logs why. It is closed when the caller drops it.
fn close(
    id: ConnectionId,
    reason: CloseReason,
    connections: &mut ConnectionTable<BackendConnection>,
) -> Option<BackendConnection> {
    let connection = connections.remove(id)?;
    tracing::info!(endpoint = %connection.endpoint(), connection = %id, %reason, "endpoint connection closed");
    Some(connection)
}

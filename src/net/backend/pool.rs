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

    fn close_idle_connections(
        &mut self,
        reason: CloseReason,
        connections: &mut ConnectionTable<BackendConnection>,
    ) {
        for id in self.idle.drain(..) {
            close(id, reason, connections);
        }
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
    /// idle connections to endpoints that have a new address, have restarted, drain or were removed: an
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
        self.close_idle_connections_to_removed();
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

    fn close_idle_connections_to_removed(&mut self) {
        for endpoint in self.endpoints.values_mut().filter(|endpoint| endpoint.is_removed()) {
            endpoint.close_idle_connections(CloseReason::EndpointRemoved, &mut self.connections);
        }
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
            self.close_idle_connections(&listed.name, CloseReason::EndpointChanged);
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

    /// Closes the idle connections to an endpoint.
    pub fn close_idle_connections(&mut self, endpoint: &EndpointId, reason: CloseReason) {
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else { return };
        endpoint.close_idle_connections(reason, &mut self.connections);
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

    /// Returns a connection to the pool for reuse. Closes it instead if it is out of sync, if its endpoint
    /// has a new address or was removed, or if the endpoint has [`MAX_IDLE_PER_ENDPOINT`] idle connections.
    pub fn release(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let endpoint = self
            .endpoints
            .get_mut(connection.endpoint())
            .filter(|_| connection.has_empty_buffers())
            .filter(|endpoint| !endpoint.is_removed() && endpoint.address == connection.address())
            .filter(|endpoint| endpoint.idle.len() < MAX_IDLE_PER_ENDPOINT);
        match endpoint {
            Some(endpoint) => endpoint.idle.push(id),
            None => drop(close(id, CloseReason::NotNeeded, &mut self.connections)),
        }
    }

    /// Ensures that one more connection can be opened, by closing an idle one if necessary. Returns `true` if
    /// not all connections are in use.
    pub fn ensure_capacity(&mut self) -> bool {
        self.connections.len() < self.max_connections || self.evict_idle()
    }

    /// Closes the idle connection that would expire first. Returns `true` if there was one.
    fn evict_idle(&mut self) -> bool {
        let next_to_expire = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_idle())
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

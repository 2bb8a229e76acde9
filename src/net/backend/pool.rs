//! The known database hosts, all connections to them, and which of these are idle.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::connection::Connection;
use crate::endpoint_list::ListedEndpoint;
use crate::interface::{EndpointId, EndpointStatus, UpdateKind};
use crate::net::reactor::{ConnectionId, ConnectionTable};

/// The most idle connections that are kept for one database host.
const MAX_IDLE_PER_HOST: usize = 48;
/// How long a host that has left the endpoint list stays known; far longer than any deadline.
const REMOVED_HOST_RETENTION: Duration = Duration::from_secs(60);

/// A database host of the endpoint list.
struct Host {
    address: SocketAddr,
    /// When it last started (Unix seconds on the clock of the database hosts).
    started_at: f64,
    /// When an update of the endpoint list last contained it, with whatever status.
    last_listed_at: Instant,
    /// Whether it has left the endpoint list.
    removed: bool,
    /// Whether it is listed as serving.
    takes_requests: bool,
    /// Connections that are ready for a query, the most recently used one last.
    idle: Vec<ConnectionId>,
}

impl Host {
    fn new(listed: &ListedEndpoint, now: Instant) -> Host {
        Host {
            address: listed.address,
            started_at: listed.started_at,
            last_listed_at: now,
            removed: false,
            takes_requests: true,
            idle: Vec::new(),
        }
    }
}

/// All connections to database hosts.
pub(super) struct Pool {
    hosts: HashMap<EndpointId, Host>,
    connections: ConnectionTable<Connection>,
    max_connections: usize,
}

impl Pool {
    /// A pool that knows no hosts yet and holds this many connections at most.
    pub fn new(max_connections: usize) -> Pool {
        Pool { hosts: HashMap::new(), connections: ConnectionTable::new(), max_connections }
    }

    /// Applies an update of the endpoint list. Idle connections to a host that has moved, restarted, begun to
    /// drain or left are closed: a host that was cut off leaves them open and silent. Returns the hosts that
    /// take no requests from now on.
    pub fn update_endpoints(
        &mut self,
        kind: UpdateKind,
        endpoints: &[ListedEndpoint],
        now: Instant,
    ) -> HashSet<EndpointId> {
        let mut leaving = self.serving_hosts();
        if kind != UpdateKind::Delta {
            for host in self.hosts.values_mut() {
                host.removed = true;
                host.takes_requests = false;
            }
        }
        for listed in endpoints {
            self.update_endpoint(listed, now);
        }
        for host in self.hosts.values_mut().filter(|host| host.removed) {
            for id in host.idle.drain(..) {
                self.connections.remove(id);
            }
        }
        self.hosts.retain(|_, host| {
            !host.removed || now.saturating_duration_since(host.last_listed_at) < REMOVED_HOST_RETENTION
        });
        for serving in self.serving_hosts() {
            leaving.remove(&serving);
        }
        leaving
    }

    fn serving_hosts(&self) -> HashSet<EndpointId> {
        let serving = self.hosts.iter().filter(|(_, host)| host.takes_requests);
        serving.map(|(name, _)| name.clone()).collect()
    }

    /// Applies one entry of an update.
    fn update_endpoint(&mut self, listed: &ListedEndpoint, now: Instant) {
        let host = self.hosts.entry(listed.name.clone()).or_insert_with(|| Host::new(listed, now));
        let connections_are_stale = host.address != listed.address
            || host.started_at != listed.started_at
            || listed.status != EndpointStatus::Serving;
        host.address = listed.address;
        host.started_at = listed.started_at;
        host.last_listed_at = now;
        host.removed = listed.status == EndpointStatus::Removed;
        host.takes_requests = listed.status == EndpointStatus::Serving;
        if connections_are_stale {
            self.close_idle_connections(&listed.name);
        }
    }

    /// The connections to these hosts whose query is not sent yet.
    pub fn unsent_to(&self, hosts: &HashSet<EndpointId>) -> Vec<ConnectionId> {
        let unsent = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.has_unsent_query() && hosts.contains(&connection.endpoint));
        unsent.map(|(id, _)| id).collect()
    }

    /// Closes the idle connections to a host.
    pub fn close_idle_connections(&mut self, endpoint: &EndpointId) {
        let Some(host) = self.hosts.get_mut(endpoint) else { return };
        for id in host.idle.drain(..) {
            self.connections.remove(id);
        }
    }

    /// The address of a host, if it is known.
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.hosts.get(endpoint).map(|host| host.address)
    }

    /// Takes the most recently used idle connection to a host, and closes those that are no longer usable.
    pub fn take_idle(&mut self, endpoint: &EndpointId) -> Option<ConnectionId> {
        let host = self.hosts.get_mut(endpoint)?;
        while let Some(id) = host.idle.pop() {
            let Some(connection) = self.connections.get_mut(id) else { continue };
            if connection.is_usable() {
                return Some(id);
            }
            self.connections.remove(id);
        }
        None
    }

    /// Keeps a connection for further use, or closes it if it is out of sync, if its host has moved or left,
    /// or if that host has enough idle connections.
    pub fn release(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let host = self
            .hosts
            .get_mut(&connection.endpoint)
            .filter(|_| connection.has_empty_buffers())
            .filter(|host| !host.removed && host.address == connection.address)
            .filter(|host| host.idle.len() < MAX_IDLE_PER_HOST);
        match host {
            Some(host) => host.idle.push(id),
            None => drop(self.connections.remove(id)),
        }
    }

    /// Makes sure that one more connection can be opened, if need be by closing an idle one. False if all
    /// connections are in use.
    pub fn make_room(&mut self) -> bool {
        self.connections.len() < self.max_connections || self.evict_idle()
    }

    /// Closes the idle connection that would expire first. False if there is none.
    fn evict_idle(&mut self) -> bool {
        let next_to_expire = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_idle())
            .min_by_key(|(_, connection)| connection.state_deadline)
            .map(|(id, _)| id);
        next_to_expire.is_some_and(|id| self.remove(id).is_some())
    }

    /// Adds a connection that is in use.
    pub fn insert(&mut self, connection: Connection) -> ConnectionId {
        self.connections.insert(connection)
    }

    /// The connection of this identifier, unless it has been removed.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(id)
    }

    /// Takes a connection out of the pool, be it idle or in use.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(id)?;
        if let Some(host) = self.hosts.get_mut(&connection.endpoint) {
            host.idle.retain(|idle| *idle != id);
        }
        Some(connection)
    }
}

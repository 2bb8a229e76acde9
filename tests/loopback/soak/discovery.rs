//! A discovery service that tells of drains and moves to another address.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::harness::*;

/// A service that has moved ends its connections after this time.
const OLD_ADDRESS_GRACE: Duration = Duration::from_millis(1500);
/// Latest time after a change at which queries to a draining host stop: 6 s until the change counts as told,
/// and 2 s of grace.
const DRAIN_LIMIT: Duration = Duration::from_secs(8);

/// A database host in the list. Clones share its status.
#[derive(Clone)]
pub struct ListedHost {
    pub name: &'static str,
    pub role: Role,
    zone: &'static str,
    address: SocketAddr,
    /// Since when it drains, if it does.
    draining_since: Arc<Mutex<Option<Instant>>>,
    late_queries: Arc<Mutex<Vec<String>>>,
}

impl ListedHost {
    pub fn new(name: &'static str, zone: &'static str, role: Role, address: SocketAddr) -> ListedHost {
        ListedHost { name, role, zone, address, draining_since: Arc::default(), late_queries: Arc::default() }
    }

    /// Records a query that came too late to a host that drains.
    pub fn check_drain(&self, id: &str) {
        let draining_since = *self.draining_since.lock().unwrap();
        if draining_since.is_some_and(|since| since.elapsed() > DRAIN_LIMIT) {
            self.late_queries.lock().unwrap().push(format!("{id}: sent to {}, which drains", self.name));
        }
    }

    /// Takes the queries that came too late.
    pub fn take_late_queries(&self) -> Vec<String> {
        std::mem::take(&mut self.late_queries.lock().unwrap())
    }

    fn entry(&self) -> EndpointEntry {
        let entry = EndpointEntry {
            name: self.name.to_string(),
            address: self.address,
            zone: self.zone.to_string(),
            status: "SERVING",
            access: None,
            group: 2,
            since_ms: 0,
        };
        let access = if matches!(self.role, Role::Writer) { "writer" } else { "reader" };
        let is_draining = self.draining_since.lock().unwrap().is_some();
        entry.with_access(access).with_status(if is_draining { "DRAINING" } else { "SERVING" })
    }
}

/// The list and who watches it.
struct State {
    hosts: Vec<ListedHost>,
    index: u64,
    /// Which of the two services is in use.
    active: usize,
    /// Open watches, with the number of their service.
    watches: Vec<(usize, Watch)>,
}

impl State {
    fn list(&self) -> EndpointList {
        EndpointList::snapshot(self.index, self.hosts.iter().map(ListedHost::entry).collect::<Vec<_>>())
    }
}

/// The service at one of two addresses.
pub struct SoakDiscovery {
    services: [Arc<DiscoveryService>; 2],
    state: Arc<Mutex<State>>,
}

impl SoakDiscovery {
    pub fn start(hosts: Vec<ListedHost>) -> SoakDiscovery {
        let state = Arc::new(Mutex::new(State { hosts, index: 1, active: 0, watches: Vec::new() }));
        let services = [Arc::new(DiscoveryService::new()), Arc::new(DiscoveryService::new())];
        for (number, service) in services.iter().enumerate() {
            let (service, state) = (service.clone(), state.clone());
            std::thread::spawn(move || accept_watches(number, &service, &state));
        }
        SoakDiscovery { services, state }
    }

    /// Starts a pooler that knows the present list and calls the present address.
    pub fn start_pooler(&self, edits: &[Edit]) -> Pooler {
        let (list, active) = {
            let state = self.state.lock().unwrap();
            (state.list(), state.active)
        };
        Pooler::start(&list, &self.services[active], edits)
    }

    /// Has a host drain, or serve again, and tells those who watch.
    pub fn toggle_drain(&self, name: &str) {
        let mut state = self.state.lock().unwrap();
        let host = state.hosts.iter().find(|host| host.name == name).unwrap();
        {
            let mut draining_since = host.draining_since.lock().unwrap();
            *draining_since = if draining_since.is_some() { None } else { Some(Instant::now()) };
        }
        state.index += 1;
        let line = format!("{}\n", state.list());
        state.watches.retain_mut(|(_, watch)| {
            std::io::Write::write_all(&mut watch.stream, &chunk(line.as_bytes())).is_ok()
        });
    }

    /// Moves to the other address and tells the pooler by its configuration.
    pub fn switch_address_and_reload(&self, pooler: &Pooler) {
        let old = {
            let mut state = self.state.lock().unwrap();
            state.active = 1 - state.active;
            1 - state.active
        };
        let address = |number: usize| self.services[number].address().to_string();
        pooler.reload_with_replacement(&address(old), &address(1 - old));
        let state = self.state.clone();
        std::thread::spawn(move || {
            std::thread::sleep(OLD_ADDRESS_GRACE);
            let mut state = state.lock().unwrap();
            if state.active != old {
                state.watches.retain(|(number, _)| *number != old);
            }
        });
    }
}

/// Answers each call with the whole list. A service that has moved takes no call.
fn accept_watches(number: usize, service: &DiscoveryService, state: &Mutex<State>) {
    while let Some(mut watch) = service.next_watch() {
        let mut state = state.lock().unwrap();
        if state.active == number {
            watch.send_list(&state.list());
            state.watches.push((number, watch));
        }
    }
}

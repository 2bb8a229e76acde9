//! A discovery service that drains hosts and moves between two addresses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::harness::*;

/// How long after a move the service keeps the watches at its old address open.
const OLD_ADDRESS_GRACE: Duration = Duration::from_millis(1500);
/// Time after the start of a drain within which queries to the host must stop: 6 s, after which the pooler
/// counts as informed, and 2 s of tolerance.
const DRAIN_LIMIT: Duration = Duration::from_secs(8);

/// A database host in the list. Clones share its status.
#[derive(Clone)]
pub struct ListedHost {
    pub name: &'static str,
    pub role: Role,
    zone: &'static str,
    address: SocketAddr,
    /// When it started to drain. `None` if it is not draining.
    draining_since: Arc<Mutex<Option<Instant>>>,
    late_queries: Arc<Mutex<Vec<String>>>,
}

impl ListedHost {
    pub fn new(name: &'static str, zone: &'static str, role: Role, address: SocketAddr) -> ListedHost {
        ListedHost { name, role, zone, address, draining_since: Arc::default(), late_queries: Arc::default() }
    }

    /// Records the query `id` if it was sent to a host that has been draining for longer than
    /// [`DRAIN_LIMIT`].
    pub fn check_drain(&self, id: &str) {
        let draining_since = *self.draining_since.lock().unwrap();
        if draining_since.is_some_and(|since| since.elapsed() > DRAIN_LIMIT) {
            self.late_queries.lock().unwrap().push(format!("{id}: sent to {}, which is draining", self.name));
        }
    }

    /// Takes the recorded queries to draining hosts.
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

/// The endpoint list and its watches.
struct State {
    hosts: Vec<ListedHost>,
    index: u64,
    /// The number of the service that is in use, 0 or 1.
    active: usize,
    /// The open watches, each with the number of its service.
    watches: Vec<(usize, Watch)>,
}

impl State {
    fn list(&self) -> EndpointList {
        EndpointList::snapshot(self.index, self.hosts.iter().map(ListedHost::entry).collect::<Vec<_>>())
    }
}

/// A discovery service that is available at one of two addresses at a time.
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

    /// Starts a pooler with the current endpoint list and the current address of the service.
    pub fn start_pooler(&self, edits: &[Edit]) -> Pooler {
        let (list, active) = {
            let state = self.state.lock().unwrap();
            (state.list(), state.active)
        };
        Pooler::start(&list, &self.services[active], edits)
    }

    /// Starts or ends the drain of a host, and sends the list to all watches.
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

    /// Moves the service to the other address, and reloads the pooler's configuration with that address.
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

/// Answers each watch with the complete list, as long as the service is in use at this address. Otherwise
/// closes it.
fn accept_watches(number: usize, service: &DiscoveryService, state: &Mutex<State>) {
    while let Some(mut watch) = service.next_watch() {
        let mut state = state.lock().unwrap();
        if state.active == number {
            watch.send_list(&state.list());
            state.watches.push((number, watch));
        }
    }
}

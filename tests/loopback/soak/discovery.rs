//! A discovery service that drains hosts, moves between two addresses, and is down for a while.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::harness::*;

/// How long after a move the service keeps the watches at its old address open.
const OLD_ADDRESS_GRACE: Duration = Duration::from_millis(1500);
/// Time after a reload from which on the pooler counts as told what the service at the new address knows.
const RELOAD_LIMIT: Duration = Duration::from_secs(4);
/// Time after a drain is told within which queries to the host must stop: the grace in the settings of the
/// soak, and the tolerance of the protocol.
const DRAIN_LIMIT: Duration = Duration::from_millis(1050);

/// The drain of a host.
#[derive(Clone, Copy)]
struct Drain {
    /// From when on the pooler counts as told. `None` while the service is down.
    told_at: Option<Instant>,
}

/// A database host in the list. Clones share its status.
#[derive(Clone)]
pub struct ListedHost {
    pub name: &'static str,
    pub role: Role,
    zone: &'static str,
    address: SocketAddr,
    drain: Arc<Mutex<Option<Drain>>>,
    late_queries: Arc<Mutex<Vec<String>>>,
}

impl ListedHost {
    pub fn new(name: &'static str, zone: &'static str, role: Role, address: SocketAddr) -> ListedHost {
        ListedHost { name, role, zone, address, drain: Arc::default(), late_queries: Arc::default() }
    }

    /// Records the query `id` if it was sent later than [`DRAIN_LIMIT`] after the drain of the host was told.
    pub fn check_drain(&self, id: &str) {
        let drain = *self.drain.lock().unwrap();
        let Some(told_at) = drain.and_then(|drain| drain.told_at) else { return };
        let late = Instant::now().saturating_duration_since(told_at);
        if late > DRAIN_LIMIT {
            let query = format!("{id}: sent to {}, whose drain was told {late:?} before", self.name);
            self.late_queries.lock().unwrap().push(query);
        }
    }

    /// Takes the recorded queries to draining hosts.
    pub fn take_late_queries(&self) -> Vec<String> {
        std::mem::take(&mut self.late_queries.lock().unwrap())
    }

    fn is_draining(&self) -> bool {
        self.drain.lock().unwrap().is_some()
    }

    /// Sets from when on the pooler counts as told of a drain that it was not told of yet.
    fn set_told_at(&self, told_at: Instant) {
        if let Some(drain) = self.drain.lock().unwrap().as_mut() {
            drain.told_at.get_or_insert(told_at);
        }
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
        entry.with_access(access).with_status(if self.is_draining() { "DRAINING" } else { "SERVING" })
    }
}

/// What happens to calls that are made during an outage.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CallsDuringOutage {
    /// They are answered when the service returns.
    AnsweredAtReturn,
    /// They are never answered.
    NeverAnswered,
}

/// The endpoint list and its watches.
struct State {
    hosts: Vec<ListedHost>,
    index: u64,
    /// The number of the service that is in use, 0 or 1.
    active: usize,
    /// When the service last moved.
    moved_at: Option<Instant>,
    is_down: bool,
    /// The open watches, each with the number of its service.
    watches: Vec<(usize, Watch)>,
    /// Calls that were made during an outage and are not answered.
    unanswered: Vec<Watch>,
}

impl State {
    fn list(&self) -> EndpointList {
        EndpointList::snapshot(self.index, self.hosts.iter().map(ListedHost::entry).collect::<Vec<_>>())
    }

    /// Returns from when on the pooler counts as told what the service tells now.
    fn told_at(&self) -> Instant {
        let now = Instant::now();
        self.moved_at.map_or(now, |moved_at| now.max(moved_at + RELOAD_LIMIT))
    }

    /// Records that the pooler is told of all drains, if the service is not down.
    fn tell_drains(&self) {
        if !self.is_down {
            self.hosts.iter().for_each(|host| host.set_told_at(self.told_at()));
        }
    }

    /// Answers a call. One that the pooler has closed is dropped.
    fn answer(&mut self, mut watch: Watch) {
        if watch.stream.write_all(&response_with_line(self.list())).is_ok() {
            self.watches.push((self.active, watch));
        }
    }
}

/// A discovery service that is available at one of two addresses at a time.
pub struct SoakDiscovery {
    services: [Arc<DiscoveryService>; 2],
    state: Arc<Mutex<State>>,
}

impl SoakDiscovery {
    pub fn start(hosts: Vec<ListedHost>) -> SoakDiscovery {
        let state = Arc::new(Mutex::new(State {
            hosts,
            index: 1,
            active: 0,
            moved_at: None,
            is_down: false,
            watches: Vec::new(),
            unanswered: Vec::new(),
        }));
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
        let is_draining = host.is_draining();
        *host.drain.lock().unwrap() = (!is_draining).then_some(Drain { told_at: None });
        state.index += 1;
        state.tell_drains();
        let line = line_chunk(state.list());
        state.watches.retain_mut(|(_, watch)| watch.stream.write_all(&line).is_ok());
    }

    /// Begins an outage: open watches end, and calls are not answered.
    pub fn begin_outage(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_down = true;
        state.watches.clear();
    }

    /// Ends an outage. What has changed meanwhile counts as told at once.
    pub fn end_outage(&self, calls: CallsDuringOutage) {
        let mut state = self.state.lock().unwrap();
        state.is_down = false;
        state.tell_drains();
        if calls == CallsDuringOutage::AnsweredAtReturn {
            for watch in std::mem::take(&mut state.unanswered) {
                state.answer(watch);
            }
        }
    }

    /// Moves the service to the other address, and reloads the pooler's configuration with that address.
    pub fn switch_address_and_reload(&self, pooler: &Pooler) {
        let old = {
            let mut state = self.state.lock().unwrap();
            state.active = 1 - state.active;
            state.moved_at = Some(Instant::now());
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
/// closes it. Leaves it unanswered during an outage. The listener stays open while nobody calls: its port
/// could be given to another run's service.
fn accept_watches(number: usize, service: &DiscoveryService, state: &Mutex<State>) {
    loop {
        let Some(watch) = service.next_watch() else { continue };
        let mut state = state.lock().unwrap();
        if state.active == number {
            if state.is_down {
                state.unanswered.push(watch);
            } else {
                state.answer(watch);
            }
        }
    }
}

//! A soak of the program under faults: clients that keep using open connections, database hosts and a
//! discovery service that misbehave, signals in series, and the kill at the earliest moment.
//!
//! A few seeds run with the other tests. More are run by hand, such as the 50 seeds from 100 on:
//! `PG_POOLER_SOAK_SEEDS=100..150 cargo test --release --test loopback soak -- --nocapture --test-threads 3`

mod attempts;
mod client;
mod discovery;
mod host;
mod violations;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::*;
use attempts::AttemptLog;
use client::{ClientThread, Counts};
use discovery::SoakDiscovery;
use host::SoakHost;
use violations::Violations;

/// The variable that names the seeds of a soak by hand, as `first..end`.
const SEEDS_VARIABLE: &str = "PG_POOLER_SOAK_SEEDS";
/// Processes that follow one another in one run.
const RESTARTS: usize = 2;
const CLIENTS: usize = 24;
/// Clients that connect and never send a query, in runs with a crowd.
const SILENT_CLIENTS: usize = 60;
/// New connections go to the next process from this time after SIGTERM on.
const HANDOVER_DELAY: Duration = Duration::from_millis(400);
/// The process is killed this long after SIGTERM and the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A request that is sent later than this after SIGTERM must be answered before the kill.
const EXCUSED_WINDOW: Duration = Duration::from_millis(700);
/// Longer than a process has from SIGTERM to SIGKILL.
const SHUTDOWN_HANG: Duration = Duration::from_secs(6);
/// The longest deadline in [`SETTINGS`].
const LONGEST_DEADLINE: Duration = Duration::from_secs(4);
/// The longest deadline that delays the kill.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);

/// Settings with short deadlines, a class that must not run twice and a window for repeats of half a second.
const SETTINGS: [Edit; 7] = [
    Edit { from: r#""aim":8,"deadline":9"#, to: r#""aim":0.5,"deadline":1"# },
    Edit {
        from: r#""name":"reports","aim":0.5,"deadline":1"#,
        to: r#""name":"reports","aim":3,"deadline":4"#,
    },
    Edit {
        from: r#""deadline":1,"effect":"idempotency_key","group":"cell","dedupWindow":2"#,
        to: r#""deadline":1,"effect":"idempotency_key","group":"cell","dedupWindow":0.5"#,
    },
    Edit { from: r#""name":"own-orders""#, to: r#""name":"once""# },
    Edit {
        from: r#""name":"once","aim":0.5,"deadline":1,"effect":"read_like""#,
        to: r#""name":"once","aim":0.5,"deadline":1,"effect":"non_idempotent""#,
    },
    Edit { from: r#""connectTimeout":1"#, to: r#""connectTimeout":0.25"# },
    Edit { from: r#"["bounded","session","any","write"]"#, to: r#"["bounded","write","any","write"]"# },
];
const HEDGING: Edit = Edit { from: r#""probes":false"#, to: r#""probes":false,"mayDuplicate":true"# };
/// Leaves places for 24 clients, fewer than there are with the crowd.
const FEW_DESCRIPTORS: Edit = Edit { from: r#""sockets":1024"#, to: r#""sockets":64"# };

/// One process of the program, as its clients know it.
pub struct PoolerProcess {
    pub address: SocketAddr,
    /// When it was first sent SIGTERM.
    pub shutdown_requested_at: Mutex<Option<Instant>>,
    pub killed_at: Mutex<Option<Instant>>,
}

impl PoolerProcess {
    fn new(pooler: &Pooler) -> PoolerProcess {
        let (shutdown_requested_at, killed_at) = (Mutex::new(None), Mutex::new(None));
        PoolerProcess { address: pooler.address, shutdown_requested_at, killed_at }
    }

    /// Whether a request that was sent then may be left unanswered by the kill.
    pub fn may_leave_unanswered(&self, sent_at: Instant) -> bool {
        let shutdown_requested_at = *self.shutdown_requested_at.lock().unwrap();
        shutdown_requested_at
            .is_some_and(|shutdown_requested_at| sent_at < shutdown_requested_at + EXCUSED_WINDOW)
    }

    /// Whether the process had been asked to end by then.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_requested_at.lock().unwrap().is_some()
    }

    pub fn is_killed(&self) -> bool {
        self.killed_at.lock().unwrap().is_some()
    }

    /// Whether the kill is what ended a connection then.
    pub fn was_killed_before(&self, closed_at: Instant) -> bool {
        let killed_at = *self.killed_at.lock().unwrap();
        killed_at.is_some_and(|killed_at| closed_at >= killed_at)
    }
}

/// What all threads of a run share.
pub struct Run {
    pub current: Mutex<Arc<PoolerProcess>>,
    pub violations: Violations,
    pub attempts: AttemptLog,
    pub has_silent_clients: bool,
    pub is_over: Mutex<bool>,
}

impl Run {
    pub fn current(&self) -> Arc<PoolerProcess> {
        self.current.lock().unwrap().clone()
    }

    pub fn is_over(&self) -> bool {
        *self.is_over.lock().unwrap()
    }
}

fn random_duration(random: &mut fastrand::Rng, max: Duration) -> Duration {
    max.mul_f64(random.f64())
}

/// Plays one seed. Returns what the clients have seen.
fn run_seed(seed: u64) -> Counts {
    let mut random = fastrand::Rng::with_seed(seed);
    let (has_silent_clients, has_hedging) = (seed % 3 == 2, random.bool());
    let attempts = AttemptLog::default();
    let hosts =
        [("s-1", "there", Role::Writer), ("s-2", "here", Role::Reader), ("s-3", "there", Role::Reader)];
    let hosts = hosts.map(|(name, zone, role)| SoakHost::start(name, zone, role, random.u64(..), &attempts));
    let discovery = SoakDiscovery::start(hosts.iter().map(SoakHost::listed).collect());
    let mut edits = SETTINGS.to_vec();
    edits.extend(has_hedging.then_some(HEDGING));
    edits.extend(has_silent_clients.then_some(FEW_DESCRIPTORS));
    let mut pooler = discovery.start_pooler(&edits);
    let run = Arc::new(Run {
        current: Mutex::new(Arc::new(PoolerProcess::new(&pooler))),
        violations: Violations::default(),
        attempts,
        has_silent_clients,
        is_over: Mutex::new(false),
    });
    let clients: Vec<ClientThread> =
        (0..CLIENTS).map(|number| ClientThread::start(number, random.u64(..), run.clone())).collect();
    for _ in 0..RESTARTS {
        let silent_count = if has_silent_clients { SILENT_CLIENTS } else { 0 };
        let silent_clients: Vec<Connection> =
            (0..silent_count).map(|_| connect_without_startup(&pooler)).collect();
        inject_faults(&pooler, &hosts, &discovery, &mut random);
        if random.bool() {
            hosts.iter().for_each(|host| host.hang(SHUTDOWN_HANG));
        }
        pooler = restart(pooler, &run, || discovery.start_pooler(&edits), &mut random);
        hosts.iter().for_each(SoakHost::recover);
        drop(silent_clients);
    }
    *run.is_over.lock().unwrap() = true;
    let counts = clients.into_iter().map(ClientThread::join).sum();
    run.attempts.check(&run.violations, has_hedging);
    hosts
        .iter()
        .flat_map(|host| host.listed().take_late_queries())
        .for_each(|query| run.violations.add(query));
    let violations = run.violations.take();
    assert!(violations.is_empty(), "seed {seed}: {counts:?}\n{}", violations.join("\n"));
    counts
}

/// Lets hosts and discovery misbehave for about two seconds, one trouble inside another, with some reloads.
fn inject_faults(pooler: &Pooler, hosts: &[SoakHost], discovery: &SoakDiscovery, random: &mut fastrand::Rng) {
    for _ in 0..8 {
        let host = &hosts[random.usize(..hosts.len())];
        match random.u32(..6) {
            0 => host.hang(random_duration(random, Duration::from_millis(600))),
            1 => host.reset_queries(random.u32(1..5)),
            2 => host.reject_queries(random.u32(1..10)),
            3 => host.delay_startups(random_duration(random, Duration::from_millis(300))),
            // The primary stays: the rule on drains is played on replicas.
            4 => discovery.toggle_drain(hosts[random.usize(1..hosts.len())].listed().name),
            _ => discovery.switch_address_and_reload(pooler),
        }
        std::thread::sleep(random_duration(random, Duration::from_millis(500)));
    }
    hosts.iter().for_each(SoakHost::recover);
}

/// Ends a process by SIGTERM, with more signals behind, and by SIGKILL at the earliest moment. Returns the
/// next one, which takes its place meanwhile.
fn restart(pooler: Pooler, run: &Run, start: impl Fn() -> Pooler, random: &mut fastrand::Rng) -> Pooler {
    let process = run.current();
    let shutdown_requested_at = Instant::now();
    *process.shutdown_requested_at.lock().unwrap() = Some(shutdown_requested_at);
    pooler.signal(Signal::Terminate);
    for signal in [Signal::Hangup, Signal::Terminate, Signal::Hangup] {
        if random.bool() {
            pooler.signal_if_alive(signal);
        }
    }
    std::thread::sleep(HANDOVER_DELAY.saturating_sub(shutdown_requested_at.elapsed()));
    let next = start();
    *run.current.lock().unwrap() = Arc::new(PoolerProcess::new(&next));
    let kill_at = shutdown_requested_at + LONGEST_DEADLINE.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
    std::thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    *process.killed_at.lock().unwrap() = Some(Instant::now());
    drop(pooler);
    next
}

#[rstest]
fn every_request_is_answered_once_under_faults_and_restarts(#[values(1, 2, 3)] seed: u64) {
    let counts = run_seed(seed);
    assert!(counts.served > 30, "{counts:?}");
}

#[test]
fn more_seeds_by_hand() {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else { return };
    let (first, end) = range.split_once("..").expect("a range such as 100..150");
    for seed in first.parse().unwrap()..end.parse().unwrap() {
        println!("seed {seed}: {:?}", run_seed(seed));
    }
}

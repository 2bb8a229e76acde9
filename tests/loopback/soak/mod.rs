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
use attempts::Attempts;
use client::{ClientThread, Counts};
use discovery::SoakDiscovery;
use host::SoakHost;
use violations::Violations;

/// The variable that names the seeds of a soak by hand, as `first..end`.
const SEEDS_VARIABLE: &str = "PG_POOLER_SOAK_SEEDS";
/// Processes that follow one another in one run.
const GENERATIONS: usize = 2;
const CLIENTS: usize = 24;
/// Clients that connect and never send a query, in runs with a crowd.
const CROWD: usize = 60;
/// New connections go to the next process from this time after SIGTERM on.
const FRONT_DELAY: Duration = Duration::from_millis(400);
/// The process is killed this long after SIGTERM and the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A request that is sent later than this after SIGTERM must be answered before the kill.
const LAST_EXCUSED: Duration = Duration::from_millis(700);
/// Longer than a process has from SIGTERM to SIGKILL.
const WHOLE_SHUTDOWN: Duration = Duration::from_secs(6);
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
pub struct Generation {
    pub address: SocketAddr,
    /// When it was first sent SIGTERM.
    pub asked_to_end_at: Mutex<Option<Instant>>,
    pub killed_at: Mutex<Option<Instant>>,
}

impl Generation {
    fn new(pooler: &Pooler) -> Generation {
        let (asked_to_end_at, killed_at) = (Mutex::new(None), Mutex::new(None));
        Generation { address: pooler.address, asked_to_end_at, killed_at }
    }

    /// Whether a request that was sent then may be left unanswered by the kill.
    pub fn excuses(&self, sent_at: Instant) -> bool {
        let asked_to_end_at = *self.asked_to_end_at.lock().unwrap();
        asked_to_end_at.is_some_and(|asked| sent_at < asked + LAST_EXCUSED)
    }

    /// Whether the process had been asked to end by then.
    pub fn is_ending(&self) -> bool {
        self.asked_to_end_at.lock().unwrap().is_some()
    }

    pub fn is_killed(&self) -> bool {
        self.killed_at.lock().unwrap().is_some()
    }

    /// Whether the kill is what ended a connection then.
    pub fn was_killed_by(&self, ended_at: Instant) -> bool {
        let killed_at = *self.killed_at.lock().unwrap();
        killed_at.is_some_and(|killed_at| ended_at >= killed_at)
    }
}

/// What all threads of a run share.
pub struct Run {
    pub current: Mutex<Arc<Generation>>,
    pub violations: Violations,
    pub attempts: Attempts,
    pub has_crowd: bool,
    pub is_over: Mutex<bool>,
}

impl Run {
    pub fn current(&self) -> Arc<Generation> {
        self.current.lock().unwrap().clone()
    }

    pub fn is_over(&self) -> bool {
        *self.is_over.lock().unwrap()
    }
}

fn random_time(random: &mut fastrand::Rng, longest: Duration) -> Duration {
    longest.mul_f64(random.f64())
}

/// Plays one seed. Returns what the clients have seen.
fn play(seed: u64) -> Counts {
    let mut random = fastrand::Rng::with_seed(seed);
    let (has_crowd, has_hedging) = (seed % 3 == 2, random.bool());
    let attempts = Attempts::default();
    let hosts =
        [("s-1", "there", Role::Writer), ("s-2", "here", Role::Reader), ("s-3", "there", Role::Reader)];
    let hosts = hosts.map(|(name, zone, role)| SoakHost::start(name, zone, role, random.u64(..), &attempts));
    let discovery = SoakDiscovery::start(hosts.iter().map(SoakHost::listed).collect());
    let mut edits = SETTINGS.to_vec();
    edits.extend(has_hedging.then_some(HEDGING));
    edits.extend(has_crowd.then_some(FEW_DESCRIPTORS));
    let mut pooler = discovery.start_pooler(&edits);
    let run = Arc::new(Run {
        current: Mutex::new(Arc::new(Generation::new(&pooler))),
        violations: Violations::default(),
        attempts,
        has_crowd,
        is_over: Mutex::new(false),
    });
    let clients: Vec<ClientThread> =
        (0..CLIENTS).map(|number| ClientThread::start(number, random.u64(..), run.clone())).collect();
    for _ in 0..GENERATIONS {
        let crowd_size = if has_crowd { CROWD } else { 0 };
        let crowd: Vec<Connection> = (0..crowd_size).map(|_| connect_without_startup(&pooler)).collect();
        disturb(&pooler, &hosts, &discovery, &mut random);
        if random.bool() {
            hosts.iter().for_each(|host| host.hang(WHOLE_SHUTDOWN));
        }
        pooler = replace(pooler, &run, || discovery.start_pooler(&edits), &mut random);
        hosts.iter().for_each(SoakHost::recover);
        drop(crowd);
    }
    *run.is_over.lock().unwrap() = true;
    let counts = clients.into_iter().map(ClientThread::join).sum();
    run.attempts.check(&run.violations, has_hedging);
    hosts
        .iter()
        .flat_map(|host| host.listed().take_late_queries())
        .for_each(|query| run.violations.add(query));
    let found = run.violations.take();
    assert!(found.is_empty(), "seed {seed}: {counts:?}\n{}", found.join("\n"));
    counts
}

/// Lets hosts and discovery misbehave for about two seconds, one trouble inside another, with some reloads.
fn disturb(pooler: &Pooler, hosts: &[SoakHost], discovery: &SoakDiscovery, random: &mut fastrand::Rng) {
    for _ in 0..8 {
        let host = &hosts[random.usize(..hosts.len())];
        match random.u32(..6) {
            0 => host.hang(random_time(random, Duration::from_millis(600))),
            1 => host.reset_queries(random.u32(1..5)),
            2 => host.reject_queries(random.u32(1..10)),
            3 => host.delay_startups(random_time(random, Duration::from_millis(300))),
            // The primary stays: the rule on drains is played on replicas.
            4 => discovery.toggle_drain(hosts[random.usize(1..hosts.len())].listed().name),
            _ => discovery.move_and_reload(pooler),
        }
        std::thread::sleep(random_time(random, Duration::from_millis(500)));
    }
    hosts.iter().for_each(SoakHost::recover);
}

/// Ends a process by SIGTERM, with more signals behind, and by SIGKILL at the earliest moment. Returns the
/// next one, which takes its place meanwhile.
fn replace(pooler: Pooler, run: &Run, start: impl Fn() -> Pooler, random: &mut fastrand::Rng) -> Pooler {
    let generation = run.current();
    let asked_to_end_at = Instant::now();
    *generation.asked_to_end_at.lock().unwrap() = Some(asked_to_end_at);
    pooler.signal(Signal::Terminate);
    for signal in [Signal::Hangup, Signal::Terminate, Signal::Hangup] {
        if random.bool() {
            pooler.signal_if_alive(signal);
        }
    }
    std::thread::sleep(FRONT_DELAY.saturating_sub(asked_to_end_at.elapsed()));
    let next = start();
    *run.current.lock().unwrap() = Arc::new(Generation::new(&next));
    let kill_at = asked_to_end_at + LONGEST_DEADLINE.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
    std::thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    *generation.killed_at.lock().unwrap() = Some(Instant::now());
    drop(pooler);
    next
}

#[rstest]
fn every_request_is_answered_once_under_faults_and_restarts(#[values(1, 2, 3)] seed: u64) {
    let counts = play(seed);
    assert!(counts.served > 30, "{counts:?}");
}

#[test]
fn more_seeds_by_hand() {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else { return };
    let (first, end) = range.split_once("..").expect("a range such as 100..150");
    for seed in first.parse().unwrap()..end.parse().unwrap() {
        println!("seed {seed}: {:?}", play(seed));
    }
}

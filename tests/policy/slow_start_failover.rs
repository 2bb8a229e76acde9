//! Slow start in a fleet of poolers that all turn to a warming endpoint at the same time: it becomes the
//! primary for which requests are queued, or the poolers have just started.

use std::collections::{HashMap, VecDeque};

use pg_pooler::interface::{Action, Endpoint, EndpointStatus, Event, Outcome, Role, UpdateKind};
use pg_pooler::settings::Settings;
use pg_pooler::time::ClusterInstant;
use rstest::rstest;

use crate::harness::{
    default_settings, replica, secs, FinishedAttempt, Simulation, EVENTUAL_READ, LOCAL_ZONE, REMOTE_ZONE,
    STRONG_READ,
};

/// The endpoint that starts again and becomes the primary.
const NEW_PRIMARY: &str = "new-primary";
const OLD_PRIMARY: &str = "old-primary";
/// The endpoints that are lost, those that start again at the same time, and those that stay in service.
const LOST: [&str; 3] = [OLD_PRIMARY, "replica-1", "replica-2"];
const RESTARTED: [&str; 2] = [NEW_PRIMARY, "replica-3"];
const REMOTE_REPLICA: &str = "replica-4";

/// Requests per second that the whole fleet receives.
const FLEET_RATE: f64 = 180.0;
/// The requests of a burst, in multiples of the usual requests.
const BURST: f64 = 3.0;
/// Share of strong reads among them, which only the primary may answer. Any endpoint may answer the others.
const STRONG_READ_SHARE: f64 = 0.22;
/// Requests per second that an endpoint serves at its full capacity: the load of the group is two thirds of the
/// capacity of its six endpoints.
const FULL_CAPACITY: f64 = FLEET_RATE / 6.0 / 0.66;
/// Times after the start of the test, in seconds: the old primary is lost and the other endpoint starts again;
/// the other endpoint becomes the primary; the test ends.
const RESTARTED_AFTER: f64 = 10.0;
const ELECTED_AFTER: f64 = 14.3;
const END_AFTER: f64 = 18.0;
/// Time for which clients wait for an answer, in seconds. Requests are queued for half of it.
const TIMEOUT: f64 = 5.0;
/// Simulated time between two steps, and time in which an endpoint answers, in seconds.
const STEP: f64 = 0.005;
const SERVICE_TIME: f64 = 0.05;

/// First letters of the request identifiers, by class.
const STRONG: char = 's';
const EVENTUAL: char = 'e';

/// An attempt that an endpoint has received.
struct ReceivedAttempt {
    pooler: usize,
    id: String,
    number: usize,
    endpoint: String,
    answer_at: f64,
}

/// Poolers that share one group of endpoints.
struct Fleet {
    poolers: Vec<Simulation>,
    /// The number of actions of each pooler that were carried out.
    carried_out: Vec<usize>,
    /// The number of attempts of each request.
    attempts: HashMap<String, usize>,
    unanswered: VecDeque<ReceivedAttempt>,
    random: fastrand::Rng,
    /// Requests per second, of which this share are strong reads.
    rate: f64,
    strong_read_share: f64,
    requests: usize,
    /// The warming endpoint, and when it received each attempt, in seconds after the start.
    warming: &'static str,
    received_at: Vec<f64>,
    /// The number of strong reads that the new primary has answered.
    strong_reads_served: usize,
    started_at: f64,
}

impl Fleet {
    fn new(settings: &Settings, warming: &'static str, seed: u64) -> Fleet {
        let pooler = |number: u32| {
            Simulation::with_endpoints(settings.clone(), seed << 32 | u64::from(number), |_| {
                let role = |id: &str| Role::primary_if(id == OLD_PRIMARY);
                let local = LOST.iter().chain(&RESTARTED);
                let local = local.map(|id| Endpoint { role: role(id), ..replica(id, REMOTE_ZONE) });
                local.chain([replica(REMOTE_REPLICA, LOCAL_ZONE)]).collect()
            })
        };
        let poolers: Vec<Simulation> = (0..settings.pooler_count).map(pooler).collect();
        Fleet {
            carried_out: vec![0; poolers.len()],
            attempts: HashMap::new(),
            unanswered: VecDeque::new(),
            random: fastrand::Rng::with_seed(seed),
            rate: FLEET_RATE,
            strong_read_share: STRONG_READ_SHARE,
            requests: 0,
            warming,
            received_at: Vec::new(),
            strong_reads_served: 0,
            started_at: poolers[0].now,
            poolers,
        }
    }

    /// Returns the time since the start, in seconds.
    fn now(&self) -> f64 {
        self.poolers[0].now - self.started_at
    }

    fn run_until(&mut self, end: f64) {
        while self.now() < end {
            for sim in &mut self.poolers {
                sim.advance_time(STEP);
            }
            while (self.requests as f64) < self.now() * self.rate {
                self.receive_request();
            }
            self.receive_attempts();
            while self.unanswered.front().is_some_and(|attempt| attempt.answer_at <= self.now()) {
                self.answer_first();
                self.receive_attempts();
            }
        }
    }

    fn receive_request(&mut self) {
        self.requests += 1;
        let pooler = self.random.usize(..self.poolers.len());
        let is_strong = self.random.f64() < self.strong_read_share;
        let (kind, class) = if is_strong { (STRONG, STRONG_READ) } else { (EVENTUAL, EVENTUAL_READ) };
        let id = format!("{kind}{}", self.requests);
        self.poolers[pooler].handle(Event::request(&id, class, 0, secs(TIMEOUT)));
    }

    /// Passes the attempts that the poolers have started to their endpoints.
    fn receive_attempts(&mut self) {
        let now = self.now();
        for (pooler, sim) in self.poolers.iter().enumerate() {
            let first = std::mem::replace(&mut self.carried_out[pooler], sim.actions.len());
            for action in &sim.actions[first..] {
                let Action::Send { id, endpoint, .. } = action else { continue };
                if &**endpoint == self.warming {
                    self.received_at.push(now);
                }
                let attempts = self.attempts.entry(id.to_string()).or_default();
                let (id, endpoint, number) = (id.to_string(), endpoint.to_string(), *attempts);
                *attempts += 1;
                let answer_at = now + SERVICE_TIME;
                self.unanswered.push_back(ReceivedAttempt { pooler, id, number, endpoint, answer_at });
            }
        }
    }

    fn answer_first(&mut self) {
        let Some(attempt) = self.unanswered.pop_front() else { return };
        let is_elected = attempt.endpoint == NEW_PRIMARY && self.now() >= ELECTED_AFTER;
        let is_primary = is_elected || attempt.endpoint == OLD_PRIMARY && self.now() < RESTARTED_AFTER;
        let is_strong = attempt.id.starts_with(STRONG);
        let outcome = if is_strong && !is_primary { Outcome::Ineligible } else { Outcome::Success };
        self.strong_reads_served += usize::from(is_elected && is_strong);
        let finished = FinishedAttempt::new(&attempt.id, &attempt.endpoint, outcome).number(attempt.number);
        let sim = &mut self.poolers[attempt.pooler];
        let finished = finished.role(Role::primary_if(is_primary)).log_position(sim.now);
        sim.finish_attempt_with(finished);
    }

    /// Announces the endpoints that are lost and those that have started again.
    fn announce_restart(&mut self) {
        for sim in &mut self.poolers {
            let started_at = Some(ClusterInstant::from_secs(sim.now));
            let lost =
                LOST.map(|id| Endpoint { status: EndpointStatus::Removed, ..replica(id, REMOTE_ZONE) });
            let restarted = RESTARTED.map(|id| Endpoint { started_at, ..replica(id, REMOTE_ZONE) });
            let update = lost.into_iter().chain(restarted).collect();
            sim.update_endpoints(UpdateKind::Delta, update);
        }
    }

    /// Announces the new primary to all poolers at once.
    fn announce_primary(&mut self) {
        for sim in &mut self.poolers {
            let started_at = Some(ClusterInstant::from_secs(self.started_at + RESTARTED_AFTER));
            let elected = Endpoint { started_at, role: Role::Primary, ..replica(NEW_PRIMARY, REMOTE_ZONE) };
            sim.update_endpoints(UpdateKind::Delta, vec![elected]);
        }
    }
}

/// Returns the largest number of attempts in one overload window, in multiples of what the endpoint bears in
/// it: its overload limit and random variation, which may be larger where the limit is below thirty requests.
fn largest_overload(received_at: &[f64], restarted_at: f64, settings: &Settings) -> f64 {
    let window = settings.overload_window.as_secs();
    let overloads = received_at.iter().enumerate().map(|(first, start)| {
        let count = received_at[first..].iter().take_while(|at| **at <= start + window).count();
        let capacity = settings.capacity_at_uptime(secs(start - restarted_at)) * FULL_CAPACITY;
        let limit = settings.overload_limit.unwrap() * capacity * window;
        let deviations = if limit < 30.0 { 3.0 } else { 2.0 };
        count as f64 / (limit + deviations * limit.sqrt() + deviations)
    });
    overloads.fold(0.0, f64::max)
}

#[rstest]
fn requests_queued_at_a_whole_fleet_do_not_overload_a_warming_endpoint_that_becomes_the_primary(
    #[values(20, 182, 600)] pooler_count: u32,
    #[values(2.0, 4.0)] overload_limit: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut settings = Settings {
        pooler_count,
        overload_limit: Some(overload_limit),
        overload_window: secs(1.0),
        slow_start_window: secs(16.0),
        ..default_settings()
    };
    settings.classes[STRONG_READ].deadline = secs(TIMEOUT);
    settings.classes[STRONG_READ].late_weight = 0.5;
    let mut fleet = Fleet::new(&settings, NEW_PRIMARY, seed);
    fleet.run_until(RESTARTED_AFTER);
    fleet.announce_restart();
    fleet.received_at.clear();
    fleet.run_until(ELECTED_AFTER);
    fleet.announce_primary();
    fleet.run_until(END_AFTER);
    assert!(fleet.strong_reads_served > 20, "only {} strong reads were served", fleet.strong_reads_served);
    let overload = largest_overload(&fleet.received_at, RESTARTED_AFTER, &settings);
    assert!(overload <= 1.0, "{overload:.2} times what the endpoint bears in one window");
}

/// Guards against a first request that each pooler may send whatever the fleet sends.
#[rstest]
fn the_first_requests_of_a_fleet_in_a_burst_do_not_overload_the_only_replica_in_its_zone_that_is_warming(
    #[values(182, 600)] pooler_count: u32,
    #[values(2.0, 4.0)] overload_limit: f64,
    #[values(1, 2)] seed: u64,
) {
    let settings = Settings {
        pooler_count,
        overload_limit: Some(overload_limit),
        overload_window: secs(1.0),
        slow_start_window: secs(16.0),
        ..default_settings()
    };
    let mut fleet = Fleet::new(&settings, REMOTE_REPLICA, seed);
    for sim in &mut fleet.poolers {
        let started_at = Some(ClusterInstant::from_secs(sim.now));
        let restarted = Endpoint { started_at, ..replica(REMOTE_REPLICA, LOCAL_ZONE) };
        sim.update_endpoints(UpdateKind::Delta, vec![restarted]);
    }
    (fleet.rate, fleet.strong_read_share) = (0.0, 0.0);
    fleet.run_until(1.0);
    fleet.rate = BURST * FLEET_RATE;
    fleet.requests = fleet.rate as usize;
    fleet.run_until(4.0);
    let overload = largest_overload(&fleet.received_at, 0.0, &settings);
    assert!(overload <= 1.0, "{overload:.2} times what the endpoint bears in one window");
}

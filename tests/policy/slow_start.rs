//! Slow start: an endpoint that has just started gets no more traffic than its present capacity allows.

use pg_pooler::interface::{Endpoint, Outcome, Role, UpdateKind};
use pg_pooler::settings::Settings;
use pg_pooler::time::ClusterInstant;
use rstest::rstest;

use crate::harness::{
    default_settings, first_endpoint, primary, replica, secs, sent_endpoints, FinishedAttempt, Simulation,
    BOUNDED_READ, EVENTUAL_READ, KEYED_WRITE, LOCAL_REPLICA, LOCAL_ZONE, PRIMARY, REMOTE_REPLICA,
    REMOTE_ZONE, STRONG_READ,
};

/// Remote replicas of the fleet tests, all at full capacity.
const REMOTE_REPLICAS: [&str; 4] = ["remote-1", "remote-2", "remote-3", "remote-4"];
/// Requests per second that the whole fleet receives.
const FLEET_RATE: f64 = 240.0;
/// Simulated time of the fleet tests, in seconds, not counting the time before a burst.
const FLEET_SECONDS: f64 = 6.0;
/// Number of requests in the fleet tests without a burst.
const FLEET_REQUESTS: usize = (FLEET_SECONDS * FLEET_RATE) as usize;

/// Returns the entry of a local replica that started at the given time.
fn warming_replica(started_at: f64) -> Endpoint {
    Endpoint { started_at: Some(ClusterInstant::from_secs(started_at)), ..replica(LOCAL_REPLICA, LOCAL_ZONE) }
}

#[test]
fn a_warming_endpoint_gets_a_small_share_of_the_reads() {
    let mut sim = Simulation::new(default_settings());
    sim.update_endpoints(UpdateKind::Delta, vec![warming_replica(sim.now)]);
    let (mut to_warming, mut all) = (0, 0);
    for i in 0..200 {
        sim.advance_time(0.01);
        let id = format!("a{i}");
        if let Some(endpoint) = first_endpoint(&sim.request(&id, EVENTUAL_READ)) {
            all += 1;
            to_warming += usize::from(endpoint == LOCAL_REPLICA);
            sim.finish_attempt(&id, &endpoint, 0, Outcome::Success);
        }
    }
    assert!(all > 150 && to_warming > 0 && to_warming * 3 < all, "{to_warming} of {all}");
}

/// Guards against poolers that each send a first request unconditionally: hundreds of simultaneous requests
/// overload an endpoint that has just started.
#[test]
fn the_first_reads_of_a_large_fleet_respect_a_warming_endpoints_capacity() {
    let mut to_warming = 0;
    for seed in 0..200 {
        let settings = Settings { pooler_count: 200, ..default_settings() };
        let mut sim = Simulation::with_endpoints(settings, seed, |now| {
            vec![primary(PRIMARY, LOCAL_ZONE), warming_replica(now), replica(REMOTE_REPLICA, REMOTE_ZONE)]
        });
        let first = sim.request("first", EVENTUAL_READ);
        to_warming += usize::from(sent_endpoints(&first) == [LOCAL_REPLICA]);
    }
    assert!(
        (10..=70).contains(&to_warming),
        "{to_warming} of 200 first reads went to an endpoint at a fifth of its capacity"
    );
}

/// Guards against trial requests that ignore slow start: all poolers of a fleet eject the primary together, and
/// try it again together.
#[test]
fn the_trials_of_a_large_fleet_respect_the_capacity_of_an_ejected_primary_in_slow_start() {
    let mut trials = 0;
    for seed in 0..200 {
        let settings = Settings { pooler_count: 200, overload_limit: Some(2.0), ..default_settings() };
        let mut sim = Simulation::with_endpoints(settings, seed, |now| {
            let started_at = Some(ClusterInstant::from_secs(now));
            vec![Endpoint { started_at, ..primary(PRIMARY, LOCAL_ZONE) }, replica(LOCAL_REPLICA, LOCAL_ZONE)]
        });
        for _ in 0..3 {
            sim.finish_health_check(PRIMARY, Outcome::ConnectFailed);
        }
        sim.advance_time(0.8);
        trials += usize::from(sent_endpoints(&sim.request("trial", STRONG_READ)) == [PRIMARY]);
    }
    assert!(
        (10..=70).contains(&trials),
        "{trials} of 200 poolers tried a primary that is at a quarter of its capacity"
    );
}

/// A read that was sent to the warming endpoint.
struct WarmingRead {
    sent_at: f64,
    /// Work, in multiples of the work of a short read.
    work: f64,
}

/// Poolers that share a group whose only local replica is warming up.
struct Fleet {
    poolers: Vec<Simulation>,
    random: fastrand::Rng,
    started_at: f64,
}

impl Fleet {
    fn new(settings: &Settings, seed: u64) -> Fleet {
        let pooler = |number: u32| {
            Simulation::with_endpoints(settings.clone(), seed << 32 | u64::from(number), |now| {
                let remote = REMOTE_REPLICAS.map(|id| replica(id, REMOTE_ZONE));
                [vec![primary(PRIMARY, LOCAL_ZONE), warming_replica(now)], remote.to_vec()].concat()
            })
        };
        let poolers: Vec<Simulation> = (0..settings.pooler_count).map(pooler).collect();
        let started_at = poolers[0].now;
        Fleet { poolers, random: fastrand::Rng::with_seed(seed), started_at }
    }

    /// Serves a read at a random pooler and returns the endpoint that got it. A few poolers get most of the
    /// traffic.
    fn serve(&mut self, id: &str, class: usize, now: f64, work: f64) -> String {
        let pooler = (self.random.f64().powi(3) * self.poolers.len() as f64) as usize;
        let sim = &mut self.poolers[pooler];
        sim.now = now;
        for endpoint in [LOCAL_REPLICA].into_iter().chain(REMOTE_REPLICAS) {
            sim.report_fresh(endpoint);
        }
        let endpoint = sim.route(id, class);
        let served = FinishedAttempt::new(id, &endpoint, Outcome::Success).elapsed(0.05 * work);
        sim.finish_attempt_with(served.log_position(now).role(Role::primary_if(endpoint == PRIMARY)));
        endpoint
    }
}

/// Asserts that within each overload window, the endpoint gets no more work than its present capacity times
/// the overload limit, plus random variation.
fn assert_work_within_limit(reads: &[WarmingRead], mean_work: f64, started_at: f64, settings: &Settings) {
    // The load is four fifths of the capacity of the six endpoints.
    let full_capacity = FLEET_RATE / 6.0 / 0.8;
    for (first, WarmingRead { sent_at, .. }) in reads.iter().enumerate() {
        let window = reads[first..]
            .iter()
            .take_while(|read| read.sent_at <= sent_at + settings.overload_window.as_secs());
        let work = window.map(|read| read.work).sum::<f64>() / mean_work;
        let capacity_share = settings.initial_capacity
            + (1.0 - settings.initial_capacity) * (sent_at - started_at)
                / settings.slow_start_window.as_secs();
        let limit =
            overload_limit(settings) * capacity_share * full_capacity * settings.overload_window.as_secs();
        assert!(
            work <= limit + 2.0 * limit.sqrt() + 2.0,
            "work {work} exceeds the limit {limit} at {sent_at} s"
        );
    }
}

/// The limit must hold although the poolers do not communicate, their traffic is unequal, and in some cases
/// one read in ten takes four times as long as the others.
#[rstest]
fn a_whole_fleet_respects_the_overload_limit_of_a_warming_endpoint(
    #[values(20, 300)] pooler_count: u32,
    #[values(1.5, 2.0, 4.0)] overload_limit: f64,
    #[values(false, true)] long_reads: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let settings = Settings { pooler_count, overload_limit: Some(overload_limit), ..default_settings() };
    let mut fleet = Fleet::new(&settings, seed);
    let (mut reads, mut total_work) = (Vec::new(), 0.0);
    for i in 0..FLEET_REQUESTS {
        let sent_at = fleet.started_at + i as f64 / FLEET_RATE;
        let is_long = long_reads && i % 10 == 0;
        let (class, work) = if is_long { (EVENTUAL_READ, 4.0) } else { (BOUNDED_READ, 1.0) };
        total_work += work;
        if fleet.serve(&format!("q{i}"), class, sent_at, work) == LOCAL_REPLICA {
            reads.push(WarmingRead { sent_at, work });
        }
    }
    assert!(reads.len() > 10, "only {} reads were sent to the warming endpoint", reads.len());
    assert_work_within_limit(&reads, total_work / (FLEET_SECONDS * FLEET_RATE), fleet.started_at, &settings);
}

fn overload_limit(settings: &Settings) -> f64 {
    settings.overload_limit.expect("these settings have a limit")
}

/// Requests per second that the whole fleet receives in a burst.
const BURST_RATE: f64 = 3.0 * FLEET_RATE;
/// Duration of the baseline traffic before the burst, in seconds.
const SECONDS_BEFORE_BURST: f64 = 10.0;

/// Asserts that within each overload window, the requests to an endpoint in slow start stay within its
/// overload limit, plus random variation. More variation is allowed if the limit is below thirty requests.
fn assert_requests_within_limit(sent_at: &[f64], started_at: f64, settings: &Settings) {
    let full_capacity = FLEET_RATE / 6.0 / 0.8;
    for (first, start) in sent_at.iter().enumerate() {
        let window =
            sent_at[first..].iter().take_while(|sent| **sent <= start + settings.overload_window.as_secs());
        let capacity = settings.capacity_at_uptime(secs(start - started_at)) * full_capacity;
        let limit = overload_limit(settings) * capacity * settings.overload_window.as_secs();
        let deviations = if limit < 30.0 { 3.0 } else { 2.0 };
        let count = window.count() as f64;
        assert!(
            count <= limit + deviations * limit.sqrt() + deviations,
            "{count} requests exceed the limit {limit} at {start} s"
        );
    }
}

/// Guards against limiting an endpoint in slow start only to a share of the traffic: in a burst of three
/// times the mean traffic, the same share exceeds its overload limit.
#[rstest]
fn a_burst_just_after_the_start_does_not_overload_a_warming_endpoint(
    #[values(3, 20)] pooler_count: u32,
    #[values(1.5, 4.0)] overload_limit: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let settings = Settings { pooler_count, overload_limit: Some(overload_limit), ..default_settings() };
    let mut fleet = Fleet::new(&settings, seed);
    let requests_before_burst = (SECONDS_BEFORE_BURST * FLEET_RATE) as usize;
    let started_at = fleet.started_at;
    for i in 0..requests_before_burst {
        fleet.serve(&format!("usual{i}"), BOUNDED_READ, started_at + i as f64 / FLEET_RATE, 1.0);
    }
    let restarted_at = started_at + SECONDS_BEFORE_BURST;
    for sim in &mut fleet.poolers {
        sim.now = restarted_at;
        sim.update_endpoints(UpdateKind::Delta, vec![warming_replica(restarted_at)]);
    }
    let mut sent_at = Vec::new();
    for i in 0..(FLEET_SECONDS * BURST_RATE) as usize {
        let now = restarted_at + i as f64 / BURST_RATE;
        if fleet.serve(&format!("burst{i}"), BOUNDED_READ, now, 1.0) == LOCAL_REPLICA {
            sent_at.push(now);
        }
    }
    assert!(sent_at.len() > 10, "only {} requests were sent to the warming endpoint", sent_at.len());
    assert_requests_within_limit(&sent_at, restarted_at, &settings);
}

/// Guards against limiting writes, and the reads that no replica can answer, separately at a primary in slow
/// start: together they exceeded its overload limit.
#[rstest]
fn writes_and_reads_together_do_not_overload_a_warming_primary(
    #[values(1.5, 3.0, 4.0)] overload_limit: f64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let settings = Settings { overload_limit: Some(overload_limit), ..default_settings() };
    let mut sim = Simulation::with_endpoints(settings.clone(), seed, |now| {
        let remote = REMOTE_REPLICAS.map(|id| replica(id, REMOTE_ZONE));
        [
            vec![Endpoint {
                started_at: Some(ClusterInstant::from_secs(now)),
                ..primary(PRIMARY, LOCAL_ZONE)
            }],
            remote.to_vec(),
        ]
        .concat()
    });
    let started_at = sim.now;
    let mut sent_at = Vec::new();
    for i in 0..FLEET_REQUESTS {
        sim.advance_time(1.0 / FLEET_RATE);
        // The writes take four fifths of the primary's full capacity. All replicas reject the reads because
        // their data is too old.
        let class = if i % 6 == 0 { KEYED_WRITE } else { BOUNDED_READ };
        let id = format!("q{i}");
        let mut target = first_endpoint(&sim.request(&id, class));
        let mut attempt = 0;
        while let Some(endpoint) = target {
            let is_primary = endpoint == PRIMARY;
            if is_primary {
                sent_at.push(sim.now);
            }
            let outcome = if is_primary { Outcome::Success } else { Outcome::Ineligible };
            let finished = FinishedAttempt::new(&id, &endpoint, outcome)
                .number(attempt)
                .role(Role::primary_if(is_primary));
            let position = if is_primary { sim.now } else { sim.now - 5.0 };
            target = first_endpoint(&sim.finish_attempt_with(finished.log_position(position)));
            attempt += 1;
        }
    }
    assert!(sent_at.len() > 10, "only {} requests were sent to the warming endpoint", sent_at.len());
    assert_requests_within_limit(&sent_at, started_at, &settings);
}

#[test]
fn without_an_overload_limit_a_warming_endpoint_gets_reads() {
    let mut sim = Simulation::new(Settings { overload_limit: None, ..default_settings() });
    sim.update_endpoints(UpdateKind::Delta, vec![warming_replica(sim.now)]);
    let endpoints = sim.request_many("a", 50, EVENTUAL_READ);
    assert!(endpoints.iter().any(|endpoint| endpoint == LOCAL_REPLICA), "{endpoints:?}");
}

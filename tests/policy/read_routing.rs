//! Routing of reads: zones, freshness, and long reads, which delay the replication of a replica.

use pg_pooler::interface::{Outcome, Role, UpdateKind};
use pg_pooler::settings::{Settings, StaleReadHandling};

use crate::harness::{
    count_final_answers, default_settings, first_endpoint, replica, sent_endpoints, FinishedAttempt,
    Simulation, BOUNDED_READ, EVENTUAL_READ, KEYED_WRITE, LOCAL_REPLICA, LOCAL_ZONE, PRIMARY, REMOTE_REPLICA,
    REMOTE_ZONE, STRONG_READ,
};

/// A second replica in the pooler's zone.
const SECOND_LOCAL_REPLICA: &str = "second-local-replica";
/// A remote replica that lags by one second, in the tests of long reads.
const LAGGING_REPLICA: &str = "lagging-replica";
/// A remote replica that is up to date, in the tests of long reads.
const FRESH_REPLICA: &str = "fresh-replica";

/// Settings with which endpoints serve reads however old their data is.
fn settings_that_serve_stale_reads() -> Settings {
    Settings { stale_reads: StaleReadHandling::ServeStale, ..default_settings() }
}

#[test]
fn writes_and_strong_reads_go_to_the_primary_and_other_reads_to_the_local_replica() {
    let mut sim = Simulation::new(default_settings());
    sim.report_fresh(LOCAL_REPLICA);
    sim.report_fresh(REMOTE_REPLICA);
    assert_eq!(sent_endpoints(&sim.request("w", KEYED_WRITE)), [PRIMARY]);
    assert_eq!(sent_endpoints(&sim.request("f", STRONG_READ)), [PRIMARY]);
    let bounded = sim.request("b", BOUNDED_READ);
    assert_eq!(sent_endpoints(&bounded), [LOCAL_REPLICA], "a replica in the zone, not the primary");
    assert_eq!(sent_endpoints(&sim.request("a", EVENTUAL_READ)), [LOCAL_REPLICA]);
}

#[test]
fn a_read_spills_over_only_to_a_replica_with_less_than_half_the_load_and_three_requests_fewer() {
    let mut sim = Simulation::new(default_settings());
    sim.report_fresh(LOCAL_REPLICA);
    sim.report_fresh(REMOTE_REPLICA);
    let endpoints = sim.request_many("a", 4, EVENTUAL_READ);
    assert_eq!(endpoints, [LOCAL_REPLICA, LOCAL_REPLICA, LOCAL_REPLICA, REMOTE_REPLICA]);
}

#[test]
fn a_replica_that_is_too_stale_gets_no_bounded_reads() {
    let mut sim = Simulation::new(settings_that_serve_stale_reads());
    sim.report_fresh(LOCAL_REPLICA);
    sim.now += 0.6;
    sim.report_fresh(REMOTE_REPLICA);
    assert_eq!(sent_endpoints(&sim.request("b", BOUNDED_READ)), [REMOTE_REPLICA]);
    sim.now += 0.6;
    let without_fresh_replica = sim.request("c", BOUNDED_READ);
    assert_eq!(
        sent_endpoints(&without_fresh_replica),
        [PRIMARY],
        "endpoints serve stale reads, so a replica must be known to be fresh"
    );
}

#[test]
fn a_log_position_in_the_future_is_ignored() {
    let mut sim = Simulation::new(settings_that_serve_stale_reads());
    sim.report_position(LOCAL_REPLICA, sim.now + 50.0);
    assert_eq!(sent_endpoints(&sim.request("b", BOUNDED_READ)), [PRIMARY]);
}

#[test]
fn with_stale_reads_rejected_a_replica_of_unknown_position_is_tried_once() {
    let mut sim = Simulation::new(default_settings());
    assert_eq!(sent_endpoints(&sim.request("b", BOUNDED_READ)), [LOCAL_REPLICA]);
    let rejected = FinishedAttempt::new("b", LOCAL_REPLICA, Outcome::Ineligible).role(Role::Replica);
    let retried = sim.finish_attempt_with(rejected.log_position(sim.now - 3.0));
    assert_ne!(sent_endpoints(&retried), [LOCAL_REPLICA]);
    assert_ne!(
        sent_endpoints(&sim.request("c", BOUNDED_READ)),
        [LOCAL_REPLICA],
        "it is given time to catch up"
    );
}

#[test]
fn an_eventual_read_prefers_the_lagging_local_replica() {
    let mut sim = Simulation::new(default_settings());
    sim.update_endpoints(UpdateKind::Delta, vec![replica(SECOND_LOCAL_REPLICA, LOCAL_ZONE)]);
    sim.report_fresh(SECOND_LOCAL_REPLICA);
    sim.now += 2.0;
    sim.report_fresh(LOCAL_REPLICA);
    for i in 0..4 {
        let id = format!("a{i}");
        assert_eq!(sent_endpoints(&sim.request(&id, EVENTUAL_READ)), [SECOND_LOCAL_REPLICA]);
        sim.finish_attempt(&id, SECOND_LOCAL_REPLICA, 0, Outcome::Success);
    }
}

/// Without a primary, no log position advances. Trying every replica in turn would only add load.
#[test]
fn replicas_known_to_lag_are_not_all_tried() {
    let mut sim = Simulation::new(default_settings());
    sim.report_fresh(LOCAL_REPLICA);
    sim.report_fresh(REMOTE_REPLICA);
    sim.request("w", KEYED_WRITE);
    sim.finish_attempt("w", PRIMARY, 0, Outcome::ConnectFailed);
    sim.now += 3.0;
    let first_action = sim.actions.len();
    for i in 0..5 {
        let id = format!("b{i}");
        let mut target = first_endpoint(&sim.request(&id, BOUNDED_READ));
        let mut attempt = 0;
        while let Some(endpoint) = target {
            let rejected = FinishedAttempt::new(&id, &endpoint, Outcome::Ineligible).number(attempt);
            let rejected = rejected.role(Role::Replica).log_position(sim.now - 3.0);
            target = first_endpoint(&sim.finish_attempt_with(rejected));
            attempt += 1;
        }
    }
    let sends = sent_endpoints(&sim.actions[first_action..]).len();
    assert!(sends <= 4, "{sends} attempts of five reads that no endpoint can answer");
}

/// Requests that an endpoint rejects as overloaded end at once, which would make the endpoint appear idle.
#[test]
fn an_endpoint_that_rejects_requests_as_overloaded_counts_as_loaded() {
    let mut sim = Simulation::new(default_settings());
    sim.update_endpoints(UpdateKind::Delta, vec![replica(SECOND_LOCAL_REPLICA, LOCAL_ZONE)]);
    sim.report_fresh(LOCAL_REPLICA);
    sim.report_fresh(SECOND_LOCAL_REPLICA);
    let mut sent_to_overloaded = 0;
    for i in 0..20 {
        let id = format!("b{i}");
        let endpoint = sim.route(&id, BOUNDED_READ);
        if endpoint == LOCAL_REPLICA {
            sent_to_overloaded += 1;
            let retried = sim.finish_attempt(&id, LOCAL_REPLICA, 0, Outcome::Overloaded);
            let next = sent_endpoints(&retried).join("");
            sim.finish_attempt(&id, &next, 1, Outcome::Success);
        } else {
            sim.finish_attempt(&id, &endpoint, 0, Outcome::Success);
        }
    }
    assert!(sent_to_overloaded <= 3, "{sent_to_overloaded} of 20 reads went to the overloaded endpoint");
}

/// Answers eventual reads after 3 s each, which is longer than the staleness bound of the bounded reads. From
/// then on, the policy predicts such a latency for the class.
fn raise_eventual_read_latency(sim: &mut Simulation) {
    for i in 0..40 {
        sim.advance_time(0.1);
        sim.report_fresh(LOCAL_REPLICA);
        let id = format!("a{i}");
        let endpoint = sim.route(&id, EVENTUAL_READ);
        sim.finish_attempt_with(FinishedAttempt::new(&id, &endpoint, Outcome::Success).elapsed(3.0));
    }
}

/// Creates a simulation in which eventual reads are long. Of three remote replicas, one has never reported
/// its log position, one lags and one is fresh.
fn simulation_with_long_reads(settings: Settings) -> Simulation {
    let mut sim = Simulation::new(settings);
    let replicas = vec![replica(LAGGING_REPLICA, REMOTE_ZONE), replica(FRESH_REPLICA, REMOTE_ZONE)];
    sim.update_endpoints(UpdateKind::Delta, replicas);
    sim.report_fresh(LAGGING_REPLICA);
    sim.advance_time(1.0);
    sim.report_fresh(FRESH_REPLICA);
    raise_eventual_read_latency(&mut sim);
    sim
}

/// Long reads delay the replication of their replica. Spread over all replicas, they would leave few of them
/// fresh.
#[test]
fn long_eventual_reads_are_concentrated_on_the_replica_that_lags_most() {
    let mut sim = Simulation::new(default_settings());
    sim.report_fresh(LOCAL_REPLICA);
    raise_eventual_read_latency(&mut sim);
    let endpoints = sim.request("last", EVENTUAL_READ);
    assert_eq!(
        sent_endpoints(&endpoints),
        [REMOTE_REPLICA],
        "the local replica is fresh, the remote one lags"
    );
}

/// Guards against spilling over to the least loaded replica: it is idle because it is catching up, and a long
/// read would delay its replication as well, so that no replica could catch up.
#[test]
fn long_eventual_reads_spill_over_to_the_replica_that_lags_next_most() {
    let mut sim = simulation_with_long_reads(default_settings());
    let expected =
        [REMOTE_REPLICA, REMOTE_REPLICA, REMOTE_REPLICA, LAGGING_REPLICA, REMOTE_REPLICA, LAGGING_REPLICA];
    for (i, endpoint) in expected.into_iter().enumerate() {
        assert_eq!(sim.route(&format!("b{i}"), EVENTUAL_READ), endpoint, "read {i}");
    }
}

/// Guards against rejecting a long read because the replica that lags most cannot answer in time, while the
/// next one can. Only one more is considered: otherwise long reads would delay the replication of every
/// replica.
#[test]
fn a_long_eventual_read_considers_one_more_replica_that_can_answer_in_time() {
    let mut sim = simulation_with_long_reads(Settings { pooler_count: 8, ..default_settings() });
    assert_eq!(sent_endpoints(&sim.request("b0", EVENTUAL_READ)), [REMOTE_REPLICA]);
    assert_eq!(sent_endpoints(&sim.request("b1", EVENTUAL_READ)), [LAGGING_REPLICA]);
    let third = sim.request("b2", EVENTUAL_READ);
    assert_eq!(sent_endpoints(&third), [PRIMARY], "long reads delay no replication on the primary");
    let fourth = sim.request("b3", EVENTUAL_READ);
    assert_eq!(count_final_answers(&fourth), 1, "the fresh replica is kept for reads that need it");
}

/// Guards against taking the commit time in the answer to a repeated write for the current time: the required
/// positions were then seconds too old, and a replica served data older than the bound.
#[test]
fn answers_to_repeated_writes_do_not_send_a_bounded_read_to_a_lagging_replica() {
    let mut sim =
        Simulation::new(Settings { shares_endpoint_clock: false, ..settings_that_serve_stale_reads() });
    let answer_as_primary = |sim: &mut Simulation, id: &str, position: f64| {
        let answer = FinishedAttempt::new(id, PRIMARY, Outcome::Success).role(Role::Primary);
        sim.finish_attempt_with(answer.log_position(position));
    };
    assert_eq!(sim.route("clock", STRONG_READ), PRIMARY);
    sim.now += 0.02;
    let position = sim.now;
    answer_as_primary(&mut sim, "clock", position);
    let committed_at = sim.now;
    sim.now += 1.0;
    for id in ["w1", "w2", "w3"] {
        assert_eq!(sim.route(id, KEYED_WRITE), PRIMARY);
        sim.now += 0.02;
        answer_as_primary(&mut sim, id, committed_at);
    }
    let lagging = sim.now - 1.2;
    sim.report_position(LOCAL_REPLICA, lagging);
    assert_eq!(sim.route("read", BOUNDED_READ), PRIMARY);
}

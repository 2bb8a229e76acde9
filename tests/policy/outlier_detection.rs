//! Outlier detection: failure scores, ejection, trial requests and reinstatement.

use pg_pooler::interface::{Action, Event, Outcome, Role};
use pg_pooler::settings::Settings;

use crate::harness::{
    default_settings, first_endpoint, secs, sent_endpoints, FinishedAttempt, Simulation, EVENTUAL_READ,
    KEYED_WRITE, LOCAL_REPLICA, NO_ENDPOINTS, PRIMARY, REMOTE_REPLICA,
};

#[test]
fn an_unreachable_endpoint_is_ejected_and_later_gets_a_single_trial_request() {
    let mut sim = Simulation::new(default_settings());
    sim.report_fresh(LOCAL_REPLICA);
    sim.report_fresh(REMOTE_REPLICA);
    sim.request("a", EVENTUAL_READ);
    sim.finish_attempt("a", LOCAL_REPLICA, 0, Outcome::ConnectFailed);
    assert_ne!(sent_endpoints(&sim.request("b", EVENTUAL_READ)), [LOCAL_REPLICA]);
    sim.advance_time(20.0);
    let endpoints = sim.request_many("c", 2, EVENTUAL_READ);
    let trials = endpoints.iter().filter(|endpoint| *endpoint == LOCAL_REPLICA).count();
    assert_eq!(trials, 1, "{endpoints:?}");
}

/// Guards against ejecting the primary because it rejects invalid requests, such as a request of a write
/// class whose statement is a read.
#[test]
fn invalid_requests_eject_no_endpoint() {
    let mut sim = Simulation::new(default_settings());
    for i in 0..5 {
        let id = format!("bad{i}");
        assert_eq!(sent_endpoints(&sim.request(&id, KEYED_WRITE)), [PRIMARY]);
        let rejected = FinishedAttempt::new(&id, PRIMARY, Outcome::InvalidRequest).elapsed(0.001);
        sim.finish_attempt_with(rejected.request_finished());
    }
    assert_eq!(sent_endpoints(&sim.request("good", KEYED_WRITE)), [PRIMARY]);
}

#[test]
fn endpoints_are_still_tried_after_all_of_a_group_have_failed() {
    let mut sim = Simulation::new(default_settings());
    for (i, endpoint) in [LOCAL_REPLICA, REMOTE_REPLICA, PRIMARY].iter().enumerate() {
        sim.report_fresh(endpoint);
        let id = format!("a{i}");
        let target = sim.route(&id, EVENTUAL_READ);
        sim.finish_attempt(&id, &target, 0, Outcome::ConnectFailed);
    }
    let first_action = sim.actions.len();
    sim.request("last", EVENTUAL_READ);
    sim.advance_time(0.35);
    let sends = sent_endpoints(&sim.actions[first_action..]).len();
    assert!(
        (1..=3).contains(&sends),
        "each endpoint is soon tried again, with one request at a time: {sends} requests"
    );
}

/// A connection reset is no evidence of a restart. If each one began a slow start, a network fault would
/// leave the whole group without capacity.
#[test]
fn connection_resets_do_not_put_an_endpoint_into_slow_start() {
    let mut sim = Simulation::new(default_settings());
    sim.report_fresh(LOCAL_REPLICA);
    for i in 0..3 {
        let id = format!("a{i}");
        if let Some(endpoint) = first_endpoint(&sim.request(&id, EVENTUAL_READ)) {
            sim.finish_attempt(&id, &endpoint, 0, Outcome::ConnectionReset);
        }
    }
    sim.advance_time(4.0);
    sim.request("trial", EVENTUAL_READ);
    sim.finish_attempt("trial", LOCAL_REPLICA, 0, Outcome::Success);
    for i in 0..3 {
        assert_eq!(sim.route(&format!("b{i}"), EVENTUAL_READ), LOCAL_REPLICA);
    }
}

/// Guards against slow ejection of an endpoint that hangs: with many poolers, each one has only a few
/// requests in flight there.
#[test]
fn a_single_overdue_request_ejects_a_replica_that_answers_nothing_else() {
    let mut sim = Simulation::new(default_settings());
    sim.report_fresh(LOCAL_REPLICA);
    for i in 0..40 {
        let id = format!("a{i}");
        let endpoint = sim.route(&id, EVENTUAL_READ);
        sim.advance_time(0.05);
        sim.finish_attempt(&id, &endpoint, 0, Outcome::Success);
    }
    sim.advance_time(0.01);
    assert_eq!(sent_endpoints(&sim.request("hangs", EVENTUAL_READ)), [LOCAL_REPLICA]);
    sim.advance_time(0.3);
    assert_ne!(sent_endpoints(&sim.request("next", EVENTUAL_READ)), [LOCAL_REPLICA]);
}

/// Creates a simulation whose primary has answered forty writes.
fn simulation_with_responding_primary() -> Simulation {
    let mut sim = Simulation::new(default_settings());
    for i in 0..40 {
        let id = format!("w{i}");
        sim.request(&id, KEYED_WRITE);
        sim.advance_time(0.05);
        sim.finish_attempt_with(FinishedAttempt::new(&id, PRIMARY, Outcome::Success).role(Role::Primary));
    }
    sim.advance_time(0.01);
    sim
}

/// No other endpoint can take the writes of a primary. A single connection that is unresponsive or could not
/// be established does not eject it; a second one does.
#[test]
fn a_primary_is_ejected_only_at_the_second_unresponsive_or_failed_connection() {
    let mut sim = simulation_with_responding_primary();
    for (id, endpoints) in [("1", vec![PRIMARY]), ("2", vec![PRIMARY]), ("3", vec![])] {
        assert_eq!(sent_endpoints(&sim.request(id, KEYED_WRITE)), endpoints, "{id}");
        sim.advance_time(0.25);
    }

    let mut sim = simulation_with_responding_primary();
    sim.request("1", KEYED_WRITE);
    for (attempt, endpoints) in [(0, vec![PRIMARY]), (1, vec![])] {
        sim.now += 0.25;
        let failed = FinishedAttempt::new("1", PRIMARY, Outcome::ConnectFailed).number(attempt).elapsed(0.25);
        assert_eq!(sent_endpoints(&sim.finish_attempt_with(failed)), endpoints, "{attempt}");
    }
}

/// Single connections also fail because of network faults. An endpoint that still answers continues to get
/// requests; one that stops answering does not.
#[test]
fn connection_failures_eject_only_an_endpoint_that_stops_answering() {
    for (fault, tolerated) in [(Outcome::ConnectionReset, 3), (Outcome::ConnectFailed, 1)] {
        let mut sim = Simulation::new(default_settings());
        sim.request("w", KEYED_WRITE);
        sim.finish_attempt_with(FinishedAttempt::new("w", PRIMARY, Outcome::Success).role(Role::Primary));
        for i in 0..=tolerated {
            let id = format!("{i}");
            assert_eq!(sent_endpoints(&sim.request(&id, KEYED_WRITE)), [PRIMARY], "{fault:?} {id}");
            sim.disconnect_client(&id);
            sim.finish_attempt(&id, PRIMARY, 0, fault);
        }
        assert_eq!(sent_endpoints(&sim.request("queued", KEYED_WRITE)), NO_ENDPOINTS, "{fault:?}");
    }
}

/// The idle connections of many poolers, a few from each, can exhaust the connection limit of an endpoint, so
/// that it refuses all new ones. Poolers of a large fleet therefore close theirs after a refused connection.
#[test]
fn poolers_of_a_large_fleet_close_idle_connections_after_a_refusal() {
    let closes_idle_connections = |pooler_count: u32| {
        let settings = Settings { pooler_count, ..default_settings() };
        let mut sim = Simulation::new(settings);
        sim.report_fresh(LOCAL_REPLICA);
        sim.report_fresh(REMOTE_REPLICA);
        sim.request("a", EVENTUAL_READ);
        let retried = sim.finish_attempt("a", LOCAL_REPLICA, 0, Outcome::ConnectFailed);
        assert_eq!(sent_endpoints(&retried), [REMOTE_REPLICA]);
        sim.finish_attempt("a", REMOTE_REPLICA, 1, Outcome::Success)
            .contains(&Action::CloseIdleConnections { endpoint: REMOTE_REPLICA.into() })
    };
    assert!(closes_idle_connections(1000));
    assert!(!closes_idle_connections(20), "a small fleet keeps them, because a new connection can be slow");
}

/// Guards against ejecting a host that drops requests with very little time left without a response: two such
/// requests ejected it.
#[test]
fn timeouts_shorter_than_the_usual_latency_eject_no_endpoint() {
    let mut sim = Simulation::new(default_settings());
    for i in 0..5 {
        let id = format!("short{i}");
        assert_eq!(sent_endpoints(&sim.handle(Event::request(&id, KEYED_WRITE, 0, secs(0.02)))), [PRIMARY]);
        sim.advance_time(0.02);
        sim.finish_attempt_with(FinishedAttempt::new(&id, PRIMARY, Outcome::Timeout).elapsed(0.02));
    }
    assert_eq!(sent_endpoints(&sim.request("good", KEYED_WRITE)), [PRIMARY]);
}

//! Selection of the primary, the search for a lost primary, and the writes that are queued meanwhile.

use pg_pooler::interface::{Action, Outcome, Role, StateChange, UpdateKind};
use pg_pooler::settings::Settings;

use crate::harness::{
    count_health_checks, default_settings, first_endpoint, primary, replica, sent_endpoints, FinishedAttempt,
    Simulation, EVENTUAL_READ, KEYED_WRITE, LOCAL_REPLICA, LOCAL_ZONE, NO_ENDPOINTS, PRIMARY, REMOTE_REPLICA,
    STRONG_READ,
};

/// Returns an answer in which an endpoint reports its role and its log position.
fn claim(id: &str, endpoint: &str, role: Role, log_position: f64) -> FinishedAttempt {
    FinishedAttempt::new(id, endpoint, Outcome::Success).role(role).log_position(log_position)
}

/// The primary rejects a write because it is no longer the primary.
fn demote_primary(sim: &mut Simulation, id: &str) {
    sim.finish_attempt_with(FinishedAttempt::new(id, PRIMARY, Outcome::Ineligible).role(Role::Replica));
}

#[test]
fn a_demoted_primary_gets_no_requests_and_the_queue_goes_to_the_new_primary() {
    let mut sim = Simulation::new(default_settings());
    sim.request("w", KEYED_WRITE);
    demote_primary(&mut sim, "w");
    assert!(!sent_endpoints(&sim.request("f", STRONG_READ)).contains(&PRIMARY));
    let promoted = sim.finish_attempt_with(claim("none", LOCAL_REPLICA, Role::Primary, sim.now));
    assert_eq!(
        sent_endpoints(&promoted),
        [LOCAL_REPLICA, LOCAL_REPLICA],
        "queued requests go to the new primary"
    );
}

/// Answers may arrive out of order. An answer from the time when its endpoint was still the primary must not
/// override a later answer that arrived first: a strong read would go to a replica.
#[test]
fn a_delayed_claim_is_dated_by_its_log_position() {
    let mut sim = Simulation::new(default_settings());
    sim.update_endpoints(UpdateKind::Snapshot, vec![replica(LOCAL_REPLICA, LOCAL_ZONE)]);
    let start = sim.now;
    assert_eq!(sent_endpoints(&sim.request("delayed", EVENTUAL_READ)), [LOCAL_REPLICA]);
    assert_eq!(sent_endpoints(&sim.request("prompt", EVENTUAL_READ)), [LOCAL_REPLICA]);
    sim.now += 0.2;
    sim.finish_attempt_with(claim("prompt", LOCAL_REPLICA, Role::Replica, start + 0.15));
    sim.now += 0.1;
    sim.finish_attempt_with(claim("delayed", LOCAL_REPLICA, Role::Primary, start + 0.05));
    sim.now += 0.01;
    assert_eq!(sent_endpoints(&sim.request("strong", STRONG_READ)), NO_ENDPOINTS, "no primary is known");
    // A claim with the current log position is trusted: the queued read goes to that endpoint.
    let endpoint = sim.route("again", EVENTUAL_READ);
    let promoted = sim.finish_attempt_with(claim("again", &endpoint, Role::Primary, sim.now));
    assert_eq!(sent_endpoints(&promoted), [endpoint.as_str()]);
}

#[test]
fn a_newer_claim_overrides_an_older_one_and_the_endpoint_list() {
    let mut sim = Simulation::new(default_settings());
    sim.finish_attempt_with(claim("x", PRIMARY, Role::Primary, sim.now));
    sim.now += 1.0;
    sim.finish_attempt_with(claim("x", LOCAL_REPLICA, Role::Primary, sim.now));
    sim.update_endpoints(UpdateKind::Delta, vec![primary(PRIMARY, LOCAL_ZONE)]);
    assert_eq!(sent_endpoints(&sim.request("w", KEYED_WRITE)), [LOCAL_REPLICA]);
}

#[test]
fn queued_writes_are_dispatched_gradually_to_a_new_primary() {
    let mut sim = Simulation::new(default_settings());
    sim.request("first", KEYED_WRITE);
    sim.finish_attempt("first", PRIMARY, 0, Outcome::ConnectFailed);
    for i in 0..30 {
        let queued = sim.request(&format!("w{i}"), KEYED_WRITE);
        assert_eq!(sent_endpoints(&queued).len(), 0, "queued while the primary is down");
    }
    let promoted = sim.finish_attempt_with(claim("none", LOCAL_REPLICA, Role::Primary, sim.now));
    let count = sent_endpoints(&promoted).iter().filter(|endpoint| **endpoint == LOCAL_REPLICA).count();
    assert!((1..=8).contains(&count), "{count}");
}

#[test]
fn without_health_checks_a_single_search_write_is_sent() {
    let mut sim = Simulation::new(default_settings());
    sim.request("w0", KEYED_WRITE);
    demote_primary(&mut sim, "w0");
    sim.request("w1", KEYED_WRITE);
    let actions = sim.advance_time(0.15);
    assert_eq!(sent_endpoints(&actions).len(), 1);
}

/// Guards against sending a search write to the same endpoint repeatedly: a former primary that had come
/// back as a replica got each queued write up to eight times.
#[test]
fn a_search_write_is_sent_to_each_endpoint_at_most_once() {
    let mut sim = Simulation::new(default_settings());
    sim.report_fresh(LOCAL_REPLICA);
    sim.report_fresh(REMOTE_REPLICA);
    sim.request("w", KEYED_WRITE);
    demote_primary(&mut sim, "w");
    let mut tried = Vec::new();
    for attempt in 1..6 {
        if let Some(endpoint) = first_endpoint(&sim.advance_time(0.4)) {
            let rejected = FinishedAttempt::new("w", &endpoint, Outcome::Ineligible).number(attempt);
            sim.finish_attempt_with(rejected.role(Role::Replica));
            tried.push(endpoint);
        }
    }
    tried.sort();
    assert_eq!(tried, [LOCAL_REPLICA, REMOTE_REPLICA], "each replica once, and not the demoted primary");
}

#[test]
fn with_health_checks_all_endpoints_are_checked_for_the_primary() {
    let mut sim = Simulation::new(Settings { health_checks: true, ..default_settings() });
    sim.advance_time(0.3);
    for endpoint in [PRIMARY, LOCAL_REPLICA, REMOTE_REPLICA] {
        sim.finish_health_check(endpoint, Outcome::Success);
    }
    sim.request("w", KEYED_WRITE);
    sim.finish_attempt("w", PRIMARY, 0, Outcome::ConnectFailed);
    let checks = count_health_checks(&sim.advance_time(0.3));
    assert!(checks >= 3, "{checks}");
}

/// Guards against two faults: poolers that all send health checks to every endpoint without a limit, and
/// endpoints that are ejected because they reject health checks under that load.
#[test]
fn health_checks_are_limited_by_a_budget_that_requests_refill() {
    let mut sim = Simulation::new(Settings { health_checks: true, ..default_settings() });
    sim.advance_time(5.0);
    assert_eq!(count_health_checks(&sim.actions), 0, "there are no requests");
    sim.request("w", KEYED_WRITE);
    demote_primary(&mut sim, "w");
    sim.request("w2", KEYED_WRITE);
    for _ in 0..40 {
        for action in sim.advance_time(0.2) {
            if let Action::HealthCheck { endpoint } = action {
                sim.finish_health_check(&endpoint, Outcome::Overloaded);
            }
        }
        sim.request("more", KEYED_WRITE);
    }
    let checks = count_health_checks(&sim.actions);
    assert!((3..=40).contains(&checks), "{checks}");
    let is_ejection = |action: &Action| matches!(action, Action::Log(StateChange::Ejected(_)));
    assert!(!sim.actions.iter().any(is_ejection));
}

//! Admission control: load shedding, tenant quotas and Retry-After.

use pg_pooler::interface::{Event, Outcome, Role, UpdateKind};
use pg_pooler::settings::Settings;

use crate::harness::{
    count_final_answers, default_settings, has_rejection_with_retry_after, primary, secs, sent_endpoints,
    FinishedAttempt, Simulation, BOUNDED_READ, KEYED_WRITE, LOCAL_ZONE, PRIMARY, STRONG_READ,
};

/// Creates a simulation whose only endpoint is a primary.
fn simulation_with_only_a_primary(settings: Settings) -> Simulation {
    let mut sim = Simulation::new(settings);
    sim.update_endpoints(UpdateKind::Snapshot, vec![primary(PRIMARY, LOCAL_ZONE)]);
    sim
}

/// The primary serves a request that was sent to it, after the given time.
fn finish_on_primary_after(sim: &mut Simulation, id: &str, elapsed: f64) {
    let served = FinishedAttempt::new(id, PRIMARY, Outcome::Success).elapsed(elapsed);
    sim.finish_attempt_with(served.role(Role::Primary));
}

#[test]
fn a_request_that_no_endpoint_can_answer_is_rejected_at_once_with_retry_after() {
    let mut sim = Simulation::new(default_settings());
    let unknown_group = 77;
    let actions = sim.handle(Event::request("x", BOUNDED_READ, unknown_group, secs(1.0)));
    assert!(has_rejection_with_retry_after(&actions));
}

/// Guards against immediate retries at a primary that rejects requests as overloaded: one write got ten
/// attempts within milliseconds.
#[test]
fn a_write_that_an_overloaded_primary_rejected_is_not_retried_at_once() {
    let mut sim = Simulation::new(default_settings());
    sim.request("w", KEYED_WRITE);
    let actions = sim.finish_attempt("w", PRIMARY, 0, Outcome::Overloaded);
    assert_eq!((sent_endpoints(&actions).len(), count_final_answers(&actions)), (0, 1));
    assert!(has_rejection_with_retry_after(&actions));
}

/// Each pooler admits some requests regardless of their predicted latency, to detect a recovery. In a large
/// fleet, these requests together must not overload an endpoint.
#[test]
fn unconditional_admissions_decrease_with_the_number_of_poolers() {
    let admitted = |pooler_count: u32| {
        let mut sim = simulation_with_only_a_primary(Settings { pooler_count, ..default_settings() });
        // The latencies are close to the deadline, so that no request is predicted to be answered in time.
        for i in 0..60 {
            sim.advance_time(2.5);
            let id = format!("slow{i}");
            sim.request(&id, KEYED_WRITE);
            finish_on_primary_after(&mut sim, &id, 1.7);
        }
        let first_action = sim.actions.len();
        for i in 0..50 {
            sim.request(&format!("w{i}"), KEYED_WRITE);
            sim.advance_time(0.02);
        }
        sent_endpoints(&sim.actions[first_action..]).len()
    };
    let (small, large) = (admitted(2), admitted(16));
    assert!(small >= 3 && large <= 2, "{small} with two poolers, {large} with sixteen");
}

/// Of two classes with the same priority weight, the one that occupies endpoints longer is shed first.
#[test]
fn under_overload_the_class_with_the_higher_latency_is_shed_first() {
    let mut sim = simulation_with_only_a_primary(Settings { pooler_count: 16, ..default_settings() });
    let (slow, fast) = (KEYED_WRITE, STRONG_READ);
    for i in 0..80 {
        sim.advance_time(2.5);
        let (class, elapsed) = if i % 2 == 0 { (slow, 0.32) } else { (fast, 0.05) };
        let id = format!("a{i}");
        assert_eq!(sent_endpoints(&sim.request(&id, class)), [PRIMARY]);
        finish_on_primary_after(&mut sim, &id, elapsed);
    }
    assert_eq!(sent_endpoints(&sim.request("slow", slow)).len(), 0);
    assert_eq!(sent_endpoints(&sim.request("fast", fast)), [PRIMARY]);
}

/// With a hundred poolers, the share of each in the quota of a tenant is less than one request per second.
#[test]
fn a_tenant_within_a_fractional_quota_per_pooler_is_not_over_quota() {
    let settings = Settings {
        pooler_count: 100,
        tenant_quotas: vec![Some(40.0)],
        over_quota_weight: 0.0,
        ..default_settings()
    };
    let mut sim = simulation_with_only_a_primary(settings);
    for i in 0..60 {
        sim.advance_time(2.6);
        let id = format!("w{i}");
        assert_eq!(sent_endpoints(&sim.request(&id, KEYED_WRITE)), [PRIMARY], "request {i}");
        finish_on_primary_after(&mut sim, &id, 0.235);
    }
    sim.request("one", KEYED_WRITE);
    sim.finish_attempt("one", PRIMARY, 0, Outcome::Overloaded);
    let over_quota = sim.request("two", KEYED_WRITE);
    assert_eq!(sent_endpoints(&over_quota).len(), 0, "a request over the quota is shed");
}

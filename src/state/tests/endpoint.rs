//! What is known of one endpoint.

use crate::interface::{Endpoint, EndpointStatus, LoadReport, Outcome, UpdateKind};
use crate::state::{ClusterClock, EndpointState};

/// The clock of a pooler that reads the same as the hosts.
const CLOCK: ClusterClock = ClusterClock::new(true);

fn endpoint() -> EndpointState {
    EndpointState::new("db-1".into(), 0, 0)
}

fn told(log_position: f64, primary: bool) -> LoadReport {
    LoadReport { log_position: Some(log_position), primary: Some(primary) }
}

#[test]
fn a_log_position_never_goes_back_and_is_never_in_the_future() {
    let mut endpoint = endpoint();
    endpoint.observe(&told(10.0, false), true, &CLOCK, 10.0);
    endpoint.observe(&told(9.0, false), true, &CLOCK, 11.0);
    endpoint.observe(&told(50.0, false), true, &CLOCK, 12.0);
    endpoint.observe(&told(f64::NAN, false), true, &CLOCK, 13.0);
    assert_eq!((endpoint.log_position, endpoint.log_position_at), (10.0, 10.0));
}

#[test]
fn a_claim_with_an_old_position_was_made_before_the_present_one() {
    let mut endpoint = endpoint();
    endpoint.observe(&told(10.0, false), true, &CLOCK, 10.0);
    endpoint.observe(&told(9.0, true), true, &CLOCK, 10.1);
    assert_eq!(endpoint.primary_claim(5.0), None);
    endpoint.observe(&told(10.2, true), true, &CLOCK, 10.2);
    assert_eq!(endpoint.primary_claim(5.0), Some(10.2));
}

#[test]
fn a_role_in_a_report_is_as_old_as_its_position() {
    let mut endpoint = endpoint();
    endpoint.observe(&told(10.0, true), false, &CLOCK, 12.0);
    assert_eq!(endpoint.primary_claim(5.0), Some(10.0));
}

#[test]
fn a_listed_role_counts_only_if_it_is_newer_than_what_the_endpoint_said() {
    let mut endpoint = endpoint();
    endpoint.observe(&told(10.0, false), true, &CLOCK, 10.0);
    let entry = Endpoint { id: "db-1".into(), primary: true, ..Endpoint::default() };
    endpoint.apply(UpdateKind::Delta, &entry, 12.0);
    assert_eq!(endpoint.primary_claim(5.0), None);
    assert_eq!(endpoint.primary_claim(1.0), Some(11.0));
}

#[test]
fn a_restart_clears_the_failures_and_begins_the_slow_start() {
    let mut endpoint = endpoint();
    endpoint.health.failure_score = 3.0;
    endpoint.health.is_ejected = true;
    endpoint.health.ejected_until = 20.0;
    let entry = Endpoint { id: "db-1".into(), started_at: 9.0, ..Endpoint::default() };
    endpoint.apply(UpdateKind::Delta, &entry, 10.0);
    assert_eq!((endpoint.health.failure_score, endpoint.health.is_ejected), (0.0, false));
    assert_eq!((endpoint.health.ejected_until, endpoint.min_uptime(&CLOCK, 10.0)), (0.0, Some(1.0)));
}

#[test]
fn an_announced_drain_outlives_the_removal_and_ends_with_a_return() {
    let mut endpoint = endpoint();
    let entry = |status| Endpoint { id: "db-1".into(), status, ..Endpoint::default() };
    for (status, is_announced) in [
        (EndpointStatus::Removed, false),
        (EndpointStatus::Draining, true),
        (EndpointStatus::Removed, true),
        (EndpointStatus::Serving, false),
    ] {
        endpoint.apply(UpdateKind::Delta, &entry(status), 1.0);
        assert_eq!(endpoint.drain_announced, is_announced, "{status:?}");
    }
}

#[test]
fn abandoned_attempts_count_as_load_until_their_time() {
    let mut endpoint = endpoint();
    endpoint.attempt_sent(1.0, 0.1);
    endpoint.load.abandoned.push(3.0);
    assert_eq!((endpoint.load.total(2.0), endpoint.load.total(3.0)), (2, 1));
    endpoint.attempt_ended(Outcome::Timeout, 4.0);
    assert_eq!((endpoint.load.total(2.0), endpoint.load.abandoned.len()), (0, 0));
    assert!(endpoint.is_silent_since(1.0), "a timeout is no answer");
    endpoint.attempt_ended(Outcome::Overloaded, 5.0);
    assert!(!endpoint.is_silent_since(5.0));
}

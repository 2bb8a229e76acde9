use super::*;
use crate::interface::LoadReport;
use crate::interface::Role;
use crate::policy::cluster::ClusterClock;
use crate::time::tests::{at, cluster_at, secs};

/// A clock that the pooler shares with the endpoints.
const CLOCK: ClusterClock = ClusterClock::new(true);

fn endpoint() -> EndpointState {
    EndpointState::new("db-1".into(), 0, 0)
}

fn report(log_position: f64, role: Role) -> LoadReport {
    LoadReport { log_position: Some(cluster_at(log_position)), role: Some(role) }
}

#[test]
fn a_listed_role_counts_only_if_it_is_newer_than_the_reported_one() {
    let mut endpoint = endpoint();
    endpoint.replication_mut().update_from_report(
        &report(10.0, Role::Replica),
        ReportAge::Current,
        &CLOCK,
        at(10.0),
    );
    let entry = Endpoint { id: "db-1".into(), role: Role::Primary, ..Endpoint::default() };
    endpoint.apply_list_entry(UpdateKind::Delta, &entry, at(12.0));
    assert_eq!(endpoint.primary_claim(secs(5.0)), None);
    assert_eq!(endpoint.primary_claim(secs(1.0)), Some(PrimaryClaim::at(at(11.0))));
}

#[test]
fn a_restart_clears_the_failures_and_begins_the_slow_start() {
    let mut endpoint = endpoint();
    let mut rng = Rng::with_seed(1);
    assert!(endpoint.record_failure(3.0, at(9.5), secs(0.25), &mut rng).is_some());
    assert!(endpoint.health().is_ejected());
    let entry = Endpoint { id: "db-1".into(), started_at: Some(cluster_at(9.0)), ..Endpoint::default() };
    assert_eq!(endpoint.apply_list_entry(UpdateKind::Delta, &entry, at(10.0)), Restart::Detected);
    assert_eq!(endpoint.health().ejected_until(), None);
    assert_eq!(endpoint.listing().min_uptime(&CLOCK, at(10.0)), Some(secs(1.0)));
    assert_eq!(endpoint.record_failure(1.9, at(10.0), secs(0.25), &mut rng), None, "the score was reset");
    assert_eq!(
        endpoint.apply_list_entry(UpdateKind::Delta, &entry, at(11.0)),
        Restart::NotDetected,
        "the start time is unchanged"
    );
}

#[test]
fn abandoned_attempts_count_as_load_until_their_time() {
    let mut endpoint = endpoint();
    endpoint.record_attempt_sent(at(1.0));
    endpoint.load.add_abandoned_attempt(at(3.0));
    assert_eq!(
        (endpoint.load.in_flight_and_abandoned(at(2.0)), endpoint.load.in_flight_and_abandoned(at(3.0))),
        (2, 1)
    );
    endpoint.record_attempt_ended(Outcome::Timeout, at(4.0));
    assert_eq!((endpoint.load.in_flight_and_abandoned(at(2.0)), endpoint.load.abandoned_count()), (0, 0));
    assert!(endpoint.has_not_responded_since(at(1.0)), "a timeout is no response");
    endpoint.record_attempt_ended(Outcome::Overloaded, at(5.0));
    assert!(!endpoint.has_not_responded_since(at(5.0)));
}

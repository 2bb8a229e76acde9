use super::*;
use crate::time::tests::{at, cluster_at};

/// A clock that the pooler shares with the endpoints.
const CLOCK: ClusterClock = ClusterClock::new(true);

fn report(log_position: f64, role: Role) -> LoadReport {
    LoadReport { log_position: Some(cluster_at(log_position)), role: Some(role) }
}

#[test]
fn a_log_position_never_goes_back_and_is_never_in_the_future() {
    let mut replication = Replication::default();
    replication.update_from_report(&report(10.0, Role::Replica), ReportAge::Current, &CLOCK, at(10.0));
    replication.update_from_report(&report(9.0, Role::Replica), ReportAge::Current, &CLOCK, at(11.0));
    replication.update_from_report(&report(50.0, Role::Replica), ReportAge::Current, &CLOCK, at(12.0));
    replication.update_from_report(&report(f64::NAN, Role::Replica), ReportAge::Current, &CLOCK, at(13.0));
    let known = (replication.log_position(), replication.log_position_reported_at());
    assert_eq!(known, (Some(cluster_at(10.0)), Some(at(10.0))));
}

#[test]
fn a_primary_claim_with_an_outdated_position_is_ignored() {
    let mut replication = Replication::default();
    replication.update_from_report(&report(10.0, Role::Replica), ReportAge::Current, &CLOCK, at(10.0));
    replication.update_from_report(&report(9.0, Role::Primary), ReportAge::Current, &CLOCK, at(10.1));
    assert_eq!(replication.primary_claim(None), None);
    replication.update_from_report(&report(10.2, Role::Primary), ReportAge::Current, &CLOCK, at(10.2));
    assert_eq!(replication.primary_claim(None), Some(PrimaryClaim::at(at(10.2))));
}

#[test]
fn a_role_in_a_report_is_as_old_as_its_position() {
    let mut replication = Replication::default();
    replication.update_from_report(&report(10.0, Role::Primary), ReportAge::Unknown, &CLOCK, at(12.0));
    assert_eq!(replication.primary_claim(None), Some(PrimaryClaim::at(at(10.0))));
}

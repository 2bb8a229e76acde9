use rstest::rstest;

use super::*;
use crate::interface::{LoadReport, Role};
use crate::policy::endpoint::ReportAge;
use crate::settings::StaleReadHandling;
use crate::time::tests::{at, cluster_at as position, secs};

fn cluster(now: f64, stale_reads: StaleReadHandling) -> Cluster {
    let mut cluster = Cluster::new(Settings { stale_reads, ..Settings::default() });
    cluster.advance_to(at(now));
    cluster
}

/// Creates a replica that reported `log_position` at `reported_at`.
fn replica(log_position: f64, reported_at: f64) -> EndpointState {
    let mut endpoint = EndpointState::new("replica".into(), 0, 0);
    let report = LoadReport { log_position: Some(position(log_position)), role: Some(Role::Replica) };
    let clock = cluster(reported_at, StaleReadHandling::Reject);
    endpoint.replication_mut().update_from_report(
        &report,
        ReportAge::Current,
        clock.clock(),
        at(reported_at),
    );
    endpoint
}

/// The replica lagged 0.1 s behind when it reported its position, 9.9 s.
#[rstest]
#[case::reached(10.0, 9.9, Freshness::Fresh)]
#[case::reached_if_its_lag_is_unchanged(10.05, 9.94, Freshness::PossiblyFresh)]
#[case::reached_if_it_has_caught_up(10.2, 10.2, Freshness::PossiblyFresh)]
#[case::not_reached(10.05, 10.0, Freshness::Stale)]
fn an_endpoint_that_checks_reads_may_be_fresh(
    #[case] now: f64,
    #[case] required: f64,
    #[case] expected: Freshness,
) {
    let required = RequiredPosition::AtLeast(position(required));
    let cluster = cluster(now, StaleReadHandling::Reject);
    assert_eq!(freshness(&replica(9.9, 10.0), required, &cluster), expected);
}

#[test]
fn an_endpoint_that_serves_stale_reads_must_be_known_to_be_fresh() {
    let serves_stale = cluster(20.0, StaleReadHandling::ServeStale);
    let endpoint = replica(9.9, 10.0);
    let at_position = |seconds| RequiredPosition::AtLeast(position(seconds));
    assert_eq!(freshness(&endpoint, at_position(9.9), &serves_stale), Freshness::Fresh);
    assert_eq!(freshness(&endpoint, at_position(9.95), &serves_stale), Freshness::Stale);
    assert_eq!(freshness(&endpoint, RequiredPosition::Unknown, &serves_stale), Freshness::Stale);
}

#[test]
fn an_unknown_position_may_be_recent_enough_for_any_read() {
    let endpoint = EndpointState::new("replica".into(), 0, 0);
    let checks = cluster(20.0, StaleReadHandling::Reject);
    let serves_stale = cluster(20.0, StaleReadHandling::ServeStale);
    let required = RequiredPosition::AtLeast(position(19.9));
    assert_eq!(freshness(&endpoint, required, &checks), Freshness::PossiblyFresh);
    assert_eq!(freshness(&endpoint, required, &serves_stale), Freshness::Stale);
    assert_eq!(freshness(&endpoint, RequiredPosition::Any, &serves_stale), Freshness::Fresh);
}

#[test]
fn an_unknown_requirement_is_above_every_position() {
    let positions = [
        RequiredPosition::Any,
        RequiredPosition::AtLeast(position(1.0)),
        RequiredPosition::AtLeast(position(2.0)),
        RequiredPosition::Unknown,
    ];
    assert!(positions.is_sorted());
    assert!(!RequiredPosition::Unknown.is_met_by(Some(position(1e9))));
    assert!(RequiredPosition::Any.is_met_by(None));
}

#[test]
fn a_rejected_read_marks_a_replica_as_behind_for_its_lag_at_least() {
    let settings = Settings::default();
    let until = |endpoint: &EndpointState| stale_until(endpoint, &settings, at(10.0), position(10.0));
    assert_eq!(until(&replica(9.0, 10.0)), at(11.0));
    assert_eq!(until(&replica(9.9, 10.0)), at(10.0) + settings.connect_timeout);
    let unknown = EndpointState::new("replica".into(), 0, 0);
    assert_eq!(until(&unknown), at(10.0) + settings.slow_start_window);
}

#[test]
fn only_old_positions_of_local_replicas_are_refreshed() {
    let at_time = |now| cluster(now, StaleReadHandling::Reject);
    let endpoint = replica(10.0, 10.0);
    assert!(!needs_position_refresh(&endpoint, &at_time(10.6)));
    assert!(needs_position_refresh(&endpoint, &at_time(10.8)));
    let remote = EndpointState::new("remote".into(), 1, 0);
    assert!(!needs_position_refresh(&remote, &at_time(10.8)));
    assert!(
        needs_position_refresh(&remote, &cluster(10.8, StaleReadHandling::ServeStale)),
        "no read may be sent to learn the position"
    );
    assert_eq!(at_time(10.0).shortest_staleness_bound(), secs(1.0));
}

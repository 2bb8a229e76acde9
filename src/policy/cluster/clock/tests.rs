use rstest::rstest;

use super::*;
use crate::time::tests::{at, cluster_at, secs};

/// Round-trip time of a request, in seconds.
const ROUND_TRIP: f64 = 0.02;
/// Tolerance for the rounding of positions and for the drift in a few seconds, in seconds.
const ROUNDING_AND_DRIFT: f64 = 0.003;

/// Records the response of a primary, whose clock is ahead by `offset`, to a request sent at `sent_at`.
fn observe_primary_response(clock: &mut ClusterClock, offset: f64, sent_at: f64) {
    clock.observe_current_time(
        cluster_at(sent_at + ROUND_TRIP / 2.0 + offset),
        at(sent_at),
        at(sent_at + ROUND_TRIP),
    );
}

fn earliest(clock: &ClusterClock, now: f64) -> ClusterInstant {
    clock.earliest(at(now)).expect("the offset is bounded")
}

fn latest(clock: &ClusterClock, now: f64) -> ClusterInstant {
    clock.latest(at(now)).expect("the offset is bounded")
}

#[test]
fn a_shared_clock_tells_the_same_time_whatever_is_observed() {
    let mut clock = ClusterClock::new(true);
    observe_primary_response(&mut clock, 5.0, 100.0);
    clock.observe_past_time(cluster_at(200.0), at(100.0));
    let expected = (Some(cluster_at(101.0)), cluster_at(101.0), Some(cluster_at(101.0)));
    assert_eq!((clock.earliest(at(101.0)), clock.estimate(at(101.0)), clock.latest(at(101.0))), expected);
    assert!(
        clock.is_plausible(cluster_at(101.0005), at(101.0))
            && !clock.is_plausible(cluster_at(101.1), at(101.0))
    );
}

#[test]
fn before_any_answer_the_estimate_is_the_poolers_time_without_bounds() {
    let clock = ClusterClock::new(false);
    let expected = (None, cluster_at(100.0), None);
    assert_eq!((clock.earliest(at(100.0)), clock.estimate(at(100.0)), clock.latest(at(100.0))), expected);
    assert!(!clock.is_plausible(cluster_at(105.0), at(100.0)));
}

#[rstest]
fn answers_of_primaries_bound_the_offset(#[values(-3600.0, -5.0, -0.5, 0.0, 0.5, 5.0, 3600.0)] offset: f64) {
    let mut clock = ClusterClock::new(false);
    for sent_at in [100.0, 101.0] {
        observe_primary_response(&mut clock, offset, sent_at);
    }
    let current = 102.0 + offset;
    assert!(earliest(&clock, 102.0) <= cluster_at(current) && cluster_at(current) <= latest(&clock, 102.0));
    assert!(latest(&clock, 102.0) - earliest(&clock, 102.0) <= secs(ROUND_TRIP + ROUNDING_AND_DRIFT));
    assert!((clock.estimate(at(102.0)) - cluster_at(current)).abs() <= secs(ROUND_TRIP));
    assert!(
        clock.is_plausible(cluster_at(current), at(102.0))
            && !clock.is_plausible(cluster_at(current + 0.1), at(102.0))
    );
}

/// A single position that contradicts the known bounds must not be taken for the current time.
#[test]
fn a_contradiction_counts_once_a_second_answer_agrees() {
    let mut clock = ClusterClock::new(false);
    observe_primary_response(&mut clock, 0.0, 100.0);
    observe_primary_response(&mut clock, 1e9, 101.0);
    assert!((clock.estimate(at(101.0)) - cluster_at(101.0)).abs() < secs(0.1));
    observe_primary_response(&mut clock, -50.0, 102.0);
    assert!(
        (clock.estimate(at(102.0)) - cluster_at(102.0)).abs() < secs(0.1),
        "the two answers contradict each other"
    );
    observe_primary_response(&mut clock, 0.0, 103.0);
    observe_primary_response(&mut clock, -50.0, 104.0);
    assert!(
        (clock.estimate(at(104.0)) - cluster_at(104.0)).abs() < secs(0.1),
        "an answer in between confirmed the bounds"
    );
    observe_primary_response(&mut clock, -50.0, 105.0);
    assert!((clock.estimate(at(105.0)) - cluster_at(55.0)).abs() < secs(0.1), "the clock was stepped");
}

#[test]
fn a_replica_bounds_the_current_time_from_below_only() {
    let mut clock = ClusterClock::new(false);
    clock.observe_past_time(cluster_at(99.0), at(100.0));
    clock.observe_past_time(cluster_at(90.0), at(101.0));
    let at_least = earliest(&clock, 101.0);
    assert!((cluster_at(99.9)..=cluster_at(100.0)).contains(&at_least), "{at_least:?}");
    assert_eq!((clock.estimate(at(101.0)), clock.latest(at(101.0))), (cluster_at(101.0), None));
    clock.observe_past_time(cluster_at(1e9), at(102.0));
    assert!(
        earliest(&clock, 102.0) <= cluster_at(102.0),
        "a time in the future is not accepted from a replica"
    );
}

#[test]
fn the_bounds_widen_with_time() {
    let mut clock = ClusterClock::new(false);
    observe_primary_response(&mut clock, 0.0, 100.0);
    let width = |now: f64| latest(&clock, now) - earliest(&clock, now);
    assert!(width(100_000.0) > width(200.0) && width(200.0) > width(101.0));
}

/// Guards against taking the time of an old commit for the current time: after two such answers the clock was
/// replaced by one that was seconds behind, and stale reads were served.
#[test]
fn old_commits_do_not_set_the_clock_back() {
    let mut clock = ClusterClock::new(false);
    for sent_at in [100.0, 101.0] {
        observe_primary_response(&mut clock, 0.5, sent_at);
    }
    let (earliest_before, latest_before) = (earliest(&clock, 102.0), latest(&clock, 102.0));
    for _ in 0..12 {
        clock.observe_commit(cluster_at(100.2), at(102.0));
    }
    assert_eq!((earliest(&clock, 102.0), latest(&clock, 102.0)), (earliest_before, latest_before));
}

#[test]
fn commits_alone_do_not_bound_the_current_time_from_above() {
    let mut clock = ClusterClock::new(false);
    for received_at in [100.0, 101.0] {
        clock.observe_commit(cluster_at(received_at - 2.0), at(received_at));
    }
    assert_eq!(clock.latest(at(102.0)), None);
    assert_eq!(clock.estimate(at(102.0)), cluster_at(102.0));
}

#[test]
fn two_commits_ahead_of_the_clock_show_that_it_is_behind() {
    let mut clock = ClusterClock::new(false);
    clock.observe_commit(cluster_at(105.0), at(100.0));
    assert_eq!(clock.estimate(at(100.0)), cluster_at(100.0), "a single wrong time is not used");
    clock.observe_commit(cluster_at(105.1), at(100.1));
    assert!((clock.estimate(at(101.0)) - cluster_at(106.0)).abs() <= secs(ROUNDING_AND_DRIFT));
    assert!(clock.is_plausible(cluster_at(105.1), at(100.1)));
    assert_eq!(clock.latest(at(101.0)), None);
}

/// A wrong clock is corrected by the reads of a primary, whatever writes are answered between them.
#[test]
fn old_commits_do_not_keep_a_wrong_clock() {
    let mut clock = ClusterClock::new(false);
    for sent_at in [100.0, 101.0] {
        observe_primary_response(&mut clock, 5.0, sent_at);
    }
    for sent_at in [102.0, 103.0] {
        observe_primary_response(&mut clock, 0.0, sent_at);
        clock.observe_commit(cluster_at(sent_at - 1.0), at(sent_at + 0.5));
    }
    assert!((clock.estimate(at(104.0)) - cluster_at(104.0)).abs() <= secs(ROUND_TRIP));
}

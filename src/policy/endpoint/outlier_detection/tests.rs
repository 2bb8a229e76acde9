use super::*;
use crate::time::tests::{at, secs};

const CONNECT_TIMEOUT: Span = secs(0.25);
/// Weight of an ordinary failure; two of them eject.
const FAILURE_WEIGHT: f64 = 1.0;
/// Weight of a failure that ejects immediately.
const EJECTING_FAILURE_WEIGHT: f64 = 2.0;

fn eject(detector: &mut OutlierDetector, now: LocalInstant) -> Span {
    detector.record_failure(EJECTING_FAILURE_WEIGHT, now, CONNECT_TIMEOUT, &mut Rng::with_seed(1));
    detector.ejected_until().expect("the endpoint is ejected") - now
}

#[test]
fn the_second_ordinary_failure_ejects() {
    let (mut detector, mut rng) = (OutlierDetector::default(), Rng::with_seed(1));
    assert!(!detector.record_failure(FAILURE_WEIGHT, at(10.0), CONNECT_TIMEOUT, &mut rng));
    assert!(detector.record_failure(FAILURE_WEIGHT, at(10.0), CONNECT_TIMEOUT, &mut rng));
    assert!(detector.is_ejected());
}

#[test]
fn failures_that_lie_apart_do_not_add_up() {
    let (mut detector, mut rng) = (OutlierDetector::default(), Rng::with_seed(1));
    for second in 0..50 {
        assert!(!detector.record_failure(
            FAILURE_WEIGHT,
            at(f64::from(second * 10)),
            CONNECT_TIMEOUT,
            &mut rng
        ));
    }
    assert!(!detector.is_ejected());
}

#[test]
fn a_success_halves_the_score() {
    let (mut detector, mut rng) = (OutlierDetector::default(), Rng::with_seed(1));
    detector.record_failure(FAILURE_WEIGHT, at(10.0), CONNECT_TIMEOUT, &mut rng);
    assert!(!detector.record_success(at(10.0)), "the endpoint was not ejected");
    assert!(!detector.record_failure(FAILURE_WEIGHT, at(10.0), CONNECT_TIMEOUT, &mut rng));
    assert_eq!(detector.failure_score, 1.5);
}

#[test]
fn an_ejected_endpoint_gets_one_trial_request_when_its_ejection_time_is_over() {
    let mut detector = OutlierDetector::default();
    assert!(!detector.is_trial_due(at(10.0)), "the endpoint is not ejected");
    let duration = eject(&mut detector, at(10.0));
    assert!(!detector.is_trial_due(at(10.0) + duration - secs(0.01)));
    assert!(detector.is_trial_due(at(10.0) + duration));
    detector.record_request_sent();
    assert!(!detector.is_trial_due(at(10.0) + duration));
}

#[test]
fn failures_before_the_trial_do_not_prolong_the_ejection() {
    let mut detector = OutlierDetector::default();
    eject(&mut detector, at(10.0));
    let until = detector.ejected_until().expect("the endpoint is ejected");
    assert!(!detector.record_failure(
        EJECTING_FAILURE_WEIGHT,
        until - secs(0.01),
        CONNECT_TIMEOUT,
        &mut Rng::with_seed(1)
    ));
    assert_eq!(detector.ejected_until(), Some(until));
}

#[test]
fn each_failed_trial_doubles_the_ejection_time_up_to_a_limit() {
    let mut detector = OutlierDetector::default();
    let mut now = at(10.0);
    let mut durations = Vec::new();
    for _ in 0..6 {
        durations.push(eject(&mut detector, now));
        now = detector.ejected_until().expect("the endpoint is ejected");
    }
    let expected = [2.0, 4.0, 8.0, 12.0, 12.0, 12.0].map(|multiple| multiple * CONNECT_TIMEOUT);
    for (duration, expected) in durations.iter().zip(expected) {
        assert!((0.75..1.25).contains(&(*duration / expected)), "{durations:?}");
    }
}

#[test]
fn a_relapse_soon_after_reinstatement_continues_the_doubling() {
    let mut detector = OutlierDetector::default();
    eject(&mut detector, at(10.0));
    assert!(detector.record_success(at(11.0)));
    assert!(
        eject(&mut detector, at(12.0)) > 2.0 * CONNECT_TIMEOUT * 1.25,
        "four times the connect timeout, with jitter"
    );
    assert!(detector.record_success(at(20.0)));
    assert!(
        eject(&mut detector, at(60.0)) < 2.0 * CONNECT_TIMEOUT * 1.25,
        "twice the connect timeout, with jitter"
    );
}

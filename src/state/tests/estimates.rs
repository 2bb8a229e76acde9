//! Latency and rate estimates, token buckets, slow-start budgets and random choices.

use crate::state::{two_of, EventRate, LatencyEstimator, SlowStartBudget, TokenBucket};
use crate::time::tests::{at, secs};

#[test]
fn a_latency_estimate_follows_its_samples() {
    let mut latency = LatencyEstimator::new(secs(0.1));
    assert_eq!((latency.mean, latency.deviation), (secs(0.1), secs(0.1)));
    for _ in 0..200 {
        latency.record(secs(0.3), 0.1);
    }
    assert!((latency.mean - secs(0.3)).abs() < secs(1e-6), "{:?}", latency.mean);
    assert!(latency.deviation < secs(1e-6), "{:?}", latency.deviation);
    assert_eq!(latency.upper(0.0), latency.mean);
}

#[test]
fn the_deviation_is_measured_from_the_mean_before_the_sample() {
    let mut latency = LatencyEstimator::new(secs(1.0));
    latency.record(secs(3.0), 0.5);
    assert_eq!((latency.mean, latency.deviation), (secs(2.0), secs(1.5)));
    assert_eq!(latency.upper(2.0), secs(5.0));
}

#[test]
fn a_bucket_holds_no_more_than_its_capacity() {
    let mut bucket = TokenBucket::new(1.0, 2.0);
    bucket.deposit(10.0);
    assert!(bucket.try_withdraw());
    assert!(bucket.try_withdraw());
    assert!(!bucket.try_withdraw());
}

#[test]
fn a_failed_withdrawal_leaves_the_fraction_in_the_bucket() {
    let mut bucket = TokenBucket::new(0.5, 2.0);
    assert!(!bucket.try_withdraw());
    bucket.deposit(0.5);
    assert!(bucket.try_withdraw());
}

#[test]
fn a_forced_withdrawal_takes_what_is_there() {
    let mut bucket = TokenBucket::new(0.5, 2.0);
    assert!(!bucket.withdraw());
    bucket.deposit(0.5);
    assert!(!bucket.has_token());
}

#[test]
fn an_earning_bucket_refills_with_time_and_never_with_time_that_runs_back() {
    let mut bucket = TokenBucket::earning(0.5, 2.0);
    assert!(bucket.refill(at(10.0)).withdraw());
    assert!(bucket.withdraw());
    assert!(!bucket.refill(at(5.0)).has_token());
    assert!(!bucket.refill(at(6.9)).has_token());
    assert!(bucket.refill(at(7.1)).has_token());
}

#[test]
fn a_bucket_without_a_limit_always_has_a_token() {
    let mut bucket = TokenBucket::earning(f64::INFINITY, 2.0);
    for _ in 0..100 {
        assert!(bucket.refill(at(0.0)).withdraw());
    }
}

#[test]
fn two_draws_choose_two_different_places() {
    assert_eq!(two_of(0, (3, 4)), None);
    assert_eq!(two_of(1, (3, 4)), Some([0, 0]));
    for len in 2..6 {
        for draws in (0..40).map(|n| (n % 7, n / 7)) {
            let [first, second] = two_of(len, draws).expect("there are places");
            assert!(first != second && first < len && second < len, "{len} {draws:?}");
        }
    }
}

/// Counts an event every `interval` seconds from `start` until `end`.
fn record_evenly(rate: &mut EventRate, interval: f64, start: f64, end: f64) {
    let count = ((end - start) / interval).round() as u32;
    (0..count).for_each(|i| rate.record(1.0, at(start + f64::from(i) * interval), secs(TIME_CONSTANT)));
}

const TIME_CONSTANT: f64 = 2.0;

#[test]
fn a_rate_is_right_from_the_start_and_follows_a_change_within_its_time() {
    let mut rate = EventRate::default();
    assert_eq!(rate.per_second(at(100.0), secs(TIME_CONSTANT)), 0.0);
    record_evenly(&mut rate, 0.01, 100.0, 100.5);
    assert!((rate.per_second(at(100.5), secs(TIME_CONSTANT)) - 100.0).abs() < 2.0, "after half a second");
    record_evenly(&mut rate, 0.002, 100.5, 110.5);
    assert!(
        (rate.per_second(at(110.5), secs(TIME_CONSTANT)) - 500.0).abs() < 10.0,
        "after five time constants"
    );
    assert!(rate.per_second(at(130.5), secs(TIME_CONSTANT)) < 0.1, "after twenty seconds without an event");
}

#[test]
fn a_slow_start_budget_is_earned_with_time_up_to_its_most() {
    let mut budget = SlowStartBudget::default();
    assert!(budget.allows_request(), "a pooler that has just started may send one");
    budget.earn(0.0, 1.0, at(100.0));
    budget.spend();
    budget.earn(2.0, 3.0, at(100.4));
    assert!(!budget.allows_request(), "0.8 of a request");
    budget.earn(2.0, 3.0, at(200.0));
    (0..3).for_each(|_| budget.spend());
    assert!(!budget.allows_request(), "three at most");
}

use super::*;
use crate::time::tests::secs;

#[test]
fn a_latency_estimate_follows_its_samples() {
    let mut latency = LatencyEstimator::new(secs(0.1));
    assert_eq!((latency.mean, latency.deviation), (secs(0.1), secs(0.1)));
    for _ in 0..200 {
        latency.record(secs(0.3), 0.1);
    }
    assert!((latency.mean - secs(0.3)).abs() < secs(1e-6), "{:?}", latency.mean);
    assert!(latency.deviation < secs(1e-6), "{:?}", latency.deviation);
    assert_eq!(latency.upper_bound(0.0), latency.mean());
}

#[test]
fn the_deviation_is_measured_from_the_mean_before_the_sample() {
    let mut latency = LatencyEstimator::new(secs(1.0));
    latency.record(secs(3.0), 0.5);
    assert_eq!((latency.mean, latency.deviation), (secs(2.0), secs(1.5)));
    assert_eq!(latency.upper_bound(2.0), secs(5.0));
}

use super::*;

#[test]
fn a_condition_is_logged_again_only_after_an_interval_without_it() {
    let mut limiter = LogLimiter::default();
    let start = Instant::now();
    let after = |intervals: f64| start + QUIET_TIME.mul_f64(intervals);
    assert!(limiter.permits(start));
    assert!(!limiter.permits(after(0.9)));
    assert!(!limiter.permits(after(1.8)), "each occurrence starts the interval anew");
    assert!(limiter.permits(after(2.8)));
}

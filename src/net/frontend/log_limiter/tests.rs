use super::*;

#[test]
fn a_condition_is_logged_again_only_after_a_quiet_period() {
    let mut limiter = LogLimiter::default();
    let start = Instant::now();
    let after = |periods: f64| start + QUIET_PERIOD.mul_f64(periods);
    assert!(limiter.should_log(start));
    assert!(!limiter.should_log(after(0.9)));
    assert!(!limiter.should_log(after(1.8)), "each occurrence restarts the quiet period");
    assert!(limiter.should_log(after(2.8)));
}

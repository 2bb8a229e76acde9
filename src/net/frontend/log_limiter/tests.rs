use super::*;

#[test]
fn a_condition_is_logged_again_only_after_an_interval_without_it() {
    let mut limiter = LogLimiter::default();
    assert!(limiter.permits(100.0));
    assert!(!limiter.permits(100.0 + 0.9 * LOG_INTERVAL));
    assert!(!limiter.permits(100.0 + 1.8 * LOG_INTERVAL), "each occurrence starts the interval anew");
    assert!(limiter.permits(100.0 + 2.8 * LOG_INTERVAL));
}

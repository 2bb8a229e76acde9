use super::*;
use crate::time::tests::at;

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
    assert!(!bucket.withdraw_up_to_one());
    bucket.deposit(0.5);
    assert!(!bucket.has_token());
}

#[test]
fn an_earning_bucket_refills_with_time_and_never_with_time_that_runs_back() {
    let mut bucket = TokenBucket::earning(0.5, 2.0);
    assert!(bucket.refill(at(10.0)).withdraw_up_to_one());
    assert!(bucket.withdraw_up_to_one());
    assert!(!bucket.refill(at(5.0)).has_token());
    assert!(!bucket.refill(at(6.9)).has_token());
    assert!(bucket.refill(at(7.1)).has_token());
}

#[test]
fn a_bucket_without_a_limit_always_has_a_token() {
    let mut bucket = TokenBucket::earning(f64::INFINITY, 2.0);
    for _ in 0..100 {
        assert!(bucket.refill(at(0.0)).withdraw_up_to_one());
    }
}

#[test]
fn a_bucket_refills_at_a_new_rate_up_to_its_new_capacity() {
    let mut bucket = TokenBucket::full(1.0);
    assert!(bucket.has_token(), "it starts with one");
    bucket.refill_at(0.0, 1.0, at(100.0));
    bucket.overdraw();
    bucket.refill_at(2.0, 3.0, at(100.4));
    assert!(!bucket.has_token(), "0.8 of a token");
    bucket.refill_at(2.0, 3.0, at(200.0));
    (0..3).for_each(|_| bucket.overdraw());
    assert!(!bucket.has_token(), "three at most");
}

#[test]
fn an_overdrawn_bucket_earns_its_debt_first() {
    let mut bucket = TokenBucket::earning(1.0, 1.0);
    bucket.refill(at(10.0));
    (0..3).for_each(|_| bucket.overdraw());
    assert!(!bucket.refill(at(12.9)).has_token());
    assert!(bucket.refill(at(13.0)).has_token());
}

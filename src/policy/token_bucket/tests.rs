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
fn a_saturating_withdrawal_takes_the_remaining_fraction() {
    let mut bucket = TokenBucket::new(0.5, 2.0);
    assert!(!bucket.withdraw_saturating());
    bucket.deposit(0.5);
    assert!(!bucket.has_token());
}

#[test]
fn a_bucket_refills_with_time_but_not_when_time_goes_backwards() {
    let mut bucket = TokenBucket::with_refill_rate(0.5, 2.0);
    assert!(bucket.refill(at(10.0)).withdraw_saturating());
    assert!(bucket.withdraw_saturating());
    assert!(!bucket.refill(at(5.0)).has_token());
    assert!(!bucket.refill(at(6.9)).has_token());
    assert!(bucket.refill(at(7.1)).has_token());
}

#[test]
fn a_bucket_with_an_infinite_rate_always_has_a_token() {
    let mut bucket = TokenBucket::with_refill_rate(f64::INFINITY, 2.0);
    for _ in 0..100 {
        assert!(bucket.refill(at(0.0)).withdraw_saturating());
    }
}

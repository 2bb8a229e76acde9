use super::*;
use crate::time::tests::{at, secs};

const LIFETIME: Span = secs(0.15);

fn budget(seed: u64) -> SlowStartBudget {
    SlowStartBudget::new(at(100.0), &mut Rng::with_seed(seed))
}

/// Returns how many of 1000 budgets have a token after `seconds`, at a rate known from the start.
fn count_with_token(per_second: f64, seconds: f64) -> usize {
    let has_token = |seed: &u64| {
        let mut budget = budget(*seed);
        let steps = (seconds / 0.05) as u32;
        (1..=steps).for_each(|step| budget.update(per_second, LIFETIME, at(100.0 + 0.05 * f64::from(step))));
        budget.has_token()
    };
    (0..1000).filter(has_token).count()
}

#[test]
fn a_fleet_holds_no_more_tokens_than_it_earns_within_their_lifetime() {
    for seconds in [0.05, 0.5, 3.0, 30.0] {
        let count = count_with_token(0.8, seconds);
        assert!((20..=170).contains(&count), "{count} of 1000 after {seconds} s, where 120 are expected");
    }
}

#[test]
fn all_tokens_that_are_earned_can_be_spent() {
    let (mut budget, mut spent) = (budget(1), 0);
    for step in 1..=1000 {
        budget.update(0.8, LIFETIME, at(100.0 + 0.05 * f64::from(step)));
        if budget.has_token() {
            budget.withdraw();
            spent += 1;
        }
    }
    assert!((39..=41).contains(&spent), "{spent} tokens in 50 s at 0.8 per second");
}

#[test]
fn one_request_is_permitted_until_the_rate_is_known() {
    let mut budget = budget(1);
    budget.update(0.0, LIFETIME, at(101.0));
    assert!(budget.has_token());
    budget.withdraw();
    budget.update(0.0, LIFETIME, at(102.0));
    assert!(!budget.has_token());
}

#[test]
fn one_token_is_lent_until_it_is_repaid() {
    let mut budget = budget(1);
    budget.update(0.8, LIFETIME, at(100.01));
    assert!(!budget.has_token() && budget.has_or_lends_token());
    budget.withdraw();
    assert!(!budget.has_or_lends_token());
    budget.update(0.8, LIFETIME, at(101.3));
    assert!(budget.has_or_lends_token());
}

#[test]
fn a_debt_is_repaid_before_the_next_request() {
    let mut budget = budget(1);
    (0..4).for_each(|_| budget.withdraw());
    budget.update(10.0, LIFETIME, at(100.25));
    assert!(!budget.has_token());
    budget.update(10.0, LIFETIME, at(100.55));
    assert!(budget.has_token());
}

use rstest::rstest;

use super::*;
use crate::interface::{Endpoint, UpdateKind};
use crate::policy::request::tests::pending;
use crate::policy::request::Attempt;
use crate::time::tests::{at, secs};

/// Index of a class of idempotent reads.
const IDEMPOTENT: usize = 0;
/// Index of a class of writes with an idempotency key and a deduplication window of 0.6 s.
const KEYED: usize = 1;
/// Index of a class of writes that must not be repeated.
const NON_IDEMPOTENT: usize = 2;

/// Returns a cluster with two endpoints.
fn cluster(now: f64, change: impl FnOnce(&mut Settings)) -> Cluster {
    let class = |idempotency, consistency| RequestClass {
        idempotency,
        consistency,
        deduplication_window: secs(0.6),
        ..RequestClass::default()
    };
    let mut settings = Settings {
        classes: vec![
            class(Idempotency::Idempotent, Consistency::Eventual),
            class(Idempotency::IdempotencyKey, Consistency::Write),
            class(Idempotency::NonIdempotent, Consistency::Write),
        ],
        max_attempts: 3,
        ..Settings::default()
    };
    change(&mut settings);
    let mut cluster = Cluster::new(settings);
    cluster.advance_to(at(now));
    let endpoints = ["a", "b"].map(|id| Endpoint { id: id.into(), ..Endpoint::default() });
    cluster.apply_list_update(UpdateKind::Snapshot, &endpoints);
    cluster
}

/// Creates a request whose only attempt was sent at 0.1 s and is in flight, or has ended if there is an
/// `outcome`.
fn attempted(class: usize, outcome: Option<Outcome>) -> PendingRequest {
    let mut request = pending("a", class);
    request.add_attempt(Attempt::new(0, at(0.1)));
    if let Some(outcome) = outcome {
        request.end_attempt(0, outcome);
    }
    request
}

#[rstest]
#[case::idempotent(IDEMPOTENT, 0.9, Ok(at(1.0)))]
#[case::inside_the_window(KEYED, 0.44, Ok(at(0.1) + secs(0.6) - MAX_PROCESS_PAUSE))]
#[case::no_time_to_connect_inside_the_window(KEYED, 0.46, Err(AttemptDenied::UnsafeRepeat))]
#[case::non_idempotent(NON_IDEMPOTENT, 0.2, Err(AttemptDenied::UnsafeRepeat))]
fn a_possibly_executed_request_is_repeated_as_its_class_allows(
    #[case] class: usize,
    #[case] now: f64,
    #[case] expected: Result<LocalInstant, AttemptDenied>,
) {
    let request = attempted(class, Some(Outcome::Timeout));
    assert_eq!(next_attempt(&request, &cluster(now, |_| ())), expected);
}

#[rstest]
fn a_request_that_was_not_executed_is_repeated_until_the_deadline(
    #[values(IDEMPOTENT, KEYED, NON_IDEMPOTENT)] class: usize,
    #[values(Outcome::Overloaded, Outcome::ConnectFailed, Outcome::Ineligible)] outcome: Outcome,
) {
    let request = attempted(class, Some(outcome));
    assert_eq!(next_attempt(&request, &cluster(0.9, |_| ())), Ok(at(1.0)));
    let last_tick = cluster(0.996, |_| ());
    assert_eq!(
        check_dispatch(&request, &last_tick),
        Err(GiveUpReason::AnswerTooLate),
        "late answers have no weight"
    );
    let late_counts = cluster(0.996, |settings| settings.classes[class].late_weight = 0.5);
    assert_eq!(check_dispatch(&request, &late_counts), Err(GiveUpReason::DeadlineReached));
}

#[test]
fn attempts_in_flight_and_in_total_are_limited() {
    let in_flight = attempted(IDEMPOTENT, None);
    assert_eq!(next_attempt(&in_flight, &cluster(0.2, |_| ())), Err(AttemptDenied::TooManyInFlight));
    let hedging = cluster(0.2, |settings| settings.hedging = true);
    assert_eq!(next_attempt(&in_flight, &hedging), Ok(at(1.0)));
    let mut request = pending("a", IDEMPOTENT);
    for number in 0..3 {
        request.add_attempt(Attempt::new(number, at(0.1)));
        request.end_attempt(number, Outcome::Error);
    }
    assert_eq!(next_attempt(&request, &cluster(0.2, |_| ())), Err(AttemptDenied::AttemptsExhausted));
}

#[test]
fn only_retries_of_possibly_executed_attempts_use_the_budget() {
    let mut budget = RetryBudget::new();
    for _ in 0..100 {
        assert_eq!(charge_retry(Outcome::Ineligible, true, &mut budget), Ok(()));
        assert_eq!(charge_retry(Outcome::Overloaded, false, &mut budget), Ok(()));
    }
    assert_eq!(charge_retry(Outcome::Overloaded, true, &mut budget), Err(GiveUpReason::PrimaryOverloaded));
    let retries = (0..100).filter(|_| charge_retry(Outcome::Error, false, &mut budget).is_ok()).count();
    assert_eq!(retries, 10, "half of the capacity");
    assert_eq!(charge_retry(Outcome::Timeout, false, &mut budget), Err(GiveUpReason::RetryBudgetExhausted));
    (0..11).for_each(|_| budget.deposit());
    assert_eq!(charge_retry(Outcome::Timeout, false, &mut budget), Ok(()));
}

const UNRESPONSIVE: OverdueCause = OverdueCause { is_endpoint_unresponsive: true, is_answer_lost: false };
const LOST: OverdueCause = OverdueCause { is_endpoint_unresponsive: false, is_answer_lost: true };

#[rstest]
#[case::unresponsive_read(IDEMPOTENT, UNRESPONSIVE, Some(Replacement::CancelAndRetry))]
#[case::unresponsive_write(KEYED, UNRESPONSIVE, None)]
#[case::lost_write(KEYED, LOST, Some(Replacement::CancelAndRetry))]
#[case::slow_read(IDEMPOTENT, OverdueCause { is_endpoint_unresponsive: false, is_answer_lost: false }, None)]
fn an_attempt_is_replaced_where_that_is_safe(
    #[case] class: usize,
    #[case] cause: OverdueCause,
    #[case] expected: Option<Replacement>,
) {
    let request = attempted(class, None);
    let latency = LatencyEstimator::new(secs(0.05));
    let replaced =
        |budget: &RetryBudget, cluster: &Cluster| replacement(&request, 0, cause, &latency, budget, cluster);
    let budget = RetryBudget::new();
    assert_eq!(replaced(&budget, &cluster(0.3, |_| ())), expected);
    assert_eq!(replaced(&budget, &cluster(0.46, |_| ())), None, "the answer would be late");
    assert_eq!(replaced(&budget, &cluster(0.3, |settings| settings.cancellation = false)), None);
    let mut empty = RetryBudget::new();
    while empty.withdraw() {}
    assert_eq!(replaced(&empty, &cluster(0.3, |_| ())), None, "no token");
}

#[test]
fn a_request_is_hedged_while_its_endpoint_still_answers() {
    let request = attempted(IDEMPOTENT, None);
    let cause = OverdueCause { is_endpoint_unresponsive: false, is_answer_lost: false };
    let latency = LatencyEstimator::new(secs(0.05));
    let hedging = cluster(0.3, |settings| settings.hedging = true);
    let replaced = replacement(&request, 0, cause, &latency, &RetryBudget::new(), &hedging);
    assert_eq!(replaced, Some(Replacement::Hedge));
}

#[rstest]
#[case::idempotent(IDEMPOTENT, Outcome::Timeout, true)]
#[case::keyed(KEYED, Outcome::Timeout, false)]
#[case::non_idempotent(NON_IDEMPOTENT, Outcome::Error, false)]
#[case::never_executed(NON_IDEMPOTENT, Outcome::Overloaded, true)]
fn clients_may_retry_where_a_repeat_is_harmless(
    #[case] class: usize,
    #[case] outcome: Outcome,
    #[case] expected: bool,
) {
    let cluster = cluster(0.2, |_| ());
    assert_eq!(is_client_retry_safe(&attempted(class, Some(outcome)), cluster.class(class)), expected);
}

use super::*;
use crate::interface::Event;
use crate::time::tests::{at, secs};

/// A request of this class for group 0, received at 0 s, with an objective at 0.5 s and a deadline at 1 s.
pub(crate) fn pending(id: &str, class: usize) -> PendingRequest {
    let Event::Request(request) = Event::request(id, class, 0, secs(1.0)) else { unreachable!() };
    let context = RequestContext {
        objective_expires_at: at(0.5),
        deadline: at(1.0),
        queue_until: at(0.5),
        session_token: RequiredPosition::Any,
        quota_status: QuotaStatus::Within,
        sampling_value: 0.0,
    };
    PendingRequest::new(request, context)
}

#[test]
fn the_risk_of_a_repeat_counts_from_the_first_attempt_that_may_have_run() {
    let mut request = pending("a", 0);
    assert_eq!(request.may_have_run_since(), None);
    request.add_attempt(Attempt::new(0, at(1.0)));
    assert_eq!(request.may_have_run_since(), Some(at(1.0)), "in flight");
    request.end_attempt(0, Outcome::Overloaded);
    assert_eq!(request.may_have_run_since(), None, "proven not to have run");
    request.add_attempt(Attempt::new(0, at(2.0)));
    request.add_attempt(Attempt::new(1, at(3.0)));
    request.end_attempt(2, Outcome::ConnectionReset);
    assert_eq!(request.may_have_run_since(), Some(at(2.0)), "the earlier one is still in flight");
    request.end_attempt(1, Outcome::Ineligible);
    assert_eq!(request.may_have_run_since(), Some(at(3.0)));
}

#[test]
fn attempts_that_were_not_sent_leave_a_request_without_an_endpoint() {
    let mut request = pending("a", 0);
    request.add_attempt(Attempt::new(0, at(1.0)));
    assert!(!request.has_reached_no_endpoint() && request.has_tried(0) && !request.has_tried(1));
    request.end_attempt(0, Outcome::ConnectFailed);
    assert!(request.has_reached_no_endpoint() && request.has_tried(0));
}

#[test]
fn cancellation_and_silence_are_remembered_until_the_attempt_ends() {
    let mut request = pending("a", 0);
    request.add_attempt(Attempt::new(0, at(1.0)));
    let attempt = request.attempt_mut(0).expect("it was added");
    attempt.cancel();
    assert!(attempt.is_cancelled() && !attempt.is_silence_counted());
    attempt.count_silence();
    attempt.cancel();
    assert!(attempt.is_cancelled() && attempt.is_silence_counted() && attempt.is_in_flight());
    let ended = request.end_attempt(0, Outcome::Cancelled).expect("it was in flight");
    assert!(ended.is_cancelled() && ended.is_silence_counted());
    assert!(request.end_attempt(0, Outcome::Success).is_none(), "it has ended");
}

#[test]
fn a_request_enters_a_queue_once() {
    let mut request = pending("a", 0);
    assert!(request.enter_queue() && !request.enter_queue());
    request.leave_queue();
    assert!(request.enter_queue());
    request.add_attempt(Attempt::new(0, at(1.0)));
    assert!(request.enter_queue(), "one that was sent is in no queue");
}

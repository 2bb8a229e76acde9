use super::*;
use crate::interface::Event;
use crate::time::tests::{at, secs};

/// Creates a request for group 0, received at 0 s, whose latency objective expires at 0.5 s and whose
/// deadline is at 1 s.
pub(crate) fn pending(id: &str, class: usize) -> PendingRequest {
    let Event::Request(request) = Event::request(id, class, 0, secs(1.0)) else { unreachable!() };
    let context = RequestContext {
        objective_expires_at: at(0.5),
        deadline: at(1.0),
        queue_deadline: at(0.5),
        session_token: RequiredPosition::Any,
        quota_status: QuotaStatus::Within,
        sampling_value: 0.0,
    };
    PendingRequest::new(request, context)
}

#[test]
fn possible_execution_counts_from_the_earliest_attempt_not_proven_unexecuted() {
    let mut request = pending("a", 0);
    assert_eq!(request.possibly_executed_since(), None);
    request.add_attempt(Attempt::new(0, at(1.0)));
    assert_eq!(request.possibly_executed_since(), Some(at(1.0)), "in flight");
    request.end_attempt(0, Outcome::Overloaded);
    assert_eq!(request.possibly_executed_since(), None, "proven not to have been executed");
    request.add_attempt(Attempt::new(0, at(2.0)));
    request.add_attempt(Attempt::new(1, at(3.0)));
    request.end_attempt(2, Outcome::ConnectionReset);
    assert_eq!(request.possibly_executed_since(), Some(at(2.0)), "the earlier one is still in flight");
    request.end_attempt(1, Outcome::Ineligible);
    assert_eq!(request.possibly_executed_since(), Some(at(3.0)));
}

#[test]
fn a_failed_connection_counts_as_tried_but_not_as_reached() {
    let mut request = pending("a", 0);
    request.add_attempt(Attempt::new(0, at(1.0)));
    assert!(!request.has_reached_no_endpoint() && request.has_tried(0) && !request.has_tried(1));
    request.end_attempt(0, Outcome::ConnectFailed);
    assert!(request.has_reached_no_endpoint() && request.has_tried(0));
}

#[test]
fn cancellation_and_the_counted_failure_are_kept_until_the_attempt_ends() {
    let mut request = pending("a", 0);
    request.add_attempt(Attempt::new(0, at(1.0)));
    let attempt = request.attempt_mut(0).expect("attempt was added");
    attempt.cancel();
    assert!(attempt.is_cancelled() && !attempt.is_counted_as_failure());
    attempt.mark_counted_as_failure();
    attempt.cancel();
    assert!(attempt.is_cancelled() && attempt.is_counted_as_failure() && attempt.is_in_flight());
    let ended = request.end_attempt(0, Outcome::Cancelled).expect("attempt was in flight");
    assert!(ended.is_cancelled() && ended.is_counted_as_failure());
    assert!(request.end_attempt(0, Outcome::Success).is_none(), "already ended");
}

#[test]
fn a_request_enters_a_queue_once() {
    let mut request = pending("a", 0);
    assert!(request.enter_queue() && !request.enter_queue());
    request.leave_queue();
    assert!(request.enter_queue());
    request.add_attempt(Attempt::new(0, at(1.0)));
    assert!(request.enter_queue(), "a request that was sent is not queued");
}

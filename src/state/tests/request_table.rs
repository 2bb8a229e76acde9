//! Pending requests and their attempts.

use crate::interface::{Event, Outcome, Request, RequestId};
use crate::state::{Attempt, PendingRequest, RequestTable};
use crate::time::tests::{at, secs};

fn request(id: &str) -> Request {
    let Event::Request(request) = Event::request(id, 0, 0, secs(1.0)) else { unreachable!() };
    request
}

#[test]
fn a_finished_request_stays_while_an_attempt_is_in_flight() {
    let mut table = RequestTable::default();
    let key = table.insert(PendingRequest::new(request("a")));
    table.add_attempt(key, Attempt::new(7, at(1.0)));
    table.finish_by_id(&RequestId::from("a"));
    assert!(table.get(key).is_some() && table.unfinished_mut(key).is_none());
    let pending = table.get_mut(key).expect("it is still there");
    assert!(pending.close_attempt(0, Outcome::Success).is_some());
    assert!(pending.close_attempt(0, Outcome::Success).is_none(), "it has ended");
    assert!(pending.close_attempt(1, Outcome::Success).is_none(), "there is none");
    table.finish(key);
    assert!(table.get(key).is_none() && table.key(&RequestId::from("a")).is_none());
}

#[test]
fn the_risk_of_a_repeat_counts_from_the_first_attempt_that_may_have_run() {
    let mut pending = PendingRequest::new(request("a"));
    assert_eq!(pending.may_have_run_since(), None);
    pending.attempts.push(Attempt::new(0, at(1.0)));
    assert_eq!(pending.may_have_run_since(), Some(at(1.0)), "in flight");
    pending.close_attempt(0, Outcome::Overloaded);
    assert_eq!(pending.may_have_run_since(), None, "proven not to have run");
    pending.attempts.push(Attempt::new(0, at(2.0)));
    pending.attempts.push(Attempt::new(1, at(3.0)));
    pending.close_attempt(2, Outcome::ConnectionReset);
    assert_eq!(pending.may_have_run_since(), Some(at(2.0)), "the earlier one is still in flight");
    pending.close_attempt(1, Outcome::Ineligible);
    assert_eq!(pending.may_have_run_since(), Some(at(3.0)));
}

#[test]
fn attempts_that_were_not_sent_leave_a_request_untried() {
    let mut pending = PendingRequest::new(request("a"));
    pending.attempts.push(Attempt::new(0, at(1.0)));
    assert!(!pending.untried() && pending.tried(0) && !pending.tried(1));
    pending.close_attempt(0, Outcome::ConnectFailed);
    assert!(pending.untried() && pending.tried(0));
}

#[test]
fn attempts_in_flight_are_listed_with_their_number() {
    let mut table = RequestTable::default();
    let first = table.insert(PendingRequest::new(request("a")));
    let second = table.insert(PendingRequest::new(request("b")));
    table.add_attempt(second, Attempt::new(1, at(1.0)));
    table.add_attempt(first, Attempt::new(2, at(2.0)));
    table.add_attempt(first, Attempt::new(3, at(3.0)));
    table.get_mut(first).and_then(|pending| pending.close_attempt(0, Outcome::Error));
    let listed: Vec<_> =
        table.attempts_in_flight().map(|(key, _, number, attempt)| (key, number, attempt.endpoint)).collect();
    assert_eq!(listed, [(first, 1, 3), (second, 0, 1)]);
}

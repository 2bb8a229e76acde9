use super::*;
use crate::interface::Outcome;
use crate::policy::request::tests::pending;
use crate::time::tests::at;

fn add_attempt(table: &mut RequestTable, key: RequestKey, attempt: Attempt) {
    table.get_mut(key).expect("request is in the table").add_attempt(attempt);
}

#[test]
fn a_finished_request_stays_while_an_attempt_is_in_flight() {
    let mut table = RequestTable::default();
    let key = table.insert(pending("a", 0));
    add_attempt(&mut table, key, Attempt::new(7, at(1.0)));
    table.finish_by_id(&RequestId::from("a"));
    assert!(table.get(key).is_some() && table.unfinished_mut(key).is_none());
    let request = table.get_mut(key).expect("request is kept while an attempt is in flight");
    assert!(request.end_attempt(0, Outcome::Success).is_some());
    assert!(request.end_attempt(0, Outcome::Success).is_none(), "already ended");
    assert!(request.end_attempt(1, Outcome::Success).is_none(), "no such attempt");
    table.finish(key);
    assert!(table.get(key).is_none() && table.key(&RequestId::from("a")).is_none());
}

#[test]
fn attempts_in_flight_are_listed_with_their_number() {
    let mut table = RequestTable::default();
    let first = table.insert(pending("a", 0));
    let second = table.insert(pending("b", 0));
    add_attempt(&mut table, second, Attempt::new(1, at(1.0)));
    add_attempt(&mut table, first, Attempt::new(2, at(2.0)));
    add_attempt(&mut table, first, Attempt::new(3, at(3.0)));
    table.get_mut(first).and_then(|request| request.end_attempt(0, Outcome::Error));
    let listed = table.attempts_in_flight();
    let listed: Vec<_> =
        listed.map(|listed| (listed.key, listed.number, listed.attempt.endpoint())).collect();
    assert_eq!(listed, [(first, 1, 3), (second, 0, 1)]);
    assert_eq!(table.count_by_endpoint(4, |in_flight| in_flight.key == first), [0, 0, 0, 1]);
}

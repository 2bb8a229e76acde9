//! Tests of the life cycle of requests in the table.

use super::{AbandonedRequest, ActiveRequests, ClientState};
use crate::interface::RequestId;
use crate::net::messages::Statement;
use crate::net::reactor::{ConnectionId, ConnectionTable};

const ID: &str = "r1";

/// Returns distinct connection IDs.
fn connections<const N: usize>() -> [ConnectionId; N] {
    let mut table = ConnectionTable::new();
    std::array::from_fn(|_| table.insert(()))
}

fn statement() -> Statement {
    Statement { text: "SELECT 1".into(), timeout_range: 0..0, memory: None }
}

/// Returns a table with one request that `client` waits for.
fn table_with_request(client: ConnectionId) -> ActiveRequests {
    let mut table = ActiveRequests::default();
    table.insert(RequestId::from(ID), client, statement(), None);
    table
}

/// Starts an attempt on `connection` and returns its number.
fn send_attempt(table: &mut ActiveRequests, connection: Option<ConnectionId>) -> usize {
    let attempt = table.start_attempt(ID.into()).expect("the request is in progress");
    table.record_attempt_sent(ID, attempt.number, connection);
    attempt.number
}

#[test]
fn an_unknown_request_has_no_attempts_and_no_client() {
    let [client] = connections();
    let mut table = ActiveRequests::default();
    assert!(!table.requests.contains_key(ID));
    assert!(table.start_attempt(ID.into()).is_none());
    assert_eq!(table.record_attempt_finished(ID, 0), None);
    assert_eq!(table.connection_of_attempt(ID, 0), None);
    assert_eq!(table.abandon(client), None);
    assert_eq!(table.take_client(ID), None);
    table.record_attempt_sent(ID, 0, Some(client));
    table.remove_if_finished(ID);
    assert!(!table.requests.contains_key(ID));
}

#[test]
fn attempts_are_numbered_from_zero_and_carry_the_statement() {
    let [client] = connections();
    let mut table = table_with_request(client);
    for number in 0..3 {
        let attempt = table.start_attempt(ID.into()).expect("the request is in progress");
        assert_eq!((attempt.number, &*attempt.statement.text), (number, "SELECT 1"));
    }
}

#[test]
fn only_the_attempt_in_flight_has_a_connection() {
    let [client, first, second] = connections();
    let mut table = table_with_request(client);
    assert_eq!(table.connection_of_attempt(ID, 0), None);
    let number = send_attempt(&mut table, Some(first));
    assert_eq!(table.connection_of_attempt(ID, number), Some(first));
    assert_eq!(table.record_attempt_finished(ID, number), Some(ClientState::Waiting));
    assert_eq!(table.connection_of_attempt(ID, number), None);
    let retry = send_attempt(&mut table, Some(second));
    assert_eq!(table.connection_of_attempt(ID, number), None);
    assert_eq!(table.connection_of_attempt(ID, retry), Some(second));
}

#[test]
fn an_attempt_without_a_connection_counts_as_in_flight() {
    let [client] = connections();
    let mut table = table_with_request(client);
    let number = send_attempt(&mut table, None);
    assert_eq!(table.connection_of_attempt(ID, number), None);
    assert_eq!(table.take_client(ID), Some(client));
    table.remove_if_finished(ID);
    assert!(table.requests.contains_key(ID));
    assert_eq!(table.record_attempt_finished(ID, 0), Some(ClientState::NotWaiting));
    table.remove_if_finished(ID);
    assert!(!table.requests.contains_key(ID));
}

#[test]
fn a_request_stays_while_its_client_waits() {
    let [client] = connections();
    let mut table = table_with_request(client);
    table.remove_if_finished(ID);
    assert!(table.requests.contains_key(ID));
    assert_eq!(table.take_client(ID), Some(client));
    assert_eq!(table.take_client(ID), None, "a request has only one final response");
    table.remove_if_finished(ID);
    assert!(!table.requests.contains_key(ID));
}

#[test]
fn a_client_that_has_its_answer_abandons_nothing_when_it_disconnects() {
    let [client] = connections();
    let mut table = table_with_request(client);
    assert_eq!(table.take_client(ID), Some(client));
    assert_eq!(table.abandon(client), None);
}

#[test]
fn a_disconnected_client_abandons_its_request_with_the_attempt_in_flight() {
    let [client, other, connection] = connections();
    let mut table = table_with_request(client);
    send_attempt(&mut table, Some(connection));
    assert_eq!(table.abandon(other), None);
    let abandoned = AbandonedRequest { id: RequestId::from(ID), connections: vec![connection] };
    assert_eq!(table.abandon(client), Some(abandoned));
    assert_eq!(table.abandon(client), None);
    assert_eq!(table.take_client(ID), None, "no client waits for a response");
    table.remove_if_finished(ID);
    assert!(table.requests.contains_key(ID), "its attempt is in flight");
    assert_eq!(table.record_attempt_finished(ID, 0), Some(ClientState::NotWaiting));
    table.remove_if_finished(ID);
    assert!(!table.requests.contains_key(ID));
}

#[test]
fn a_client_can_wait_for_its_next_request_while_an_abandoned_one_is_in_flight() {
    let [client, connection] = connections();
    let mut table = table_with_request(client);
    send_attempt(&mut table, Some(connection));
    assert!(table.abandon(client).is_some());
    table.insert(RequestId::from("r2"), client, statement(), None);
    assert_eq!(table.take_client(ID), None);
    assert_eq!(table.take_client("r2"), Some(client));
}

/// A hedged request has two attempts in flight. Recording the second one used to overwrite the first.
#[test]
fn a_request_stays_until_all_its_attempts_have_ended() {
    let [client, first_connection, second_connection] = connections();
    let mut table = table_with_request(client);
    let first = send_attempt(&mut table, Some(first_connection));
    let second = send_attempt(&mut table, Some(second_connection));
    assert_eq!(table.connection_of_attempt(ID, first), Some(first_connection));
    assert_eq!(table.connection_of_attempt(ID, second), Some(second_connection));
    assert_eq!(table.connections(ID), [first_connection, second_connection]);
    assert_eq!(table.record_attempt_finished(ID, second), Some(ClientState::Waiting));
    assert_eq!(table.take_client(ID), Some(client));
    table.remove_if_finished(ID);
    assert_eq!(table.connections(ID), [first_connection], "the first attempt is still in flight");
    assert_eq!(table.record_attempt_finished(ID, first), Some(ClientState::NotWaiting));
    table.remove_if_finished(ID);
    assert!(!table.requests.contains_key(ID));
}

#[test]
fn a_disconnected_client_abandons_all_attempts_in_flight() {
    let [client, first, second] = connections();
    let mut table = table_with_request(client);
    send_attempt(&mut table, Some(first));
    send_attempt(&mut table, Some(second));
    let abandoned = AbandonedRequest { id: RequestId::from(ID), connections: vec![first, second] };
    assert_eq!(table.abandon(client), Some(abandoned));
}

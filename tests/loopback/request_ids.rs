//! No two open requests share an ID, wherever in the pooler they are.

use crate::harness::*;

fn read(id: &str) -> Vec<u8> {
    Request::new(id, "reports").message()
}

/// Guards against serving a request with the ID of another client's request that waits behind the running one
/// on its connection: the hosts got two requests with one ID.
#[test]
fn the_id_of_a_request_that_waits_in_a_connection_is_in_use() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut usual = connect_client(&pooler);
    let mut other = connect_client(&pooler);
    usual.send(&[read("1"), read("2")].concat());
    let mut backend = host.accept();
    backend.expect_request("1");
    other.send(&read("2"));
    other.expect_error("22023");
    backend.send_result(BINARY_VALUE, Role::Reader);
    usual.expect_result();
    backend.expect_request("2");
    backend.send_result(b"second", Role::Reader);
    usual.expect_value(b"second");
    // Both requests are finished, so that their IDs are free.
    other.send(&read("2"));
    backend.expect_request("2");
    backend.send_result(BINARY_VALUE, Role::Reader);
    other.expect_result();
}

/// Guards against the same between two requests that both wait: the second one was served once the first one
/// had its answer.
#[test]
fn of_two_waiting_requests_with_one_id_the_first_is_served() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut first = connect_client(&pooler);
    let mut second = connect_client(&pooler);
    first.send(&[read("1"), read("3")].concat());
    let mut first_backend = host.accept();
    first_backend.expect_request("1");
    second.send(&[read("2"), read("3")].concat());
    let mut second_backend = host.accept();
    second_backend.expect_request("2");
    first_backend.send_result(BINARY_VALUE, Role::Reader);
    first.expect_result();
    first_backend.expect_request("3");
    first_backend.send_result(BINARY_VALUE, Role::Reader);
    first.expect_result();
    second_backend.send_result(BINARY_VALUE, Role::Reader);
    second.expect_result();
    second.expect_error("22023");
}

/// A client that leaves takes its waiting requests with it. None of them has run.
#[test]
fn the_id_of_a_waiting_request_is_free_once_its_client_has_gone() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut gone = connect_client(&pooler);
    let mut other = connect_client(&pooler);
    gone.send(&[read("1"), read("2")].concat());
    host.accept().expect_request("1");
    gone.close();
    pooler.wait_for_log("client connection closed");
    other.send(&read("2"));
    host.accept().expect_request("2");
}

/// Guards against releasing the ID of a request while an endpoint may still run it: it ran twice when it came
/// again after its client had left.
#[test]
fn the_id_of_a_request_that_was_sent_is_in_use_after_its_client_has_gone() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut gone = connect_client(&pooler);
    let mut other = connect_client(&pooler);
    let mut backend = start_read(&host, &mut gone, "1");
    gone.close();
    backend.expect_closed();
    other.send(&read("1"));
    other.expect_error("22023");
    start_read(&host, &mut other, "2");
}

/// The same for a request that has failed: the endpoint that did not answer may run it yet.
#[test]
fn the_id_of_a_request_that_failed_is_in_use() {
    let host = DatabaseHost::new();
    let no_retries = Edit { from: r#""maxAttempts":6"#, to: r#""maxAttempts":1"# };
    let (pooler, _discovery) = start_with_one_host(&host, &[no_retries]);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "order-write").message());
    let mut backend = host.accept();
    backend.expect_request("1");
    backend.reset();
    client.expect_error("58000");
    client.send(&Request::new("1", "order-write").message());
    client.expect_error("22023");
}

//! Malformed responses of database hosts, and unsolicited messages from them.

use std::time::Duration;

use rstest::rstest;

use crate::harness::*;

/// The start of a DataRow whose length fields announce a value of three gigabytes.
const THREE_GIGABYTE_ROW: &[u8] = b"D\xb2\xd0\x5e\0\0\x01\xb2\xd0\x5d\xf6";

fn oversized_row() -> Vec<u8> {
    [&row_description(), THREE_GIGABYTE_ROW].concat()
}

/// A result set without its RowDescription.
fn row_without_description() -> Vec<u8> {
    result_set(BINARY_VALUE)[row_description().len()..].to_vec()
}

/// A result set in which every byte 3 is replaced by 2, so that the length of the value is one less than the
/// DataRow holds.
fn value_shorter_than_its_row() -> Vec<u8> {
    result_set(BINARY_VALUE).into_iter().map(|byte| if byte == 3 { 2 } else { byte }).collect()
}

#[rstest]
#[case::invalid_bytes(b"\x9f\x03\x00\xfe\xc1".to_vec())]
#[case::http_status_line(b"HTTP/1.1 500 odd\r\n".to_vec())]
#[case::oversized_row(oversized_row())]
#[case::value_shorter_than_its_row(value_shorter_than_its_row())]
#[case::row_without_description(row_without_description())]
#[case::two_rows([result_set(BINARY_VALUE), result_set(BINARY_VALUE)].concat())]
#[case::unfinished_row(partial_result_set(BINARY_VALUE))]
#[case::ready_without_result(ready_for_query())]
#[case::empty_query_response(empty_query_response())]
fn a_malformed_response_is_a_failed_attempt(#[case] response: Vec<u8>) {
    let near = DatabaseHost::new();
    let far = DatabaseHost::new();
    let (pooler, _discovery) = start_with_two_hosts(&near, &far);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "reports").message());
    let mut malformed = near.accept();
    malformed.receive_query();
    malformed.send(&response);
    // The pooler closes the connection and retries the read on the other host, long before the deadline of
    // 8.5 s.
    malformed.expect_closed();
    let mut backend = far.accept();
    backend.expect_request("1");
    backend.send_result(BINARY_VALUE, Role::Reader);
    assert_eq!(encode_all(&client.receive_response()), result_set(BINARY_VALUE));
    let counters = pooler.counters();
    assert!(counters.contains(" success=1 error=1 "), "{counters}");
    assert!(counters.contains(" malformed_answers=1 unsolicited_messages=0 "), "{counters}");
}

/// When unsolicited bytes arrive, relative to the response before.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    WithTheResponse,
    InPlaceOfTheSynchronization,
    WhileIdle,
}

#[rstest]
#[case::second_response(&result_response(b"stray", Role::Reader))]
#[case::invalid_bytes(b"\x9f\x03\x00\xfe\xc1")]
fn unsolicited_bytes_after_a_response_do_not_reach_the_next_request(
    #[case] unsolicited: &[u8],
    #[values(Arrival::WithTheResponse, Arrival::InPlaceOfTheSynchronization, Arrival::WhileIdle)]
    arrival: Arrival,
) {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    let mut backend = start_read(&host, &mut client, "1");
    let response = result_response(BINARY_VALUE, Role::Reader);
    match arrival {
        Arrival::WithTheResponse => backend.send(&[&response, unsolicited].concat()),
        Arrival::InPlaceOfTheSynchronization => {
            backend.send(&response);
            backend.expect_empty_query();
            backend.send(unsolicited);
        }
        Arrival::WhileIdle => {
            backend.send_result(BINARY_VALUE, Role::Reader);
            pooler.wait_until_events_handled();
            backend.send(unsolicited);
        }
    }
    client.expect_value(BINARY_VALUE);
    backend.expect_closed();
    complete_read(&host, &mut client);
    pooler.expect_counters(" malformed_answers=0 unsolicited_messages=1 ");
}

/// Guards against taking a second copy of a response, which arrives when the next request is already on its
/// way, for the response to it. Clients were served the values of others, and so were all later requests on
/// the connection.
#[rstest]
#[case::result(result_response(b"first", Role::Reader))]
#[case::error(error_response("42601"))]
fn a_late_copy_of_a_response_is_not_served_to_the_next_request(#[case] response: Vec<u8>) {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    let mut backend = start_read(&host, &mut client, "1");
    backend.send(&response);
    client.receive_response();
    client.send(&Request::new("2", "reports").message());
    pooler.wait_until_events_handled();
    backend.send(&response);
    std::thread::spawn(move || {
        let mut backend = host.accept();
        backend.expect_request("2");
        backend.send_result(b"second", Role::Reader);
    });
    client.expect_value(b"second");
    pooler.expect_counters(" malformed_answers=0 unsolicited_messages=1 ");
}

/// Guards against taking what a host sends behind the response to the startup for the response to the first
/// query.
#[test]
fn a_result_before_the_first_query_is_not_served() {
    let near = DatabaseHost::new();
    let far = DatabaseHost::new();
    let (pooler, _discovery) = start_with_two_hosts(&near, &far);
    far.answer_queries(BINARY_VALUE, Role::Reader, Duration::ZERO);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "reports").message());
    let mut backend = near.accept_unanswered_startup();
    backend.send(&[startup_response(), result_response(b"stray", Role::Reader)].concat());
    client.expect_value(BINARY_VALUE);
    backend.expect_closed();
    pooler.expect_counters(" connect_failed=1 ");
}

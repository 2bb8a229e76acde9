//! The protocol between clients and the pooler: startup, queries and malformed messages.

use std::io::{Read, Write};

use rstest::rstest;

use crate::harness::*;

#[rstest]
#[case::one_byte_at_a_time(1)]
#[case::pieces_of_seven_bytes(7)]
#[case::one_piece(100_000)]
fn a_query_is_forwarded_with_its_remaining_time_and_the_value_comes_back_unchanged(
    #[case] piece_size: usize,
) {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    let first = Request::new("9b1f", "reports");
    let second = Request::new("9b20", "reports");
    // The client pipelines two queries. Their responses arrive in the same order.
    let queries = [first.message(), second.message()].concat();
    queries.chunks(piece_size).for_each(|piece| client.send(piece));
    let mut backend = host.accept();

    let forwarded = backend.receive_query();
    let deadline = deadline_field(&forwarded);
    assert!((1..=8500).contains(&deadline), "{deadline}");
    assert_eq!(forwarded.replacen(&format!(",d={deadline},"), ",d=8500,", 1), first.sql());

    let response = result_response(BINARY_VALUE, Role::Reader);
    response.chunks(piece_size).for_each(|piece| backend.send(piece));
    assert_eq!(encode_all(&client.receive_response()), result_set(BINARY_VALUE));
    // The second query is forwarded on the same backend connection.
    backend.expect_request("9b20");
    backend.send_result(b"second", Role::Reader);
    client.expect_value(b"second");
    pooler.expect_counters(
        "requests_received=2 malformed=0 served=2 rejected=0 failed=0 client_disconnects=0 \
         client_timeouts=0 idle_closed=0 backend_connects=1",
    );
}

#[test]
fn a_query_and_a_value_of_the_greatest_length_are_forwarded() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    let request = Request::new("1", "reports").with_large_literal();
    client.send(&request.message());
    let mut backend = host.accept();
    let forwarded = backend.receive_query();
    let statement = |sql: &str| sql.split_once("*/").unwrap().1.to_string();
    assert!(statement(&forwarded) == statement(&request.sql()), "the forwarded statement differs");
    let value = BINARY_VALUE.repeat(64 * 1024 / BINARY_VALUE.len());
    backend.send_result(&value, Role::Reader);
    client.expect_value(&value);
}

#[rstest]
#[case::no_comment("SELECT 1", "42601")]
#[case::unterminated_comment("/* id=1,c=reports,d=10,cluster=2", "42601")]
#[case::no_statement("/* id=1,c=reports,d=10,cluster=2 */ ;", "42601")]
#[case::no_id("/* c=reports,d=10,cluster=2 */ SELECT", "42601")]
#[case::duplicate_field("/* id=1,id=2,c=reports,d=10,cluster=2 */ SELECT", "42601")]
#[case::huge_deadline("/* id=1,c=reports,d=99999999999999999999,cluster=2 */ SELECT", "42601")]
#[case::negative_deadline("/* id=1,c=reports,d=-5,cluster=2 */ SELECT", "42601")]
#[case::position_is_not_a_number("/* id=1,c=reports,d=10,cluster=2,after=now */ SELECT", "42601")]
#[case::group_is_not_a_number("/* id=1,c=reports,d=10,cluster=two */ SELECT", "42601")]
#[case::unknown_class("/* id=1,c=odd,d=10,cluster=2 */ SELECT", "22023")]
#[case::no_idempotency_key("/* id=1,c=order-write,d=10,cluster=2 */ SELECT", "22023")]
fn a_malformed_query_gets_an_error_and_is_not_forwarded(#[case] sql: &str, #[case] sqlstate: &str) {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    client.send(&query_message(sql));
    client.expect_error(sqlstate);
    // The client stays connected, and the first query that the host receives is the next one.
    complete_read(&host, &mut client);
    pooler.expect_counters("requests_received=1 malformed=1");
}

#[test]
fn an_id_in_use_is_rejected() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut first = connect_client(&pooler);
    let mut second = connect_client(&pooler);
    first.send(&Request::new("1", "reports").message());
    let mut backend = host.accept();
    backend.receive_query();
    second.send(&Request::new("1", "reports").message());
    second.expect_error("22023");
    backend.send_result(BINARY_VALUE, Role::Reader);
    first.expect_result();
}

#[rstest]
#[case::oversized_message(&OVERSIZED_QUERY_HEADER, "54000")]
#[case::length_below_minimum(&TOO_SHORT_QUERY_HEADER, "08P01")]
#[case::unknown_message_type(&[1, 0, 0, 0, 4], "08P01")]
fn a_framing_error_closes_the_connection(#[case] bytes: &[u8], #[case] sqlstate: &str) {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut broken = connect_client(&pooler);
    broken.send(bytes);
    broken.expect_error(sqlstate);
    broken.expect_closed();
    complete_read(&host, &mut connect_client(&pooler));
}

/// Guards against discarding only one buffer of the remaining input. Closing the socket with unread input
/// resets the connection, and the reset can reach the client before the error.
#[test]
fn a_client_that_keeps_sending_after_a_framing_error_gets_the_error_and_no_reset() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut broken = connect_client(&pooler);
    let mut stream = broken.stream.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        stream.write_all(&OVERSIZED_QUERY_HEADER)?;
        stream.write_all(&vec![0; 16 << 20])
    });
    broken.expect_error("54000");
    broken.expect_closed_without_reset();
    sender.join().unwrap().expect("the pooler did not read all input");
    complete_read(&host, &mut connect_client(&pooler));
}

/// Guards against shutting down the sending side of a closing connection on each of its events. Each shutdown
/// raises another event, so that one connection kept a CPU core busy for the second until it was closed.
#[test]
#[cfg(target_os = "linux")]
fn a_connection_that_is_being_closed_uses_little_cpu_time() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut broken: Vec<Connection> = (0..4).map(|_| connect_client(&pooler)).collect();
    for client in &mut broken {
        client.send(&TOO_SHORT_QUERY_HEADER);
        client.expect_error("08P01");
        client.expect_closed_without_reset();
    }
    // These clients keep their side open. A client that connects now and sends no query is closed after them.
    connect_client(&pooler).expect_closed();
    assert!(pooler.cpu_seconds() < 0.5, "{} s", pooler.cpu_seconds());
}

#[test]
fn an_empty_query_is_answered_as_soon_as_the_endpoint_list_is_known() {
    let host = DatabaseHost::new();
    let discovery = DiscoveryService::new();
    let pooler = Pooler::start(&EndpointList::snapshot(0, []), &discovery, &[]);
    let mut client = connect_without_startup(&pooler);
    client.send(&SSL_REQUEST);
    let mut byte = [0];
    client.stream.read_exact(&mut byte).unwrap();
    assert_eq!(byte, [ENCRYPTION_DECLINED]);
    // The client sends the query without waiting for the response to its startup message.
    client.send(&[startup_message(), query_message("")].concat());
    client.receive_response();
    pooler.wait_until_events_handled();
    client.stream.set_nonblocking(true).unwrap();
    assert!(
        client.stream.peek(&mut byte).is_err(),
        "the query was answered before an endpoint list was known"
    );
    client.stream.set_nonblocking(false).unwrap();

    let mut watch = discovery.accept();
    assert_eq!(watch.request_line, "GET /catalog/members?follow=1&since=0 HTTP/1.1");
    watch.send_list(&EndpointList::snapshot(1, [host.entry("s-1", "here")]));
    let empty_query_response = Message { kind: message_type::EMPTY_QUERY_RESPONSE, body: vec![] };
    assert_eq!(client.receive_response(), [empty_query_response]);
}

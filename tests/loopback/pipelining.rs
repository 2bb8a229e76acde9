//! Clients that send many queries at once, more than the pooler keeps for them.

use std::io::Write;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::harness::*;

/// Queries that a client sends behind its first one. They are far longer than all buffers between the client
/// and the pooler.
const LARGE_QUERIES: usize = 100;

/// How long the client waits for the pooler to read. So that a failing test ends.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a read that runs and large ones behind it. Returns the connection on which the read is forwarded, and
/// the thread that sends.
fn send_many(host: &DatabaseHost, client: &mut Connection) -> (Connection, JoinHandle<()>) {
    let backend = start_read(host, client, "first");
    let mut stream = client.stream.try_clone().unwrap();
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
    let sender = std::thread::spawn(move || {
        for number in 0..LARGE_QUERIES {
            let query = Request::new(format!("large{number}"), "reports").with_large_literal().message();
            if stream.write_all(&query).is_err() {
                return;
            }
        }
    });
    (backend, sender)
}

/// Guards against leaving input in the socket while a query runs: the end of the connection was behind it, so
/// that the attempt went on, and further ones were begun, for a client that had gone.
#[test]
fn a_client_that_closes_behind_much_unread_input_is_seen_to_have_gone() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    let (mut backend, sender) = send_many(&host, &mut client);
    sender.join().unwrap();
    client.close();
    pooler.wait_for_log("request abandoned by its client");
    // Its attempt is cancelled, and none of its other queries is sent.
    backend.expect_closed();
    let mut other = connect_client(&pooler);
    start_read(&host, &mut other, "other");
    pooler.expect_counters(" client_disconnects=1 ");
}

/// A client that stays gets one answer for each query, in order: the queries beyond the limit are refused.
#[test]
fn queries_that_do_not_fit_behind_a_running_one_are_refused_in_order() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    let (mut backend, sender) = send_many(&host, &mut client);
    sender.join().unwrap();
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    // One query of this length is kept.
    backend.expect_request("large0");
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    for _ in 1..LARGE_QUERIES {
        client.expect_error("53300");
    }
    // The client can go on as usual.
    client.send(&Request::new("last", "reports").message());
    backend.expect_request("last");
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    pooler.expect_counters(" served=3 rejected=99 ");
}

/// Small queries that a client sends at once, more than the pooler keeps.
const SMALL_QUERIES: usize = 20_000;

/// Guards against losing count of small queries, or answering them out of order, where the pooler begins to
/// refuse them.
#[test]
fn of_many_small_queries_the_first_ones_are_kept() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    let mut backend = start_read(&host, &mut client, "first");
    let queries = (0..SMALL_QUERIES).flat_map(|number| Request::new(number, "reports").message());
    let queries: Vec<u8> = queries.collect();
    client.send(&queries);
    client.send(&encode_message(message_type::SYNC, b""));
    pooler.wait_until_events_handled();
    std::thread::spawn(move || loop {
        backend.send_result(BINARY_VALUE, Role::Reader);
        if backend.receive_statement().is_none() {
            return;
        }
    });
    client.expect_result();
    let mut kinds = Vec::new();
    for _ in 0..=SMALL_QUERIES {
        kinds.push(client.receive_response()[0].kind);
    }
    let kept = kinds.iter().take_while(|kind| **kind == message_type::ROW_DESCRIPTION).count();
    assert!((500..5000).contains(&kept), "{kept} queries were kept");
    assert!(kinds[kept..].iter().all(|kind| *kind == message_type::ERROR_RESPONSE));
}

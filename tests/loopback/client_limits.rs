//! Limits on clients: connections, idle time, memory and CPU time.

use std::io::Write;
use std::time::Duration;

use rstest::rstest;

use crate::harness::*;

#[test]
fn at_the_connection_limit_idle_clients_are_closed_and_busy_ones_are_not() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[THREE_CLIENT_LIMIT]);
    let mut clients: Vec<Connection> = (0..3).map(|_| connect_client(&pooler)).collect();
    // At the limit of three clients, none is closed before a fourth connects.
    pooler.expect_counters("clients_accepted=3");
    clients.push(connect_client(&pooler));
    // The first client has been idle for longest.
    clients.remove(0).expect_closed();
    let mut backends = start_reads(&host, &mut clients);
    let mut fourth = connect_without_startup(&pooler);
    fourth.send(&startup_message());
    pooler.wait_for_log("all client connections are busy: new connections wait");
    backends[1].send_result(BINARY_VALUE, Role::Reader);
    clients[1].expect_result();
    // The client that is idle now is closed, and the waiting one is accepted.
    fourth.receive_response();
    clients[1].expect_closed();
}

/// Guards against closing an idle connection for a new client after the next query has arrived on it. That
/// query was lost unread.
#[test]
fn a_client_whose_query_has_arrived_is_not_closed_for_a_new_client() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[THREE_CLIENT_LIMIT]);
    let mut clients: Vec<Connection> = (0..3).map(|_| connect_client(&pooler)).collect();
    let mut backend = complete_read(&host, &mut clients[1]);
    // While the pooler is suspended, a new client connects, and then the client that has been idle for
    // longest sends a query.
    pooler.signal(Signal::Stop);
    let mut new_client = connect_without_startup(&pooler);
    clients[0].send(&Request::new("1", "reports").message());
    pooler.signal(Signal::Continue);
    backend.expect_request("1");
    backend.send_result(BINARY_VALUE, Role::Reader);
    clients[0].expect_result();
    new_client.send(&startup_message());
    new_client.receive_response();
    clients[2].expect_closed_without_reset();
}

/// An incomplete Query message.
fn partial_query() -> Vec<u8> {
    Request::new("1", "reports").message()[..40].to_vec()
}

#[rstest]
#[case::nothing(vec![], None)]
#[case::partial_startup(startup_message()[..7].to_vec(), Some("08P01"))]
#[case::startup_only(startup_message(), None)]
#[case::partial_query([startup_message(), partial_query()].concat(), Some("08P01"))]
#[case::non_query_message([startup_message(), encode_message(message_type::FLUSH, b"")].concat(), None)]
fn a_client_that_never_completes_a_query_is_closed(#[case] sent: Vec<u8>, #[case] sqlstate: Option<&str>) {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut active = connect_client(&pooler);
    complete_read(&host, &mut active);
    let mut silent = connect_without_startup(&pooler);
    silent.send(&sent);
    let startup_is_complete = sent.len() >= startup_message().len();
    if startup_is_complete {
        silent.receive_response();
    }
    if let Some(sqlstate) = sqlstate {
        silent.expect_error(sqlstate);
    }
    silent.expect_closed();
    // A client that has completed a query may stay idle.
    complete_read(&host, &mut active);
    pooler.expect_counters(" client_timeouts=1 ");
}

#[test]
fn an_idle_client_is_closed_after_its_query_while_many_clients_are_connected() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[THREE_CLIENT_LIMIT]);
    let mut idle = connect_client(&pooler);
    let mut busy = connect_client(&pooler);
    busy.send(&Request::new("1", "reports").message());
    let mut busy_backend = host.accept();
    busy_backend.receive_query();
    let mut idle_backend = complete_read(&host, &mut idle);
    idle.expect_closed_without_reset();
    // A query sent after the close is not forwarded. It causes no reset either, which could reach the client
    // before a response.
    idle.send(&Request::new("2", "reports").message());
    pooler.expect_counters(" client_timeouts=0 idle_closed=1 ");
    // After a reset this send would fail.
    idle.send(&Request::new("2", "reports").message());
    let mut other = connect_client(&pooler);
    other.send(&Request::new("3", "reports").message());
    idle_backend.expect_request("3");
    idle_backend.send_result(BINARY_VALUE, Role::Reader);
    other.expect_result();
    busy_backend.send_result(BINARY_VALUE, Role::Reader);
    busy.expect_result();
}

/// Returns the number of malformed queries that the pooler has counted.
fn malformed_query_count(pooler: &Pooler) -> u64 {
    let counters = pooler.counters();
    let after_name = counters.split("malformed=").nth(1).unwrap();
    after_name.split(' ').next().unwrap().parse().unwrap()
}

#[test]
fn a_client_that_sends_continuously_does_not_starve_others() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut normal = connect_client(&pooler);
    let mut flooding = connect_client(&pooler);
    let mut responses = flooding.stream.try_clone().unwrap();
    std::thread::spawn(move || std::io::copy(&mut responses, &mut std::io::sink()));
    std::thread::spawn(
        move || while flooding.stream.write_all(&query_message("SELECT 1").repeat(1000)).is_ok() {},
    );
    // Wait until the pooler is processing the flood of queries.
    while malformed_query_count(&pooler) < 1000 {}
    complete_read(&host, &mut normal);
}

#[test]
fn queries_that_do_not_fit_into_memory_are_rejected() {
    let host = DatabaseHost::new();
    let one_megabyte = Edit { from: r#""memory_mb":192"#, to: r#""memory_mb":1"# };
    let (pooler, _discovery) = start_with_one_host(&host, &[one_megabyte]);
    let mut clients = Vec::new();
    let mut backends = Vec::new();
    // Requests may use half a megabyte. Two of the maximum length and their forwarded copies exhaust it.
    for number in 0..2 {
        let mut client = connect_client(&pooler);
        client.send(&Request::new(number, "reports").with_large_literal().message());
        let mut backend = host.accept();
        backend.receive_query();
        clients.push(client);
        backends.push(backend);
    }
    let mut third = connect_client(&pooler);
    third.send(&Request::new("2", "reports").with_large_literal().message());
    third.expect_error("53300");
    backends[0].send_result(BINARY_VALUE, Role::Reader);
    clients[0].expect_result();
    // The rejected query was not forwarded: the next query that the host receives is another one.
    third.send(&Request::new("3", "reports").with_large_literal().message());
    backends[0].expect_request("3");
}

/// Guards against sending the error only at the next event of the connection, which never occurs if the
/// client has stopped sending.
#[test]
fn a_client_that_stalls_in_a_query_that_does_not_fit_into_memory_gets_an_error() {
    let host = DatabaseHost::new();
    let one_megabyte = Edit { from: r#""memory_mb":192"#, to: r#""memory_mb":1"# };
    let (pooler, _discovery) = start_with_one_host(&host, &[one_megabyte]);
    let mut busy = Vec::new();
    // Two requests of the maximum length use most of the memory.
    for number in 0..2 {
        let mut client = connect_client(&pooler);
        client.send(&Request::new(number, "reports").with_large_literal().message());
        let mut backend = host.accept();
        backend.receive_query();
        busy.push((client, backend));
    }
    // Incomplete queries use the rest except for a few kilobytes.
    let query = Request::new("2", "reports").with_large_literal().message();
    let mut unfinished = Vec::new();
    for length in [query.len() - 1, 30_000] {
        let mut client = connect_client(&pooler);
        client.send(&query[..length]);
        pooler.wait_until_events_handled();
        unfinished.push(client);
    }
    let mut stalled = connect_client(&pooler);
    // The pooler is suspended during the send, so that it receives all bytes in one event and no other
    // follows.
    pooler.signal(Signal::Stop);
    stalled.send(&query[..50_000]);
    pooler.signal(Signal::Continue);
    stalled.stream.set_read_timeout(Some(ERROR_RESPONSE_TIMEOUT)).unwrap();
    stalled.expect_error("53200");
}

/// Lengths of incomplete queries whose buffers, with those of their answers, fill half a megabyte (bytes).
const INCOMPLETE_QUERIES: [usize; 7] = [147_000, 147_000, 147_000, 15_000, 7_500, 3_500, 1_800];

/// The header of a Query message that is longer than any of these.
const LONG_QUERY_HEADER: [u8; 5] = [b'Q', 0, 2, 0x60, 0];

/// Guards against clients that stop in the middle of large queries and use up the memory: others were refused,
/// or closed without an answer.
#[test]
fn clients_that_stop_in_large_queries_leave_memory_for_others() {
    let host = DatabaseHost::new();
    let one_megabyte = Edit { from: r#""memory_mb":192"#, to: r#""memory_mb":1"# };
    let (pooler, _discovery) = start_with_one_host(&host, &[one_megabyte]);
    let mut stopped = Vec::new();
    for length in INCOMPLETE_QUERIES {
        let mut client = connect_without_startup(&pooler);
        let start = [startup_message(), LONG_QUERY_HEADER.to_vec(), vec![b' '; length]].concat();
        // The pooler may close the connection instead of reading everything.
        let _ = client.stream.write_all(&start);
        pooler.wait_until_events_handled();
        stopped.push(client);
    }
    let mut usual = connect_client(&pooler);
    complete_read(&host, &mut usual);
}

/// Time within which a client whose input cannot be processed must get an error or be disconnected.
const ERROR_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

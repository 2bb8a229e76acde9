//! Graceful shutdown, and reloading of the configuration file.

use std::io::Read;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::*;

#[test]
fn queries_that_arrive_during_the_grace_period_are_answered() {
    let host = DatabaseHost::new();
    let (mut pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut busy = connect_client(&pooler);
    let mut idle = connect_client(&pooler);
    busy.send(&Request::new("1", "reports").message());
    let mut busy_backend = host.accept();
    busy_backend.receive_query();
    pooler.signal(Signal::Terminate);
    pooler.wait_for_log("graceful shutdown started");
    idle.send(&Request::new("2", "reports").message());
    let mut new = connect_client(&pooler);
    new.send(&Request::new("3", "reports").message());
    for _ in 0..2 {
        let mut backend = host.accept();
        backend.receive_query();
        backend.send_result(BINARY_VALUE, Role::Reader);
    }
    idle.expect_result();
    new.expect_result();
    // Connections without a query in flight are closed. The query in flight still gets its response.
    idle.expect_closed();
    new.expect_closed();
    busy_backend.send_result(BINARY_VALUE, Role::Reader);
    busy.expect_result();
    busy.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    assert!(pooler.wait_for_log("shut down: ").contains("served=3"));
}

/// A client may keep sending while its connection stays open for a query in flight. A query that was
/// pipelined before draining started is served, a later one is rejected immediately, and one sent after the
/// close gets no response.
#[test]
fn a_busy_connection_accepts_no_queries_after_the_grace_period() {
    let host = DatabaseHost::new();
    let (mut pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut busy = connect_client(&pooler);
    let mut idle = connect_client(&pooler);
    let request = |id: &str| Request::new(id, "reports").message();
    busy.send(&[request("1"), request("2")].concat());
    let mut backend = host.accept();
    backend.receive_query();
    pooler.signal(Signal::Terminate);
    idle.expect_closed_without_reset();
    // This query is sent after the close of its connection. It is not read and causes no reset.
    idle.send(&request("3"));
    busy.send(&request("4").repeat(2));
    pooler.expect_counters("requests_received=1 ");
    idle.send(&request("3"));
    backend.send_result(BINARY_VALUE, Role::Reader);
    busy.expect_result();
    backend.expect_request("2");
    backend.send_result(BINARY_VALUE, Role::Reader);
    busy.expect_result();
    let shutting_down = ErrorResponse { sqlstate: "57P03".to_string(), detail: Some("50".to_string()) };
    for _ in 0..2 {
        assert_eq!(busy.receive_error(), shutting_down);
    }
    busy.expect_closed_without_reset();
    busy.send(&request("5"));
    assert!(backend.receive().is_none());
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    let summary = pooler.wait_for_log("shut down: ");
    assert!(summary.contains("requests_received=2 malformed=0 served=2 rejected=2"), "{summary}");
}

#[test]
fn a_reload_moves_the_watch_and_interrupts_no_request() {
    let old = DatabaseHost::new();
    let new = DatabaseHost::new();
    let new_discovery = DiscoveryService::new();
    let (mut pooler, old_discovery) = start_with_one_host(&old, &[]);
    let mut client = connect_client(&pooler);
    let mut old_watch = old_discovery.accept();
    client.send(&Request::new("1", "reports").message());
    let mut backend = old.accept();
    backend.receive_query();
    // The pooler ignores an invalid configuration file.
    pooler.reload(&Edit { from: "{\"name\"", to: "{name" });
    pooler.wait_for_log("reload failed, keeping the configuration");
    pooler.reload(&Edit { from: "{name", to: "{\"name\"" });
    pooler.wait_for_log("configuration reloaded");
    pooler.expect_counters(" reloads=1 reload_failures=1");

    let old_address = old_discovery.address().to_string();
    let new_address = new_discovery.address().to_string();
    pooler.reload(&Edit { from: &old_address, to: &new_address });
    // The list versions of another service are unrelated, so its watch starts from 0. The old watch is
    // closed; neither earlier reload has affected it.
    let mut new_watch = new_discovery.accept();
    new_watch.expect_since(0);
    assert_eq!(old_watch.stream.read(&mut [0]).unwrap(), 0);
    new_watch.send_list(&EndpointList::snapshot(1, [new.entry("s-1", "here")]));
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    backend.expect_closed();
    complete_read(&new, &mut client);
    // A reload during shutdown does not prevent the exit.
    pooler.signal(Signal::Terminate);
    pooler.signal(Signal::Hangup);
    client.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}

/// Guards against reading the configuration file only once per signal: if that failed, the pooler kept the
/// old address of a discovery service that had moved.
#[test]
fn a_reload_is_retried_while_the_file_cannot_be_read() {
    let host = DatabaseHost::new();
    let new_discovery = DiscoveryService::new();
    let (pooler, old_discovery) = start_with_one_host(&host, &[]);
    let old_address = old_discovery.address().to_string();
    let new_address = new_discovery.address().to_string();
    pooler.reload_while_missing(&Edit { from: &old_address, to: &new_address });
    new_discovery.accept().expect_since(0);
    pooler.expect_counters(" reloads=1 reload_failures=1");
}

/// Guards against closing the listener while connections wait in its accept queue because the connection
/// limit is reached. They were reset, and the queries sent on them were lost.
#[test]
fn a_client_that_waits_to_be_accepted_during_the_shutdown_is_answered() {
    let host = DatabaseHost::new();
    let (mut pooler, _discovery) = start_with_one_host(&host, &[THREE_CLIENT_LIMIT]);
    let mut clients: Vec<Connection> = (0..3).map(|_| connect_client(&pooler)).collect();
    let mut backends = start_reads(&host, &mut clients);
    let mut waiting = connect_without_startup(&pooler);
    waiting.send(&[startup_message(), Request::new("3", "reports").message()].concat());
    pooler.wait_for_log("all client connections are busy: new connections wait");
    pooler.signal(Signal::Terminate);
    // Wait for longer than the grace period, so that a reset would be noticed.
    waiting.stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    assert!(waiting.stream.read(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock));
    waiting.stream.set_read_timeout(None).unwrap();
    for (backend, client) in backends.iter_mut().zip(&mut clients) {
        backend.send_result(BINARY_VALUE, Role::Reader);
        client.expect_result();
        client.expect_closed();
    }
    waiting.receive_response();
    waiting.expect_error("57P03");
    waiting.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}

/// Time from SIGTERM to the earliest kill, however long the deadlines are.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// Guards against leaving a query blocked behind an earlier one on its connection during the shutdown. The
/// earlier one may take longer than the time until the kill.
#[test]
fn a_query_pipelined_behind_a_long_one_is_answered_before_the_earliest_kill() {
    let host = DatabaseHost::new();
    let (mut pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut busy = connect_client(&pooler);
    let mut unblocked = connect_client(&pooler);
    let mut idle = connect_client(&pooler);
    let mut backends = Vec::new();
    for (id, client) in [("1", &mut busy), ("2", &mut unblocked)] {
        client.send(&Request::new(id, "reports").message());
        let mut backend = host.accept();
        backend.expect_request(id);
        backends.push(backend);
    }
    let requested_at = Instant::now();
    pooler.signal(Signal::Terminate);
    idle.expect_closed_without_reset();
    busy.send(&Request::new("3", "reports").message());
    busy.expect_error("53300");
    busy.expect_error("57P03");
    assert!(requested_at.elapsed() < EARLIEST_KILL);
    busy.expect_closed();
    // The other query blocks nothing and may still be served.
    backends[1].send_result(BINARY_VALUE, Role::Reader);
    unblocked.expect_result();
    unblocked.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}

/// Rejections without a Retry-After.
const NO_RETRY_AFTER: Edit = Edit { from: r#""retryAfter":true"#, to: r#""retryAfter":false"# };
/// Limits Retry-After to 20 ms.
const SHORT_RETRY_AFTER: Edit = Edit { from: r#""maxRetryAfter":0.5"#, to: r#""maxRetryAfter":0.02"# };

#[rstest]
#[case::none(NO_RETRY_AFTER, None)]
#[case::short(SHORT_RETRY_AFTER, Some("20"))]
fn a_rejection_during_the_shutdown_carries_the_retry_after_that_the_settings_allow(
    #[case] settings: Edit<'static>,
    #[case] detail: Option<&str>,
) {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[settings]);
    let mut busy = connect_client(&pooler);
    let mut idle = connect_client(&pooler);
    busy.send(&Request::new("1", "reports").message());
    let mut backend = host.accept();
    backend.receive_query();
    pooler.signal(Signal::Terminate);
    idle.expect_closed_without_reset();
    busy.send(&Request::new("2", "reports").message());
    backend.send_result(BINARY_VALUE, Role::Reader);
    busy.expect_result();
    let expected = ErrorResponse { sqlstate: "57P03".to_string(), detail: detail.map(String::from) };
    assert_eq!(busy.receive_error(), expected);
}

/// Guards against starting the queries that wait behind an ended one, each for a while: with more than a few of
/// them the last ones were not answered before the kill, nor was one that arrived behind them.
#[test]
fn all_queries_that_wait_behind_a_long_one_are_answered_before_the_earliest_kill() {
    let host = DatabaseHost::new();
    let (mut pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut busy = connect_client(&pooler);
    let mut idle = connect_client(&pooler);
    let queries = (0..PIPELINED_QUERIES).flat_map(|id| Request::new(id, "reports").message());
    busy.send(&queries.collect::<Vec<u8>>());
    let mut backend = host.accept();
    backend.expect_request("0");
    let requested_at = Instant::now();
    pooler.signal(Signal::Terminate);
    idle.expect_closed_without_reset();
    busy.send(&Request::new("late", "reports").message());
    busy.expect_error("53300");
    for _ in 1..PIPELINED_QUERIES {
        busy.expect_error("57P03");
    }
    busy.expect_error("57P03");
    assert!(requested_at.elapsed() < EARLIEST_KILL);
    busy.expect_closed();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
    assert!(pooler.wait_for_log("shut down: ").contains("requests_received=1 "));
}

/// Guards against closing a connection on which a query waits behind an empty query that no endpoint is known
/// for: the query was lost.
#[test]
fn a_query_behind_an_empty_one_that_waits_for_an_endpoint_is_answered() {
    let discovery = DiscoveryService::new();
    let mut pooler = Pooler::start(&EndpointList::snapshot(41, []), &discovery, &[]);
    let mut client = connect_client(&pooler);
    let mut idle = connect_client(&pooler);
    let requests = ["1", "2"].map(|id| Request::new(id, "reports").message());
    client.send(&[query_message(""), requests.concat()].concat());
    pooler.wait_until_events_handled();
    pooler.signal(Signal::Terminate);
    idle.expect_closed_without_reset();
    client.expect_error("57P03");
    client.expect_error("53300");
    client.expect_error("53300");
    client.expect_closed_without_reset();
    assert_eq!(pooler.wait_for_exit().code(), Some(0));
}

/// Queries that a client sends at once.
const PIPELINED_QUERIES: usize = 40;

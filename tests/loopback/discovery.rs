//! The watch of the endpoint list: lists, failures and silence.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::*;

/// A silent discovery service has to be noticed, and called again, in less than this.
const REOPEN_LIMIT: Duration = Duration::from_secs(5);

/// The change after which the pooler closes its idle connections to `host`.
fn draining_update(host: &DatabaseHost) -> EndpointList {
    EndpointList::update(42, [host.entry("s-1", "here").with_status("DRAINING")])
}

#[rstest]
#[case::service_unavailable("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into())]
#[case::not_http("SSH-2.0-odd\r\n".into())]
#[case::not_a_list([CHUNKED_HEAD, "3\r\n{}\n\r\n"].concat())]
#[case::not_a_chunk([CHUNKED_HEAD, "zz\r\n"].concat())]
#[case::nested_too_deeply([CHUNKED_HEAD, "100000\r\n{\"a\":", &"[".repeat(0x100000 - 6), "\n\r\n"].concat())]
fn a_failed_watch_is_reopened(#[case] response: String) {
    let old = DatabaseHost::new();
    let new = DatabaseHost::new();
    let (pooler, discovery) = start_with_one_host(&old, &[]);
    let mut client = connect_client(&pooler);
    let mut idle = complete_read(&old, &mut client);
    let mut failing = discovery.accept();
    failing.expect_since(41);
    // The pooler may end the connection before it has read all of a long response.
    let _ = failing.stream.write_all(response.as_bytes());
    let mut watch = discovery.accept();
    watch.expect_since(41);
    // The host has moved to another address, and the list comes in chunks of one byte.
    let moved = format!("\n{}\n", EndpointList::update(43, [new.entry("s-1", "here")]));
    watch.send(&[CHUNKED_HEAD.as_bytes(), &chunks_of(moved.as_bytes(), 1)].concat());
    idle.expect_closed();
    complete_read(&new, &mut client);
    // After the response has ended, the next watch continues from the last list.
    watch.send(b"0\r\n\r\n");
    discovery.accept().expect_since(43);
}

/// Sends that the host is draining, and requires that the pooler applies it well within the 6 s after which
/// the discovery service treats the pooler as informed.
fn expect_drain_in_time(
    discovery: &DiscoveryService,
    host: &DatabaseHost,
    idle: &mut Connection,
    started_at: Instant,
) {
    let mut watch = discovery.accept();
    watch.send_list(&draining_update(host));
    idle.expect_closed();
    assert!(started_at.elapsed() < REOPEN_LIMIT, "{:?}", started_at.elapsed());
}

/// The pooler once waited up to 5 s for a silent watch or call, and up to 1.9 s more before its next call.
#[rstest]
#[case::no_head("")]
#[case::partial_head(&CHUNKED_HEAD[..30])]
#[case::nothing_after_the_head(CHUNKED_HEAD)]
#[case::empty_line(&[CHUNKED_HEAD, "1\r\n\n\r\n"].concat())]
#[case::partial_list(&[CHUNKED_HEAD, "9\r\n{\"index\":\r\n"].concat())]
fn a_silent_watch_is_reopened_in_time(#[case] sent: &str) {
    let host = DatabaseHost::new();
    let (pooler, discovery) = start_with_one_host(&host, &[]);
    let mut idle = complete_read(&host, &mut connect_client(&pooler));
    let mut silent = discovery.accept();
    silent.send(sent.as_bytes());
    expect_drain_in_time(&discovery, &host, &mut idle, Instant::now());
}

/// The time for a list is limited as well, since a list that trickles in never leaves the watch silent for
/// long.
#[test]
fn a_list_that_never_ends_is_abandoned_in_time() {
    let host = DatabaseHost::new();
    let (pooler, discovery) = start_with_one_host(&host, &[]);
    let mut idle = complete_read(&host, &mut connect_client(&pooler));
    let mut slow = discovery.accept();
    slow.send(CHUNKED_HEAD.as_bytes());
    slow.send(&chunk(b"{"));
    let started_at = Instant::now();
    let mut client = connect_client(&pooler);
    // Sends one more byte of the list each time the pooler has answered an empty query.
    std::thread::spawn(move || {
        while slow.stream.write_all(&chunk(b" ")).is_ok() {
            client.send(&query_message(""));
            client.receive_response();
        }
    });
    expect_drain_in_time(&discovery, &host, &mut idle, started_at);
}

#[rstest]
#[case::one_piece(1_000_000)]
#[case::pieces_of_seven_bytes(7)]
fn an_indented_list_is_read(#[case] piece_size: usize) {
    let host = DatabaseHost::new();
    let (pooler, discovery) = start_with_one_host(&host, &[]);
    let mut idle = complete_read(&host, &mut connect_client(&pooler));
    let line = format!("{}\n", draining_update(&host));
    let indented = line.replace('{', "{\n  ").replace(',', ",\r\n\t").replace('}', "\n}");
    let mut watch = discovery.accept();
    watch.send(CHUNKED_HEAD.as_bytes());
    let body = chunks_of(indented.as_bytes(), piece_size);
    body.chunks(piece_size).for_each(|piece| watch.send(piece));
    idle.expect_closed();
    pooler.expect_counters(" endpoint_updates=2 watch_failures=0");
}

#[test]
fn a_response_without_a_length_is_read_until_the_connection_ends() {
    let host = DatabaseHost::new();
    let (pooler, discovery) = start_with_one_host(&host, &[]);
    let mut idle = complete_read(&host, &mut connect_client(&pooler));
    let mut watch = discovery.accept();
    watch.send(format!("HTTP/1.1 200 OK\r\n\r\n\n{}\n", draining_update(&host)).as_bytes());
    idle.expect_closed();
    drop(watch);
    discovery.accept().expect_since(42);
}

/// The pooler once took a complete list without the entry that it could not read, which meant that the host
/// of that entry was removed.
#[rstest]
#[case::unknown_status("SERVING", "ODD")]
#[case::address_is_a_name("127.0.0.1", "localhost")]
#[case::group_is_not_a_number(r#""group":2"#, r#""group":"two""#)]
fn a_list_with_an_unreadable_entry_changes_nothing(#[case] from: &str, #[case] to: &str) {
    let first = DatabaseHost::new();
    let second = DatabaseHost::new();
    let (pooler, discovery) = start_with_two_hosts(&first, &second);
    let mut client = connect_client(&pooler);
    let mut backend = complete_read(&first, &mut client);
    let mut watch = discovery.accept();
    watch.expect_since(41);
    let list = EndpointList::snapshot(43, [first.entry("s-1", "here"), second.entry("s-2", "there")]);
    let first_entry_unreadable = list.to_string().replacen(from, to, 1);
    watch.send_json(&first_entry_unreadable);
    // The next watch continues from the last readable list, and the host stays in use.
    discovery.accept().expect_since(41);
    client.send(&Request::new("1", "reports").message());
    backend.expect_request("1");
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
}

#[test]
fn the_list_is_watched_whatever_registry_mode_is_configured() {
    let host = DatabaseHost::new();
    let automatic_mode = Edit { from: r#""subscribe""#, to: r#""automatic""# };
    let (pooler, discovery) = start_with_one_host(&host, &[automatic_mode]);
    let mut client = connect_client(&pooler);
    let mut idle = complete_read(&host, &mut client);
    let mut watch = discovery.accept();
    watch.send_list(&draining_update(&host));
    idle.expect_closed();
    // A draining host gets no new requests.
    client.send(&Request::new("1", "reports").message());
    client.expect_error("53300");
}

/// Idle clients hold every descriptor of the process while the watch breaks.
#[test]
fn a_pooler_without_free_descriptors_reopens_the_watch_and_serves_queries() {
    let old = DatabaseHost::new();
    let new = DatabaseHost::new();
    let discovery = DiscoveryService::new();
    let known = EndpointList::snapshot(41, [old.entry("s-1", "here")]);
    let pooler = Pooler::start_with_descriptor_limit(32, &known, &discovery);
    let mut idle = complete_read(&old, &mut connect_client(&pooler));
    let watch = discovery.accept();
    let clients: Vec<Connection> = (0..60).map(|_| connect_without_startup(&pooler)).collect();
    pooler.wait_for_log("cannot accept a connection");
    // The watch breaks, and another client of the crowd takes its descriptor.
    drop(watch);
    pooler.wait_for_log("endpoint watch failed");
    let mut watch = discovery.accept();
    watch.expect_since(41);
    watch.send_list(&EndpointList::snapshot(42, [new.entry("s-1", "here")]));
    idle.expect_closed();
    complete_read(&new, &mut connect_client(&pooler));
    drop(clients);
}

/// A connection to a host that began to drain while the session was being started once got its query as soon
/// as it was ready, which the connect timeout allows for any time after the notice.
#[test]
fn a_connection_that_is_not_ready_when_its_host_drains_carries_no_query() {
    let near = DatabaseHost::new();
    let far = DatabaseHost::new();
    let (pooler, discovery) = start_with_two_hosts(&near, &far);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "reports").message());
    let mut starting = near.accept_unanswered_startup();
    discovery.accept().send_list(&draining_update(&near));
    let mut backend = far.accept();
    starting.complete_startup();
    starting.expect_closed_without_query();
    backend.expect_request("1");
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    pooler.expect_counters(" connect_failed=0 connection_reset=0 cancelled=0 not_sent=1 ");
}

/// How long a slow discovery service takes for the first byte of its response.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(1500);

/// Each watch was once given the same time, so that a service that takes longer never told anything.
#[test]
fn a_slow_discovery_service_gets_a_longer_timeout_after_a_failure() {
    let host = DatabaseHost::new();
    let (pooler, discovery) = start_with_one_host(&host, &[]);
    let mut idle = complete_read(&host, &mut connect_client(&pooler));
    let mut first = discovery.accept();
    assert_eq!(first.stream.read(&mut [0]).unwrap(), 0, "the pooler gives up the first watch");
    let mut second = discovery.accept();
    second.stream.set_read_timeout(Some(SLOW_RESPONSE_DELAY)).unwrap();
    assert!(second.stream.read(&mut [0]).is_err(), "the pooler still waits");
    second.send_list(&draining_update(&host));
    idle.expect_closed();
}

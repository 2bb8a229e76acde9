//! The watch of the endpoint list: the lists it accepts, its failures and its timeouts.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::*;

/// Time limit for detecting a stalled watch, opening another and applying its list. The discovery service
/// treats the pooler as informed after 6 s.
const REOPEN_LIMIT: Duration = Duration::from_secs(5);

/// Returns an update that drains `host`, upon which the pooler closes its idle connections to it.
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
    // The send fails if the pooler closes the connection before it has read all of a long response.
    let _ = failing.stream.write_all(response.as_bytes());
    let mut watch = discovery.accept();
    watch.expect_since(41);
    // The list, which moves the host to another address, is sent in chunks of one byte.
    let moved = format!("\n{}\n", EndpointList::update(43, [new.entry("s-1", "here")]));
    watch.send(&[CHUNKED_HEAD.as_bytes(), &chunks_of(moved.as_bytes(), 1)].concat());
    idle.expect_closed();
    complete_read(&new, &mut client);
    // After the end of the response, the next watch continues from the latest list.
    watch.send(b"0\r\n\r\n");
    discovery.accept().expect_since(43);
}

/// Guards against discarding a list together with the connection that was reset behind it. The pooler is
/// suspended, so that both are there before it reads.
#[cfg(target_os = "linux")]
#[test]
fn a_list_that_is_followed_by_a_reset_is_applied() {
    let host = DatabaseHost::new();
    let (pooler, discovery) = start_with_one_host(&host, &[]);
    let mut idle = complete_read(&host, &mut connect_client(&pooler));
    let mut watch = discovery.accept();
    watch.send_list(&EndpointList::update(41, []));
    pooler.wait_for_log("endpoint list received");
    pooler.suspend_while_idle();
    watch.send(&line_chunk(draining_update(&host)));
    socket2::SockRef::from(&watch.stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(watch);
    pooler.signal(Signal::Continue);
    idle.expect_closed();
    discovery.accept().expect_since(42);
}

/// Drains the host on the next watch, and asserts that the pooler applies this within [`REOPEN_LIMIT`].
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

/// Guards against timeouts that add up to more than 6 s: up to 5 s until a silent watch was closed, and up to
/// 1.9 s more until the next was opened.
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

/// Guards against a limit on silence only: a list that arrives byte by byte never leaves the watch silent for
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
    // Sends another byte of the list whenever the pooler has answered an empty query.
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

/// Guards against skipping an unreadable entry of a complete list, which removed the host of that entry.
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
    // The next watch continues from the last valid list, and the host stays in use.
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
    // A draining host gets no further requests.
    client.send(&Request::new("1", "reports").message());
    client.expect_error("53300");
}

/// The connection of the watch is closed while idle clients hold all file descriptors of the process.
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
    // The watch fails, and the next waiting client takes its descriptor.
    drop(watch);
    pooler.wait_for_log("endpoint watch failed");
    let mut watch = discovery.accept();
    watch.expect_since(41);
    watch.send_list(&EndpointList::snapshot(42, [new.entry("s-1", "here")]));
    idle.expect_closed();
    complete_read(&new, &mut connect_client(&pooler));
    drop(clients);
}

/// Guards against sending a query on a connection whose host began to drain during its startup. The startup,
/// and with it the query, can be as late as the connect timeout allows.
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

/// How long a slow discovery service takes to send the first byte of its response.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(1500);

/// Guards against giving up each call before a slow service has answered it.
#[test]
fn a_call_to_a_slow_discovery_service_stays_open_until_it_is_answered() {
    let host = DatabaseHost::new();
    let (pooler, discovery) = start_with_one_host(&host, &[]);
    let mut idle = complete_read(&host, &mut connect_client(&pooler));
    let mut first = discovery.accept();
    first.stream.set_read_timeout(Some(SLOW_RESPONSE_DELAY)).unwrap();
    assert!(first.stream.read(&mut [0]).is_err(), "the pooler did not wait for the first call");
    first.send_list(&draining_update(&host));
    idle.expect_closed();
}

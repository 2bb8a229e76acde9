//! Deadlines of requests: silent hosts and pipelined queries.

use crate::harness::*;

#[test]
fn a_silent_host_does_not_delay_the_response_past_the_deadline() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "reports").deadline_ms(400).message());
    let mut backend = host.accept();
    backend.receive_query();
    client.expect_error("53300");
    backend.expect_closed();
}

/// Guards against starting the deadline of a pipelined query only once the query before it is answered. The
/// pipelined query was then sent although its client had stopped waiting.
#[test]
fn the_deadline_of_a_query_runs_while_it_waits_behind_another() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut pipelining = connect_client(&pooler);
    let mut other = connect_client(&pooler);
    pipelining.send(&Request::new("1", "reports").message());
    let mut backend = host.accept();
    backend.receive_query();
    let second = Request::new("2", "reports").deadline_ms(400);
    let third = Request::new("3", "reports");
    pipelining.send(&[second.message(), third.message()].concat());
    pooler.wait_until_events_handled();
    // The fourth request is sent after the second and has a longer deadline. Once it has expired, so has the
    // second.
    other.send(&Request::new("4", "reports").deadline_ms(500).message());
    let mut silent = host.accept();
    silent.receive_query();
    other.expect_error("53300");
    backend.send_result(BINARY_VALUE, Role::Reader);
    pipelining.expect_result();
    pipelining.expect_error("53300");
    // The host receives the third request next, with no more than the remaining time of its client.
    let forwarded = backend.receive_query();
    assert!(forwarded.contains("id=3,") && deadline_field(&forwarded) <= 8100, "{forwarded}");
    backend.send_result(BINARY_VALUE, Role::Reader);
    pipelining.expect_result();
    pooler.expect_counters(" attempts_sent=3 ");
}

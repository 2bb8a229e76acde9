//! Reuse of idle connections to database hosts.

use std::net::Shutdown;

use crate::harness::*;

#[test]
fn a_connection_that_the_host_has_closed_is_not_reused() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    let mut closed = complete_read(&host, &mut client);
    closed.stream.shutdown(Shutdown::Write).unwrap();
    closed.expect_closed();
    client.send(&Request::new("2", "reports").message());
    let mut backend = host.accept();
    backend.expect_request("2");
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    pooler.expect_counters("attempts_sent=2 success=2");
}

#[test]
fn an_idle_connection_is_closed_before_the_keepalive_time_of_its_host_ends() {
    let host = DatabaseHost::new();
    let short_keepalive = Edit { from: r#""keepalive":15"#, to: r#""keepalive":0.5"# };
    let (pooler, _discovery) = start_with_one_host(&host, &[short_keepalive]);
    complete_read(&host, &mut connect_client(&pooler)).expect_closed();
}

/// Guards against failing a request because the connection that it waits for has fallen silent.
#[test]
fn a_request_gets_a_new_connection_if_the_one_that_it_waits_for_falls_silent() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    let mut silent = start_read(&host, &mut client, "1");
    silent.send(&result_response(BINARY_VALUE, Role::Reader));
    client.expect_result();
    client.send(&Request::new("2", "reports").message());
    let mut backend = host.accept();
    backend.expect_request("2");
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    pooler.expect_counters("attempts_sent=2 success=2");
    silent.expect_empty_query();
    silent.expect_closed();
}

/// Guards against opening a second connection for a client that sends its next query as soon as it has a
/// response.
#[test]
fn a_request_waits_for_a_connection_that_is_being_synchronized() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    let mut backend = start_read(&host, &mut client, "1");
    backend.send(&result_response(BINARY_VALUE, Role::Reader));
    client.expect_result();
    client.send(&Request::new("2", "reports").message());
    pooler.wait_until_events_handled();
    backend.expect_request("2");
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    pooler.expect_counters("backend_connects=1 attempts_sent=2 success=2");
}

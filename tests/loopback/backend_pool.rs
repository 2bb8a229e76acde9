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

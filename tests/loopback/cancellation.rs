//! Cancel requests, and clients that disconnect before they have a response.

use rstest::rstest;

use crate::harness::*;

/// Guards against missing the disconnect of a client with more pipelined input than is buffered: the pooler
/// stopped reading from it, and the attempt of its current query was not cancelled.
#[rstest]
#[case::no_unread_input(0)]
#[case::more_unread_input_than_is_buffered(2000)]
fn the_attempt_of_a_client_that_disconnects_is_cancelled(#[case] pipelined_queries: usize) {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "reports").message());
    let mut backend = host.accept();
    backend.receive_query();
    client.send(&Request::new("2", "reports").message().repeat(pipelined_queries));
    drop(client);
    backend.expect_closed();
    pooler.expect_counters(
        " client_disconnects=1 client_timeouts=0 idle_closed=0 backend_connects=1 attempts_sent=1 success=0",
    );
}

#[rstest]
#[case::sender_waits_for_the_close(false)]
#[case::sender_disconnects_at_once(true)]
fn a_cancel_request_ends_the_query_only_if_its_key_is_right(#[case] disconnects_at_once: bool) {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let (mut client, cancel_request) = connect_client_with_cancel_request(&pooler);
    client.send(&Request::new("1", "reports").message());
    let mut backend = host.accept();
    backend.receive_query();
    let send_once = |message: &[u8]| {
        let mut sender = connect_without_startup(&pooler);
        sender.send(message);
        if !disconnects_at_once {
            sender.expect_closed();
        }
    };
    let mut wrong_key = cancel_request.clone();
    wrong_key[15] = !wrong_key[15];
    send_once(&wrong_key);
    send_once(&cancel_request);
    client.expect_error("57014");
    backend.expect_closed();
    // The client stays connected.
    complete_read(&host, &mut client);
    pooler.expect_counters(" cancelled=1");
}

/// A query that is queued until a replica is fresh enough must not be sent after its client has cancelled it
/// or has disconnected.
#[rstest]
#[case::cancelled(true)]
#[case::disconnected(false)]
fn a_queued_query_is_not_sent_after_its_client_has_cancelled_or_disconnected(#[case] cancels: bool) {
    let host = DatabaseHost::new();
    let (pooler, _discovery, _primary) = start_with_known_clock(&host, &[HEALTH_CHECKS]);
    let (mut waiting, cancel_request) = connect_client_with_cancel_request(&pooler);
    waiting.send(&Request::new("1", "browse").message());
    let mut backend = host.accept();
    assert_eq!(backend.receive_query(), "SHOW usage");
    if cancels {
        connect_without_startup(&pooler).send(&cancel_request);
        waiting.expect_error("57014");
    } else {
        drop(waiting);
    }
    while !pooler.counters().contains(" client_disconnects=1 ") {}
    // With this report, the replica is fresh enough for the query.
    let fresh_report = format!("x0={:.3},x1=0", unix_time().as_secs_f64());
    backend.send_result(fresh_report.as_bytes(), Role::Reader);
    let mut other = connect_client(&pooler);
    other.send(&Request::new("2", "reports").message());
    backend.expect_request("2");
    backend.send_result(BINARY_VALUE, Role::Reader);
    other.expect_result();
}

/// Guards against handling the readiness of a backend connection before the disconnect of the client whose
/// query is to be sent on it, if one poll returns both events. The pooler is suspended while it polls:
/// elsewhere it could complete its current step before it notices the disconnect.
#[cfg(target_os = "linux")]
#[test]
fn a_query_is_not_sent_if_its_client_has_disconnected_while_the_pooler_was_suspended() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "reports").message());
    let mut backend = host.accept_unanswered_startup();
    pooler.suspend_while_idle();
    backend.complete_startup();
    // A drop could close the connection later: a child process that another test is starting briefly holds
    // copies of all descriptors.
    client.stream.shutdown(std::net::Shutdown::Both).unwrap();
    pooler.signal(Signal::Continue);
    backend.expect_closed_without_query();
}

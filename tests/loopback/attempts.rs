//! Retries: which failures lead to another attempt, and which error the client gets otherwise.

use rstest::rstest;

use crate::harness::*;

fn run_in_background(action: impl FnOnce() + Send + 'static) {
    std::thread::spawn(action);
}

/// The point at which the connection of an attempt fails.
enum FailurePoint {
    ConnectionRefused,
    DuringStartup,
    AfterQuery,
    DuringResponse,
}

impl FailurePoint {
    /// Makes the next connection to `host` fail at this point. Later connections are refused.
    fn apply(self, host: DatabaseHost) {
        match self {
            FailurePoint::ConnectionRefused => drop(host),
            FailurePoint::DuringStartup => run_in_background(move || drop(host.accept_without_startup())),
            FailurePoint::AfterQuery => run_in_background(move || {
                host.accept().receive_query();
            }),
            FailurePoint::DuringResponse => run_in_background(move || {
                let mut backend = host.accept();
                backend.receive_query();
                backend.send(&partial_result_set(BINARY_VALUE));
                backend.reset();
            }),
        }
    }
}

#[rstest]
#[case::connection_refused(FailurePoint::ConnectionRefused, "connect_failed=1 connection_reset=0")]
#[case::during_startup(FailurePoint::DuringStartup, "connect_failed=1 connection_reset=0")]
#[case::after_the_query(FailurePoint::AfterQuery, "connect_failed=0 connection_reset=1")]
#[case::during_the_response(FailurePoint::DuringResponse, "connect_failed=0 connection_reset=1")]
fn a_read_is_retried_on_another_host_when_its_connection_fails(
    #[case] failure: FailurePoint,
    #[case] expected_counters: &str,
) {
    let near = DatabaseHost::new();
    let far = DatabaseHost::new();
    let (pooler, _discovery) = start_with_two_hosts(&near, &far);
    let mut client = connect_client(&pooler);
    failure.apply(near);
    client.send(&Request::new("1", "reports").message());
    let mut backend = far.accept();
    backend.expect_request("1");
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    pooler.expect_counters(expected_counters);
}

/// Guards against sending a query on a connection that its host has closed behind the response to the
/// startup: the query would count as possibly executed.
#[test]
fn a_query_is_not_sent_on_a_connection_that_was_closed_behind_its_startup() {
    let near = DatabaseHost::new();
    let far = DatabaseHost::new();
    let (pooler, _discovery) = start_with_two_hosts(&near, &far);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "reports").message());
    let mut closed = near.accept_unanswered_startup();
    pooler.wait_until_events_handled();
    // While the pooler is suspended, so that it finds the response and the close together.
    pooler.signal(Signal::Stop);
    closed.complete_startup();
    closed.close();
    pooler.signal(Signal::Continue);
    let mut backend = far.accept();
    backend.expect_request("1");
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    pooler.expect_counters(" connect_failed=1 connection_reset=0 ");
}

/// If the complete value has arrived before the reset, it is served and the read is not retried.
#[test]
fn a_complete_value_is_served_even_if_its_connection_is_reset_afterwards() {
    let near = DatabaseHost::new();
    let far = DatabaseHost::new();
    let (pooler, _discovery) = start_with_two_hosts(&near, &far);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "reports").message());
    let mut backend = near.accept();
    backend.receive_query();
    backend.send(&result_set(BINARY_VALUE));
    backend.reset();
    client.expect_value(BINARY_VALUE);
    pooler.expect_counters(" attempts_sent=1 success=1 ");
}

/// Makes the requests of the write class non-idempotent.
const NON_IDEMPOTENT_WRITES: Edit =
    Edit { from: r#""effect":"idempotency_key""#, to: r#""effect":"non_idempotent""# };

/// Returns a write with a short deadline, so that a test can wait for it.
fn write_with_short_deadline() -> Request {
    Request::new("1", "order-write").deadline_ms(400)
}

#[test]
fn a_non_idempotent_write_that_was_never_sent_is_rejected_and_not_failed() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[NON_IDEMPOTENT_WRITES]);
    let mut client = connect_client(&pooler);
    // The response to this write tells the pooler which host is the primary.
    let backend = complete_write(&host, &mut client);
    backend.close();
    host.close();
    client.send(&write_with_short_deadline().message());
    client.expect_error("53300");
}

/// How a write fails after the host has received it.
enum WriteFailure {
    ResetAtOnce,
    ResetMidResponse,
    Unanswered,
}

/// A non-idempotent write may be retried only if it is certain that it was not executed.
#[rstest]
#[case::reset_before_the_response(WriteFailure::ResetAtOnce, "58000")]
#[case::reset_during_the_response(WriteFailure::ResetMidResponse, "58000")]
#[case::no_response(WriteFailure::Unanswered, "58000")]
fn a_non_idempotent_write_that_may_have_run_is_not_retried(
    #[case] failure: WriteFailure,
    #[case] sqlstate: &str,
) {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[NON_IDEMPOTENT_WRITES]);
    let mut client = connect_client(&pooler);
    // The response to this write tells the pooler which host is the primary.
    let mut backend = complete_write(&host, &mut client);
    client.send(&write_with_short_deadline().message());
    backend.expect_request("1");
    let _open_connection = match failure {
        WriteFailure::ResetAtOnce => {
            backend.reset();
            None
        }
        WriteFailure::ResetMidResponse => {
            backend.send(&partial_result_set(BINARY_VALUE));
            backend.reset();
            None
        }
        WriteFailure::Unanswered => Some(backend),
    };
    client.expect_error(sqlstate);
    // The next query that the host receives is another request.
    complete_read(&host, &mut client);
}

/// Closes every connection on which request 1 arrives and answers request 2. Returns the number of attempts
/// of request 1.
fn count_attempts_until_next_request(host: &DatabaseHost) -> usize {
    let mut attempts = 0;
    // One connection at a time is enough: the pooler makes an attempt only after the previous one has ended.
    while attempts < 6 {
        let mut backend = host.accept();
        let Some(message) = backend.receive() else { continue };
        let sql = String::from_utf8(message.body).unwrap();
        if sql.contains("id=2,") {
            backend.send_result(BINARY_VALUE, Role::Writer);
            break;
        }
        assert!(sql.contains("id=1,") && sql.contains("k=5c0f,"));
        attempts += 1;
    }
    attempts
}

#[test]
fn an_idempotent_write_that_may_have_run_is_retried_and_finally_failed() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    // The response to this write tells the pooler which host is the primary.
    let backend = complete_write(&host, &mut client);
    drop(backend);
    client.send(&Request::new("1", "order-write").message());
    let attempts = std::thread::spawn(move || count_attempts_until_next_request(&host));
    // The error is not a rejection, after which the client could safely send the write again.
    assert_eq!(client.receive_error(), ErrorResponse { sqlstate: "58000".to_string(), detail: None });
    client.send(&Request::new("2", "reports").message());
    client.expect_result();
    assert!((2..6).contains(&attempts.join().unwrap()));
}

#[rstest]
#[case::too_many_connections("53300", "overloaded=1")]
#[case::not_the_primary("25006", "ineligible=1")]
#[case::replica_too_old("72000", "ineligible=1")]
#[case::internal_error("XX000", "error=1")]
fn the_sqlstate_of_a_host_determines_the_outcome_of_the_attempt(
    #[case] sqlstate: &str,
    #[case] expected_counters: &str,
) {
    let near = DatabaseHost::new();
    let far = DatabaseHost::new();
    let (pooler, _discovery) = start_with_two_hosts(&near, &far);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "reports").message());
    let mut failing = near.accept();
    failing.receive_query();
    failing.send(&error_response(sqlstate));
    let mut backend = far.accept();
    backend.receive_query();
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    pooler.expect_counters(expected_counters);
}

#[rstest]
#[case::syntax_error("42601")]
#[case::invalid_text_representation("22P02")]
#[case::feature_not_supported("0A000")]
fn an_error_in_the_statement_is_not_retried_and_does_not_count_against_the_host(#[case] sqlstate: &str) {
    let near = DatabaseHost::new();
    let far = DatabaseHost::new();
    let (pooler, _discovery) = start_with_two_hosts(&near, &far);
    let mut client = connect_client(&pooler);
    let mut backend = complete_read(&near, &mut client);
    for number in 0..5 {
        let id = number.to_string();
        client.send(&Request::new(&id, "reports").message());
        backend.expect_request(&id);
        backend.send(&error_response(sqlstate));
        client.expect_error("22023");
    }
    // The statement was sent to no other host, and this host is still preferred.
    client.send(&Request::new("6", "reports").message());
    backend.receive_query();
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    let counters = pooler.counters();
    assert!(counters.contains("attempts_sent=7 success=2"), "{counters}");
    assert!(counters.contains("invalid_request=5"), "{counters}");
}

#[test]
fn a_rejection_carries_a_retry_after() {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "reports").group(9).message());
    let error = client.receive_error();
    assert_eq!(error.sqlstate, "53300");
    let retry_after_ms = error.detail.unwrap().parse().unwrap();
    assert!((1..=500).contains(&retry_after_ms), "{retry_after_ms}");
}

use std::sync::LazyLock;

use rstest::rstest;

use super::*;
use crate::net::buffer::MemoryBudget;
use crate::net::postgres::{BackendMessage, BackendMessageKind};
use crate::net::Task;

/// Start time of all exchanges in these tests.
static STARTED_AT: LazyLock<Instant> = LazyLock::new(Instant::now);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(5);

fn exchange() -> Exchange {
    Exchange::new(Task::HealthCheck, *STARTED_AT, TIMEOUT)
}

/// Returns a busy state whose reply is an ErrorResponse with this code, or empty.
fn busy(error_code: Option<&str>, reply_started: bool) -> State {
    let mut reply = Reply::default();
    let mut value_memory = MemoryBudget::new(0).reservation();
    if let Some(code) = error_code {
        let body = format!("SERROR\0C{code}\0\0").into_bytes();
        let error = BackendMessage { kind: BackendMessageKind::ErrorResponse, body };
        reply.add_message(&error, &Task::HealthCheck, &mut value_memory).unwrap();
    }
    State::Busy { exchange: exchange(), reply, reply_started }
}

#[rstest]
#[case::connecting(State::Connecting(exchange()), WriteStatus::Written, Outcome::ConnectFailed)]
#[case::starting(State::Starting(exchange()), WriteStatus::Written, Outcome::ConnectFailed)]
#[case::query_not_sent(busy(None, false), WriteStatus::Pending, Outcome::ConnectFailed)]
#[case::query_not_sent_despite_an_error(
    busy(Some("53300"), true),
    WriteStatus::Pending,
    Outcome::ConnectFailed
)]
#[case::query_sent(busy(None, false), WriteStatus::Written, Outcome::ConnectionReset)]
#[case::error_received(busy(Some("25006"), true), WriteStatus::Written, Outcome::Ineligible)]
fn after_a_lost_connection_only_a_sent_query_may_have_been_executed(
    #[case] state: State,
    #[case] query: WriteStatus,
    #[case] outcome: Outcome,
) {
    assert_eq!(state.outcome_of_lost_connection(query), outcome);
}

#[rstest]
#[case::connecting(State::Connecting(exchange()), Outcome::ConnectFailed, false)]
#[case::starting(State::Starting(exchange()), Outcome::ConnectFailed, false)]
#[case::no_reply(busy(None, false), Outcome::Error, false)]
#[case::an_error_that_proves_nothing(busy(Some("58000"), true), Outcome::Error, false)]
#[case::an_error_that_proves_no_execution(busy(Some("53300"), true), Outcome::Overloaded, true)]
fn a_malformed_reply_is_discarded_unless_it_proves_that_nothing_was_executed(
    #[case] mut state: State,
    #[case] outcome: Outcome,
    #[case] reply_is_kept: bool,
) {
    assert_eq!(state.outcome_of_malformed_reply(), outcome);
    let (_, reply) = state.take_exchange().unwrap();
    assert_eq!(reply.has_started(), reply_is_kept);
}

#[rstest]
#[case::connecting(
    State::Connecting(exchange()),
    1000,
    WriteStatus::Written,
    Expiry::Failed(Outcome::ConnectFailed)
)]
#[case::starting(
    State::Starting(exchange()),
    1000,
    WriteStatus::Written,
    Expiry::Failed(Outcome::ConnectFailed)
)]
#[case::starting_at_an_earlier_deadline(
    State::Starting(exchange()),
    500,
    WriteStatus::Written,
    Expiry::Failed(Outcome::Timeout)
)]
#[case::query_not_sent(busy(None, true), 5000, WriteStatus::Pending, Expiry::Failed(Outcome::ConnectFailed))]
#[case::no_reply(busy(None, false), 5000, WriteStatus::Written, Expiry::Failed(Outcome::Timeout))]
#[case::part_of_a_reply(busy(None, true), 5000, WriteStatus::Written, Expiry::ReplyStalled)]
#[case::idle(State::Idle, 5000, WriteStatus::Written, Expiry::Failed(Outcome::Timeout))]
fn the_state_decides_how_an_exchange_expires(
    #[case] state: State,
    #[case] elapsed_millis: u64,
    #[case] query: WriteStatus,
    #[case] expiry: Expiry,
) {
    let now = *STARTED_AT + Duration::from_millis(elapsed_millis);
    assert_eq!(state.expiry(now, CONNECT_TIMEOUT, query), expiry);
}

#[test]
fn taking_the_exchange_leaves_the_connection_idle() {
    let mut state = State::busy(exchange());
    assert!(state.take_exchange().is_some());
    assert!(state.is_idle());
    assert!(state.take_exchange().is_none());
}

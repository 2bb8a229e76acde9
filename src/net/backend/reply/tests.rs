use std::rc::Rc;

use rstest::rstest;

use super::*;
use crate::net::buffer::MemoryBudget;
use crate::net::{AttemptTask, Statement};

fn attempt() -> Task {
    let statement = Statement { text: "SELECT".into(), timeout_range: 0..0, memory: None };
    Task::Attempt(AttemptTask { request: "1".into(), number: 0, statement: Rc::new(statement) })
}

/// Builds a reply from messages whose kinds are given by their type bytes. Stops at the first error.
fn receive(kinds: &str, task: &Task, memory: usize) -> (Reply, Result<ReplyStatus, ReplyError>) {
    let mut value_memory = MemoryBudget::new(memory).reservation();
    let mut reply = Reply::default();
    let mut last = Ok(ReplyStatus::Incomplete);
    for kind in kinds.bytes().map(|byte| BackendMessageKind::from_byte(byte).unwrap()) {
        let body = match kind {
            BackendMessageKind::DataRow => b"\0\x01\0\0\0\x04x1=1".to_vec(),
            BackendMessageKind::ErrorResponse => b"SERROR\0C25006\0\0".to_vec(),
            BackendMessageKind::ParameterStatus => b"commit_clock\x001500\0".to_vec(),
            _ => vec![0; 4],
        };
        last = reply.add_message(&BackendMessage { kind, body }, task, &mut value_memory);
        if last.is_err() {
            break;
        }
    }
    (reply, last)
}

#[rstest]
#[case::row_description("T", None)]
#[case::data_row("TD", None)]
#[case::complete("TDC", Some(Outcome::Success))]
#[case::with_parameters("STDCS", Some(Outcome::Success))]
#[case::error("E", Some(Outcome::Ineligible))]
#[case::error_after_a_row("TDE", Some(Outcome::Ineligible))]
#[case::error_before_a_row("ETDC", Some(Outcome::Ineligible))]
fn messages_in_order_lead_to_an_outcome(#[case] kinds: &str, #[case] outcome: Option<Outcome>) {
    let (reply, last) = receive(kinds, &attempt(), 1000);
    assert_eq!(last, Ok(ReplyStatus::Incomplete));
    assert_eq!(reply.outcome(), outcome);
    assert!(reply.has_started());
}

#[rstest]
#[case::two_descriptions("TT")]
#[case::row_without_description("D")]
#[case::two_rows("TDD")]
#[case::completion_without_row("TC")]
#[case::completion_alone("C")]
#[case::two_completions("TDCC")]
#[case::second_result_set("TDCT")]
#[case::authentication("R")]
fn messages_out_of_order_are_rejected(#[case] kinds: &str) {
    let (_, last) = receive(kinds, &attempt(), 1000);
    assert_eq!(last, Err(ReplyError::UnexpectedMessage));
}

#[test]
fn only_a_result_or_an_error_starts_a_reply() {
    let (reply, last) = receive("SZ", &attempt(), 1000);
    assert_eq!(last, Ok(ReplyStatus::ReadyForQuery));
    assert!(!reply.has_started());
    assert_eq!(reply.outcome(), None);
    assert_eq!(reply.log_position, Some(LogPosition::from_secs(1.5)));
}

#[test]
fn a_health_check_keeps_the_report_and_no_value() {
    let (reply, last) = receive("TDC", &Task::HealthCheck, 0);
    assert_eq!(last, Ok(ReplyStatus::Incomplete));
    assert_eq!(reply.report.and_then(|report| report.role), Some(Role::Primary));
    assert!(reply.value.is_empty());
}

#[test]
fn a_value_must_fit_the_memory_budget() {
    let (reply, last) = receive("TDC", &attempt(), 4);
    assert_eq!(last, Err(ReplyError::OutOfMemory));
    assert_eq!(reply.value, b"T\0\0\0\x08\0\0\0\0");
}

#[rstest]
#[case("53300", Outcome::Overloaded)]
#[case("25006", Outcome::Ineligible)]
#[case("72000", Outcome::Ineligible)]
#[case("42601", Outcome::InvalidRequest)]
#[case("58000", Outcome::Error)]
#[case("", Outcome::Error)]
fn an_error_code_decides_the_outcome(#[case] code: &str, #[case] outcome: Outcome) {
    assert_eq!(error_outcome(code), outcome);
}

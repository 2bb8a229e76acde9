//! Tests of the refusals that excess input requires.

use super::*;

/// Encodes a message without a body.
fn message(kind: ClientMessageKind) -> [u8; 5] {
    [kind.into(), 0, 0, 0, 4]
}

/// Returns all that is left to be done.
fn steps(excess: &mut ExcessInput) -> Vec<Result<ExcessStep, ProtocolError>> {
    let mut steps = Vec::new();
    while steps.last().is_none_or(|last| *last == Ok(ExcessStep::Refuse)) {
        steps.push(excess.next_step());
    }
    steps
}

#[test]
fn each_message_that_expects_an_answer_is_refused() {
    let mut excess = ExcessInput::default();
    assert!(excess.is_finished());
    let kinds = [
        ClientMessageKind::Query,
        ClientMessageKind::Parse,
        ClientMessageKind::Sync,
        ClientMessageKind::Flush,
    ];
    excess.add(&kinds.map(message).concat());
    assert!(excess.has_unanswered() && !excess.is_finished());
    assert_eq!(steps(&mut excess), [Ok(ExcessStep::Refuse), Ok(ExcessStep::Refuse), Ok(ExcessStep::Wait)]);
    assert!(excess.is_finished());
}

#[test]
fn an_incomplete_message_is_not_refused_yet() {
    let mut excess = ExcessInput::default();
    excess.add(&message(ClientMessageKind::Query)[..3]);
    assert_eq!(steps(&mut excess), [Ok(ExcessStep::Wait)]);
    assert!(!excess.is_finished());
    excess.add(&message(ClientMessageKind::Query)[3..]);
    assert_eq!(steps(&mut excess), [Ok(ExcessStep::Refuse), Ok(ExcessStep::Wait)]);
}

#[test]
fn the_session_ends_once_the_queries_before_a_terminate_are_refused() {
    let mut excess = ExcessInput::default();
    let kinds = [ClientMessageKind::Query, ClientMessageKind::Terminate, ClientMessageKind::Query];
    excess.add(&kinds.map(message).concat());
    assert_eq!(steps(&mut excess), [Ok(ExcessStep::Refuse), Ok(ExcessStep::Close)]);
}

#[test]
fn a_protocol_violation_is_reported_once_the_queries_before_it_are_refused() {
    for violation in [&b"Q\0\0\0\x01"[..], &[0, 0, 0, 0, 4]] {
        let mut excess = ExcessInput::default();
        excess.add(&message(ClientMessageKind::Query));
        excess.add(violation);
        excess.add(&message(ClientMessageKind::Query));
        assert_eq!(steps(&mut excess), [Ok(ExcessStep::Refuse), Err(ProtocolError::Malformed)]);
    }
}

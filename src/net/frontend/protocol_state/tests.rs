use rstest::rstest;

use super::*;

type Transition = fn(&mut ProtocolState);

const SESSION: Transition = ProtocolState::start_session;
const QUERY: Transition = ProtocolState::start_query;
const RESPONSE: Transition = ProtocolState::finish_query;
const EMPTY_QUERY: Transition = ProtocolState::await_endpoints;
const EMPTY_QUERY_RESPONSE: Transition = ProtocolState::finish_empty_query;
const EXTENDED_QUERY: Transition = ProtocolState::skip_to_sync;
const SYNC: Transition = ProtocolState::sync;
const CLOSING: Transition = ProtocolState::start_closing;
const HALF_CLOSE: Transition = ProtocolState::half_close;

/// Returns the state after the transitions.
fn after(transitions: &[Transition]) -> ProtocolState {
    let mut state = ProtocolState::new();
    for transition in transitions {
        transition(&mut state);
    }
    state
}

#[rstest]
#[case::new(&[], Phase::Startup)]
#[case::session(&[SESSION], Phase::Idle)]
#[case::query(&[SESSION, QUERY], Phase::Busy)]
#[case::response(&[SESSION, QUERY, RESPONSE], Phase::Idle)]
#[case::empty_query(&[SESSION, EMPTY_QUERY], Phase::AwaitingEndpoints)]
#[case::empty_query_response(&[SESSION, EMPTY_QUERY, EMPTY_QUERY_RESPONSE], Phase::Idle)]
#[case::empty_query_response_at_once(&[SESSION, EMPTY_QUERY_RESPONSE], Phase::Idle)]
#[case::extended_query(&[SESSION, EXTENDED_QUERY], Phase::SkippingToSync)]
#[case::sync(&[SESSION, EXTENDED_QUERY, SYNC], Phase::Idle)]
#[case::sync_without_error(&[SESSION, SYNC], Phase::Idle)]
#[case::closing(&[CLOSING], Phase::Closing)]
#[case::half_closed(&[CLOSING, HALF_CLOSE], Phase::HalfClosed)]
fn a_transition_leads_to_its_phase(#[case] transitions: &[Transition], #[case] expected: Phase) {
    assert_eq!(after(transitions).phase(), expected);
}

/// A running query must get its response before its connection is closed.
#[test]
#[should_panic(expected = "Busy cannot become Closing")]
fn a_connection_is_not_closed_while_its_query_runs() {
    after(&[SESSION, QUERY, CLOSING]);
}

/// Each shutdown of the sending direction raises an event, so repeated ones would start cycles endlessly.
#[test]
#[should_panic(expected = "HalfClosed cannot become HalfClosed")]
fn the_sending_direction_is_shut_down_once() {
    after(&[CLOSING, HALF_CLOSE, HALF_CLOSE]);
}

#[test]
fn a_rejected_message_does_not_count_as_a_query() {
    let mut state = after(&[SESSION, EXTENDED_QUERY, SYNC]);
    assert!(!state.has_queried());
    state.finish_empty_query();
    assert!(state.has_queried());
}

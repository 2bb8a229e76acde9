use rstest::rstest;

use super::*;

/// Records messages whose kinds are given by their type bytes. Returns the status after the last one.
fn record(kinds: &str) -> SyncStatus {
    let mut synchronization = Synchronization::default();
    let kinds = kinds.bytes().map(|byte| BackendMessageKind::from_byte(byte).unwrap());
    kinds.map(|kind| synchronization.record_message(kind)).last().unwrap()
}

#[rstest]
#[case::nothing_but_a_parameter("S", SyncStatus::Pending)]
#[case::empty_query_response("I", SyncStatus::Pending)]
#[case::whole_response("IZ", SyncStatus::Complete)]
#[case::with_parameters_and_notices("SNISNZ", SyncStatus::Complete)]
#[case::ready_alone("Z", SyncStatus::OutOfSync)]
#[case::two_empty_query_responses("II", SyncStatus::OutOfSync)]
#[case::copy_of_a_result("T", SyncStatus::OutOfSync)]
#[case::copy_of_an_error("E", SyncStatus::OutOfSync)]
#[case::result_behind_the_empty_query_response("IT", SyncStatus::OutOfSync)]
fn only_the_response_to_an_empty_query_synchronizes(#[case] kinds: &str, #[case] expected: SyncStatus) {
    assert_eq!(record(kinds), expected);
}

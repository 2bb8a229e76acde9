//! Tests of message framing.

use rstest::rstest;

use super::super::backend_messages::{MAX_TEXT_BODY, MAX_VALUE};
use super::super::framing::MAX_CLIENT_BODY;
use super::*;

/// Returns the header of a message that declares a body of `body_length` bytes.
fn header(kind: impl Into<u8>, body_length: usize) -> Vec<u8> {
    let length = (body_length + 4) as u32;
    [&[kind.into()][..], &length.to_be_bytes()].concat()
}

/// Returns the body of a DataRow with one value; the column declares a length of `column_length` bytes.
fn row(column_length: usize, value: &[u8]) -> Vec<u8> {
    let length = (column_length as u32).to_be_bytes();
    [&[0, 1][..], &length, value].concat()
}

/// Returns a DataRow message up to its value.
fn row_start(body_length: usize, column_length: usize) -> Vec<u8> {
    [header(BackendMessageKind::DataRow, body_length), row(column_length, b"")].concat()
}

/// Returns the body of a RowDescription with a column count, a name and `attributes` bytes of attributes.
fn description(columns: u8, name: &[u8], attributes: usize) -> Vec<u8> {
    [&[0, columns][..], name, &vec![0; attributes]].concat()
}

#[test]
fn complete_messages_are_consumed_one_by_one() {
    let bytes = [wire_message(ClientMessageKind::Query, b"one\0"), wire_message(b'X', b"")].concat();
    let mut buffer = buffer_with(b"");
    let mut messages = Vec::new();
    for byte in bytes {
        buffer.push(&[byte]).unwrap();
        messages.extend(read_client_message(&mut buffer).unwrap().map(|message| (buffer.len(), message)));
    }
    let query = Message { kind: Some(ClientMessageKind::Query), body: b"one\0".to_vec() };
    let terminate = Message { kind: Some(ClientMessageKind::Terminate), body: Vec::new() };
    assert_eq!(messages, [(0, query), (0, terminate)]);
    assert_eq!(buffer.total_received(), buffer.total_consumed());
}

#[test]
fn client_message_of_an_unknown_kind_is_consumed() {
    let message = read_client_message(&mut buffer_with(&wire_message(b'x', b"body")));
    assert_eq!(message, Ok(Some(Message { kind: None, body: b"body".to_vec() })));
}

#[test]
fn incomplete_message_stays_in_the_buffer() {
    let bytes = wire_message(ClientMessageKind::Query, b"one\0");
    let mut buffer = buffer_with(&bytes[..bytes.len() - 1]);
    assert_eq!(read_client_message(&mut buffer), Ok(None));
    assert_eq!(buffer.len(), bytes.len() - 1);
}

#[rstest]
#[case::length_below_minimum(&[b'Q', 0, 0, 0, 3], ProtocolError::Malformed)]
#[case::zero_length(&[b'Q', 0, 0, 0, 0], ProtocolError::Malformed)]
#[case::one_byte_too_long(&header(b'Q', MAX_CLIENT_BODY + 1), ProtocolError::TooLong)]
#[case::maximum_length(&[b'Q', 255, 255, 255, 255], ProtocolError::TooLong)]
fn client_message_with_an_invalid_length_is_rejected(#[case] bytes: &[u8], #[case] expected: ProtocolError) {
    assert_eq!(read_client_message(&mut buffer_with(bytes)), Err(expected));
}

#[test]
fn longest_client_message_fits_the_buffer() {
    let bytes = wire_message(ClientMessageKind::Query, &vec![b'x'; MAX_CLIENT_BODY]);
    assert_eq!(bytes.len(), MAX_BUFFER_SIZE);
    let message = read_client_message(&mut buffer_with(&bytes)).unwrap().unwrap();
    assert_eq!(message.body.len(), MAX_CLIENT_BODY);
}

#[rstest]
#[case::row(BackendMessageKind::DataRow, &row(3, b"abc"))]
#[case::empty_value(BackendMessageKind::DataRow, &row(0, b""))]
#[case::longest_value(BackendMessageKind::DataRow, &row(MAX_VALUE, &vec![b'x'; MAX_VALUE]))]
#[case::row_description(BackendMessageKind::RowDescription, &description(1, b"value\0", 18))]
#[case::command_complete(BackendMessageKind::CommandComplete, b"SELECT 1\0")]
#[case::parameter_status(BackendMessageKind::ParameterStatus, b"name\0value\0")]
#[case::ready_for_query(BackendMessageKind::ReadyForQuery, b"I")]
#[case::authentication(BackendMessageKind::Authentication, &[0; 4])]
#[case::cancel_key(BackendMessageKind::BackendKeyData, &[7; 8])]
#[case::longest_error(BackendMessageKind::ErrorResponse, &[0; MAX_TEXT_BODY])]
#[case::notice(BackendMessageKind::NoticeResponse, b"SNOTICE\0\0")]
fn well_formed_backend_message_is_consumed(#[case] kind: BackendMessageKind, #[case] body: &[u8]) {
    let mut buffer = buffer_with(&wire_message(kind, body));
    assert_eq!(read_backend_message(&mut buffer), Ok(Some(Message { kind, body: body.to_vec() })));
    assert!(buffer.is_empty());
}

#[rstest]
#[case::row_without_columns(BackendMessageKind::DataRow, b"\0\0")]
#[case::row_with_two_columns(BackendMessageKind::DataRow, &[0, 2, 0, 0, 0, 0, 0, 0, 0, 0])]
#[case::row_with_null(BackendMessageKind::DataRow, &[0, 1, 255, 255, 255, 255])]
#[case::value_shorter_than_the_row(BackendMessageKind::DataRow, &row(2, b"abc"))]
#[case::value_longer_than_the_row(BackendMessageKind::DataRow, &row(4, b"abc"))]
#[case::description_of_two_columns(BackendMessageKind::RowDescription, &description(2, b"value\0", 18))]
#[case::description_without_name(BackendMessageKind::RowDescription, &description(1, b"", 18))]
#[case::description_with_two_names(BackendMessageKind::RowDescription, &description(1, b"a\0b\0", 18))]
#[case::description_without_attributes(BackendMessageKind::RowDescription, &description(1, b"v\0", 3))]
#[case::empty_description(BackendMessageKind::RowDescription, b"")]
#[case::tag_without_terminator(BackendMessageKind::CommandComplete, b"SELECT 1")]
#[case::tag_with_control_character(BackendMessageKind::CommandComplete, b"SELECT\x1b1\0")]
#[case::parameter_without_value(BackendMessageKind::ParameterStatus, b"name\0")]
#[case::parameter_without_terminator(BackendMessageKind::ParameterStatus, b"name\0value")]
#[case::parameter_with_two_values(BackendMessageKind::ParameterStatus, b"name\0value\0more\0")]
#[case::parameter_not_utf8(BackendMessageKind::ParameterStatus, b"name\0\xff\0")]
#[case::in_transaction(BackendMessageKind::ReadyForQuery, b"T")]
#[case::ready_without_status(BackendMessageKind::ReadyForQuery, b"")]
fn malformed_backend_message_is_rejected(#[case] kind: BackendMessageKind, #[case] body: &[u8]) {
    let mut buffer = buffer_with(&wire_message(kind, body));
    assert_eq!(read_backend_message(&mut buffer), Err(ProtocolError::Malformed));
}

#[rstest]
#[case::unknown_kind(b"x", ProtocolError::Malformed)]
#[case::client_message_kind(b"Q", ProtocolError::Malformed)]
#[case::long_empty_query_response(&header(BackendMessageKind::EmptyQueryResponse, 1), ProtocolError::TooLong)]
#[case::length_below_minimum(
    &[BackendMessageKind::ReadyForQuery.into(), 0, 0, 0, 3],
    ProtocolError::Malformed
)]
#[case::long_value(&header(BackendMessageKind::DataRow, MAX_VALUE + 7), ProtocolError::TooLong)]
#[case::long_error(&header(BackendMessageKind::ErrorResponse, MAX_TEXT_BODY + 1), ProtocolError::TooLong)]
#[case::long_tag(&header(BackendMessageKind::CommandComplete, 1025), ProtocolError::TooLong)]
#[case::long_description(&header(BackendMessageKind::RowDescription, 1025), ProtocolError::TooLong)]
#[case::long_authentication(&header(BackendMessageKind::Authentication, 257), ProtocolError::TooLong)]
#[case::long_ready(&header(BackendMessageKind::ReadyForQuery, 2), ProtocolError::TooLong)]
#[case::wrong_value_length(&row_start(100, 93), ProtocolError::Malformed)]
fn invalid_backend_message_is_rejected_before_it_is_complete(
    #[case] received: &[u8],
    #[case] expected: ProtocolError,
) {
    assert_eq!(read_backend_message(&mut buffer_with(received)), Err(expected));
}

#[rstest]
#[case::nothing(b"")]
#[case::kind(&[BackendMessageKind::DataRow.into()])]
#[case::header(&header(BackendMessageKind::DataRow, 100))]
#[case::start_of_a_row(&row_start(100, 94))]
fn incomplete_backend_message_stays_in_the_buffer(#[case] received: &[u8]) {
    let mut buffer = buffer_with(received);
    assert_eq!(read_backend_message(&mut buffer), Ok(None));
    assert_eq!(buffer.len(), received.len());
}

#[test]
fn random_bytes_never_panic() {
    let mut rng = fastrand::Rng::with_seed(SEED);
    for _ in 0..5000 {
        let bytes = random_bytes(&mut rng, 40);
        let _ = read_client_message(&mut buffer_with(&bytes));
        let _ = read_backend_message(&mut buffer_with(&bytes));
        let _ = read_startup(&mut buffer_with(&bytes));
    }
}

#[test]
fn random_bodies_never_panic() {
    let kinds = [
        BackendMessageKind::Authentication,
        BackendMessageKind::BackendKeyData,
        BackendMessageKind::CommandComplete,
        BackendMessageKind::DataRow,
        BackendMessageKind::ErrorResponse,
        BackendMessageKind::NoticeResponse,
        BackendMessageKind::ParameterStatus,
        BackendMessageKind::ReadyForQuery,
        BackendMessageKind::RowDescription,
    ];
    let mut rng = fastrand::Rng::with_seed(SEED);
    for _ in 0..5000 {
        let body = random_bytes(&mut rng, 40);
        for kind in kinds {
            let _ = read_backend_message(&mut buffer_with(&wire_message(kind, &body)));
        }
        let _ = parse_error_response(&body);
        let _ = parse_parameter_status(&body);
        let _ = single_column_value(&body);
    }
}

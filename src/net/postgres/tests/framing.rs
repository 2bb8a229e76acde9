//! Tests of cutting bytes into messages.

use rstest::rstest;

use super::super::backend_messages::{MAX_TEXT_BODY, MAX_VALUE};
use super::super::framing::MAX_CLIENT_BODY;
use super::super::message_kind::{client, server};
use super::*;

/// The start of a message that announces a body of `body_length` bytes.
fn header(kind: u8, body_length: usize) -> Vec<u8> {
    let length = (body_length + 4) as u32;
    [&[kind][..], &length.to_be_bytes()].concat()
}

/// A row with one value, whose column announces `column_length` bytes.
fn row(column_length: usize, value: &[u8]) -> Vec<u8> {
    let length = (column_length as u32).to_be_bytes();
    [&[0, 1][..], &length, value].concat()
}

/// The start of a row message up to its value.
fn row_start(body_length: usize, column_length: usize) -> Vec<u8> {
    [header(server::DATA_ROW, body_length), row(column_length, b"")].concat()
}

/// A description of columns of this name, with the count of columns in front.
fn description(columns: u8, name: &[u8], numbers: usize) -> Vec<u8> {
    [&[0, columns][..], name, &vec![0; numbers]].concat()
}

#[test]
fn messages_are_taken_one_by_one_once_complete() {
    let bytes = [wire_message(client::QUERY, b"one\0"), wire_message(b'X', b"")].concat();
    let mut buffer = buffer_with(b"");
    let mut messages = Vec::new();
    for byte in bytes {
        buffer.push(&[byte]).unwrap();
        messages.extend(read_client_message(&mut buffer).unwrap().map(|message| (buffer.len(), message)));
    }
    let query = Message { kind: client::QUERY, body: b"one\0".to_vec() };
    let terminate = Message { kind: b'X', body: Vec::new() };
    assert_eq!(messages, [(0, query), (0, terminate)]);
    assert_eq!(buffer.total_received(), buffer.total_consumed());
}

#[test]
fn incomplete_message_stays_in_the_buffer() {
    let bytes = wire_message(client::QUERY, b"one\0");
    let mut buffer = buffer_with(&bytes[..bytes.len() - 1]);
    assert_eq!(read_client_message(&mut buffer), Ok(None));
    assert_eq!(buffer.len(), bytes.len() - 1);
}

#[rstest]
#[case::length_without_itself(&[b'Q', 0, 0, 0, 3], FrameError::Malformed)]
#[case::zero_length(&[b'Q', 0, 0, 0, 0], FrameError::Malformed)]
#[case::one_byte_too_long(&header(b'Q', MAX_CLIENT_BODY + 1), FrameError::TooLong)]
#[case::longest_length(&[b'Q', 255, 255, 255, 255], FrameError::TooLong)]
fn client_message_with_a_bad_length_is_rejected(#[case] bytes: &[u8], #[case] expected: FrameError) {
    assert_eq!(read_client_message(&mut buffer_with(bytes)), Err(expected));
}

#[test]
fn longest_client_message_fits_its_buffer() {
    let bytes = wire_message(client::QUERY, &vec![b'x'; MAX_CLIENT_BODY]);
    assert_eq!(bytes.len(), MAX_BUFFER_SIZE);
    let message = read_client_message(&mut buffer_with(&bytes)).unwrap().unwrap();
    assert_eq!(message.body.len(), MAX_CLIENT_BODY);
}

#[rstest]
#[case::row(server::DATA_ROW, &row(3, b"abc"))]
#[case::empty_value(server::DATA_ROW, &row(0, b""))]
#[case::longest_value(server::DATA_ROW, &row(MAX_VALUE, &vec![b'x'; MAX_VALUE]))]
#[case::row_description(server::ROW_DESCRIPTION, &description(1, b"value\0", 18))]
#[case::command_complete(server::COMMAND_COMPLETE, b"SELECT 1\0")]
#[case::parameter_status(server::PARAMETER_STATUS, b"name\0value\0")]
#[case::ready_for_query(server::READY_FOR_QUERY, b"I")]
#[case::authentication(server::AUTHENTICATION, &[0; 4])]
#[case::cancel_key(server::BACKEND_KEY_DATA, &[7; 8])]
#[case::longest_error(server::ERROR_RESPONSE, &[0; MAX_TEXT_BODY])]
#[case::notice(server::NOTICE_RESPONSE, b"SNOTICE\0\0")]
fn well_formed_server_message_is_taken(#[case] kind: u8, #[case] body: &[u8]) {
    let mut buffer = buffer_with(&wire_message(kind, body));
    assert_eq!(read_server_message(&mut buffer), Ok(Some(Message { kind, body: body.to_vec() })));
    assert!(buffer.is_empty());
}

#[rstest]
#[case::row_without_columns(server::DATA_ROW, b"\0\0")]
#[case::row_of_two_columns(server::DATA_ROW, &[0, 2, 0, 0, 0, 0, 0, 0, 0, 0])]
#[case::row_with_null(server::DATA_ROW, &[0, 1, 255, 255, 255, 255])]
#[case::value_shorter_than_its_row(server::DATA_ROW, &row(2, b"abc"))]
#[case::value_longer_than_its_row(server::DATA_ROW, &row(4, b"abc"))]
#[case::description_of_two_columns(server::ROW_DESCRIPTION, &description(2, b"value\0", 18))]
#[case::description_without_name(server::ROW_DESCRIPTION, &description(1, b"", 18))]
#[case::description_with_two_names(server::ROW_DESCRIPTION, &description(1, b"a\0b\0", 18))]
#[case::description_without_numbers(server::ROW_DESCRIPTION, &description(1, b"v\0", 3))]
#[case::empty_description(server::ROW_DESCRIPTION, b"")]
#[case::tag_without_end(server::COMMAND_COMPLETE, b"SELECT 1")]
#[case::tag_with_control_character(server::COMMAND_COMPLETE, b"SELECT\x1b1\0")]
#[case::parameter_without_value(server::PARAMETER_STATUS, b"name\0")]
#[case::parameter_without_end(server::PARAMETER_STATUS, b"name\0value")]
#[case::parameter_with_two_values(server::PARAMETER_STATUS, b"name\0value\0more\0")]
#[case::parameter_not_utf8(server::PARAMETER_STATUS, b"name\0\xff\0")]
#[case::in_transaction(server::READY_FOR_QUERY, b"T")]
#[case::ready_without_state(server::READY_FOR_QUERY, b"")]
fn malformed_server_message_is_rejected(#[case] kind: u8, #[case] body: &[u8]) {
    let mut buffer = buffer_with(&wire_message(kind, body));
    assert_eq!(read_server_message(&mut buffer), Err(FrameError::Malformed));
}

#[rstest]
#[case::unknown_kind(b"x", FrameError::Malformed)]
#[case::kind_of_a_client(b"Q", FrameError::Malformed)]
#[case::length_without_itself(&[server::READY_FOR_QUERY, 0, 0, 0, 3], FrameError::Malformed)]
#[case::long_value(&header(server::DATA_ROW, MAX_VALUE + 7), FrameError::TooLong)]
#[case::long_error(&header(server::ERROR_RESPONSE, MAX_TEXT_BODY + 1), FrameError::TooLong)]
#[case::long_tag(&header(server::COMMAND_COMPLETE, 1025), FrameError::TooLong)]
#[case::long_description(&header(server::ROW_DESCRIPTION, 1025), FrameError::TooLong)]
#[case::long_authentication(&header(server::AUTHENTICATION, 257), FrameError::TooLong)]
#[case::long_ready(&header(server::READY_FOR_QUERY, 2), FrameError::TooLong)]
#[case::wrong_value_length(&row_start(100, 93), FrameError::Malformed)]
fn bad_server_message_is_rejected_before_it_is_complete(
    #[case] received: &[u8],
    #[case] expected: FrameError,
) {
    assert_eq!(read_server_message(&mut buffer_with(received)), Err(expected));
}

#[rstest]
#[case::nothing(b"")]
#[case::kind(&[server::DATA_ROW])]
#[case::header(&header(server::DATA_ROW, 100))]
#[case::start_of_a_row(&row_start(100, 94))]
fn incomplete_server_message_is_awaited(#[case] received: &[u8]) {
    let mut buffer = buffer_with(received);
    assert_eq!(read_server_message(&mut buffer), Ok(None));
    assert_eq!(buffer.len(), received.len());
}

#[test]
fn random_bytes_never_panic() {
    let mut rng = fastrand::Rng::with_seed(SEED);
    for _ in 0..5000 {
        let bytes = random_bytes(&mut rng, 40);
        let _ = read_client_message(&mut buffer_with(&bytes));
        let _ = read_server_message(&mut buffer_with(&bytes));
        let _ = read_startup(&mut buffer_with(&bytes));
    }
}

#[test]
fn random_bodies_never_panic() {
    let kinds = [
        server::AUTHENTICATION,
        server::BACKEND_KEY_DATA,
        server::COMMAND_COMPLETE,
        server::DATA_ROW,
        server::ERROR_RESPONSE,
        server::NOTICE_RESPONSE,
        server::PARAMETER_STATUS,
        server::READY_FOR_QUERY,
        server::ROW_DESCRIPTION,
    ];
    let mut rng = fastrand::Rng::with_seed(SEED);
    for _ in 0..5000 {
        let body = random_bytes(&mut rng, 40);
        for kind in kinds {
            let _ = read_server_message(&mut buffer_with(&wire_message(kind, &body)));
        }
        let _ = parse_error_response(&body);
        let _ = parse_parameter_status(&body);
        let _ = single_column(&body);
    }
}

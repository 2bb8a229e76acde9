//! Tests of startup packets.

use rstest::rstest;

use super::*;
use crate::net::CancelKey;

const VERSION_3_0: u32 = 196_608;
const CANCEL: u32 = 80_877_102;
const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;

/// Encodes a packet: its length followed by `fields`.
fn packet(fields: &[u32]) -> Vec<u8> {
    let length = 4 * (fields.len() as u32 + 1);
    let fields = fields.iter().flat_map(|field| field.to_be_bytes());
    length.to_be_bytes().into_iter().chain(fields).collect()
}

#[rstest]
#[case::session(&startup_message("user", "database"), StartupRequest::Session)]
#[case::minor_version(&packet(&[VERSION_3_0 + 2]), StartupRequest::Session)]
#[case::ssl(&packet(&[SSL]), StartupRequest::Encryption)]
#[case::gss(&packet(&[GSS]), StartupRequest::Encryption)]
#[case::cancel(&packet(&[CANCEL, 7, 9]), StartupRequest::Cancel(CancelKey { process_id: 7, secret: 9 }))]
#[case::version_2(&packet(&[2 << 16]), StartupRequest::UnsupportedVersion)]
#[case::version_4(&packet(&[4 << 16]), StartupRequest::UnsupportedVersion)]
fn startup_packet_is_parsed(#[case] bytes: &[u8], #[case] expected: StartupRequest) {
    let mut buffer = buffer_with(bytes);
    assert_eq!(read_startup(&mut buffer), Ok(Some(expected)));
    assert!(buffer.is_empty());
}

#[rstest]
#[case::no_request_code(&[0, 0, 0, 4], ProtocolError::Malformed)]
#[case::part_of_a_request_code(&[0, 0, 0, 7], ProtocolError::Malformed)]
#[case::too_long(&10_001_u32.to_be_bytes(), ProtocolError::TooLong)]
#[case::cancel_without_secret(&packet(&[CANCEL, 7]), ProtocolError::Malformed)]
#[case::cancel_with_extra_field(&packet(&[CANCEL, 7, 9, 11]), ProtocolError::Malformed)]
fn invalid_startup_packet_is_rejected(#[case] bytes: &[u8], #[case] expected: ProtocolError) {
    assert_eq!(read_startup(&mut buffer_with(bytes)), Err(expected));
}

#[rstest]
#[case::part_of_the_length(&[0, 0, 39])]
#[case::maximum_length(&10_000_u32.to_be_bytes())]
#[case::one_byte_missing(&packet(&[CANCEL, 7, 9])[..15])]
fn incomplete_startup_packet_stays_in_the_buffer(#[case] bytes: &[u8]) {
    let mut buffer = buffer_with(bytes);
    assert_eq!(read_startup(&mut buffer), Ok(None));
    assert_eq!(buffer.len(), bytes.len());
}

#[test]
fn startup_message_contains_user_and_database() {
    let expected = b"\0\0\0\x1d\0\x03\0\0user\0me\0database\0db\0\0";
    assert_eq!(startup_message("me", "db"), expected);
}

#[test]
fn startup_response_contains_parameters_and_cancel_key() {
    let parameters = [
        wire_message(b'S', b"server_version\x0015.0\0"),
        wire_message(b'S', b"server_encoding\0UTF8\0"),
        wire_message(b'S', b"client_encoding\0UTF8\0"),
        wire_message(b'S', b"DateStyle\0ISO, MDY\0"),
        wire_message(b'S', b"integer_datetimes\0on\0"),
        wire_message(b'S', b"standard_conforming_strings\0on\0"),
    ];
    let expected = [
        b"R\0\0\0\x08\0\0\0\0".to_vec(),
        parameters.concat(),
        b"K\0\0\0\x0c\0\0\0\x07\0\0\0\x09".to_vec(),
        b"Z\0\0\0\x05I".to_vec(),
    ];
    assert_eq!(startup_response(CancelKey { process_id: 7, secret: 9 }), expected.concat());
}

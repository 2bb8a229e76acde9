//! Tests of the counter of client messages.

use rstest::rstest;

use super::*;
use crate::net::buffer::MAX_BUFFER_SIZE;

/// Two queries and a message of an unknown kind.
const MESSAGES: &[u8] = b"Q\0\0\0\x06ab\0\0\0\0\x04Q\0\0\0\x05c";

#[rstest]
fn messages_are_found_in_pieces_of_any_size(#[values(1, 2, 3, 5, 100)] size: usize) {
    let mut counter = MessageCounter::default();
    let mut kinds = Vec::new();
    for mut piece in MESSAGES.chunks(size) {
        while let Some(kind) = counter.skip_message(&mut piece).unwrap() {
            kinds.push(kind);
        }
        assert!(piece.is_empty());
    }
    assert_eq!(kinds, [Some(ClientMessageKind::Query), None, Some(ClientMessageKind::Query)]);
    assert!(counter.is_between_messages());
}

#[rstest]
#[case::below_the_length_field(3, ProtocolError::Malformed)]
#[case::beyond_the_limit(MAX_BUFFER_SIZE as u32, ProtocolError::TooLong)]
fn an_invalid_length_is_an_error(#[case] length: u32, #[case] expected: ProtocolError) {
    let header = [&b"Q"[..], &length.to_be_bytes()].concat();
    assert_eq!(MessageCounter::default().skip_message(&mut &header[..]), Err(expected));
}

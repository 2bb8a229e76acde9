//! Tests of the type bytes of message kinds.

use super::*;

/// Returns all bytes that `is_known` accepts, as text.
fn known_bytes(is_known: impl Fn(u8) -> bool) -> String {
    (0..=u8::MAX).filter(|byte| is_known(*byte)).map(char::from).collect()
}

#[test]
fn each_kind_has_the_type_byte_of_the_protocol() {
    assert_eq!(known_bytes(|byte| ClientMessageKind::from_byte(byte).is_some()), "BCDEFHPQSXcdfp");
    assert_eq!(known_bytes(|byte| BackendMessageKind::from_byte(byte).is_some()), "CDEIKNRSTZ");
    assert_eq!(ClientMessageKind::from_byte(b'C'), Some(ClientMessageKind::Close));
    assert_eq!(BackendMessageKind::from_byte(b'C'), Some(BackendMessageKind::CommandComplete));
}

#[test]
fn kinds_convert_to_the_byte_that_they_were_parsed_from() {
    for byte in 0..=u8::MAX {
        assert!(ClientMessageKind::from_byte(byte).is_none_or(|kind| u8::from(kind) == byte));
        assert!(BackendMessageKind::from_byte(byte).is_none_or(|kind| u8::from(kind) == byte));
    }
}

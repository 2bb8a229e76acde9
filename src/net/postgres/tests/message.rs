//! Tests of the message format.

use super::*;

#[test]
fn message_is_appended_after_existing_bytes() {
    let mut out = b"before".to_vec();
    append_message(&mut out, &Message { kind: BackendMessageKind::DataRow, body: b"abc".to_vec() });
    assert_eq!(out, b"beforeD\0\0\0\x07abc");
}

//! Tests of the form of a message.

use super::*;

#[test]
fn appended_message_follows_the_bytes_before_it() {
    let mut out = b"before".to_vec();
    append_message(&mut out, &Message { kind: BackendMessageKind::DataRow, body: b"abc".to_vec() });
    assert_eq!(out, b"beforeD\0\0\0\x07abc");
}

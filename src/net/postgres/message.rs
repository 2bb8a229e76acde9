//! The form of a message on the wire: its kind (one byte), its length (four bytes that count themselves) and
//! its body.

use super::message_kind::{BackendMessageKind, ClientMessageKind};

/// The bytes of the length, which the length itself counts.
pub(super) const LENGTH_SIZE: usize = 4;
/// The bytes before the body.
pub(super) const HEADER_SIZE: usize = 1 + LENGTH_SIZE;

/// A message.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Message<Kind> {
    /// What the message is, by its first byte.
    pub kind: Kind,
    /// The bytes after the header.
    pub body: Vec<u8>,
}

/// A message that a client sent; its kind is `None` where its first byte stands for none.
pub(crate) type ClientMessage = Message<Option<ClientMessageKind>>;

/// A message that an endpoint sent.
pub(crate) type BackendMessage = Message<BackendMessageKind>;

/// Writes a message: its kind, its length and the body that `write_body` appends.
pub(super) fn write_message(out: &mut Vec<u8>, kind: impl Into<u8>, write_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind.into());
    write_with_length(out, write_body);
}

/// Writes the length that precedes a body, and the body that `write_body` appends. The length counts itself.
pub(super) fn write_with_length(out: &mut Vec<u8>, write_body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0; LENGTH_SIZE]);
    write_body(out);
    let length = (out.len() - start) as u32;
    out[start..start + LENGTH_SIZE].copy_from_slice(&length.to_be_bytes());
}

/// Appends a message as it was received.
pub(crate) fn append_message(out: &mut Vec<u8>, message: &BackendMessage) {
    write_message(out, message.kind, |out| out.extend(&message.body));
}

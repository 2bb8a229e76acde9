//! The format of a message on the wire: the kind (one byte), the length (four bytes, including itself)
//! and the body.

use super::message_kind::{BackendMessageKind, ClientMessageKind};

/// Size of the length field (bytes). The length includes this field.
pub(super) const LENGTH_SIZE: usize = 4;
/// Size of the header, which precedes the body (bytes).
pub(super) const HEADER_SIZE: usize = 1 + LENGTH_SIZE;

/// A message with a header and a body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Message<Kind> {
    /// The kind of the message, which its first byte identifies.
    pub kind: Kind,
    /// The bytes after the header.
    pub body: Vec<u8>,
}

impl<Kind> Message<Kind> {
    /// Returns the number of bytes of the message with its header.
    pub fn encoded_length(&self) -> usize {
        HEADER_SIZE + self.body.len()
    }
}

/// A message from a client; its kind is `None` if the first byte is unknown.
pub(crate) type ClientMessage = Message<Option<ClientMessageKind>>;

/// A message from an endpoint.
pub(crate) type BackendMessage = Message<BackendMessageKind>;

/// Appends a message: its kind, its length and the body that `write_body` appends.
pub(super) fn write_message(out: &mut Vec<u8>, kind: impl Into<u8>, write_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind.into());
    write_with_length(out, write_body);
}

/// Appends a length field and the body that `write_body` appends. The length includes its own field.
pub(super) fn write_with_length(out: &mut Vec<u8>, write_body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0; LENGTH_SIZE]);
    write_body(out);
    let length = (out.len() - start) as u32;
    out[start..start + LENGTH_SIZE].copy_from_slice(&length.to_be_bytes());
}

/// Appends a message from an endpoint unchanged.
pub(crate) fn append_message(out: &mut Vec<u8>, message: &BackendMessage) {
    write_message(out, message.kind, |out| out.extend(&message.body));
}

//! Writing of messages.

use super::framing::{Message, HEADER_SIZE, LENGTH_SIZE};
use super::message_kind::{client, server};

/// The state in ReadyForQuery of a session outside of a transaction.
pub(super) const NO_TRANSACTION: u8 = b'I';

/// Writes a message: its kind, its length and the body that `write_body` appends.
pub(super) fn write_message(out: &mut Vec<u8>, kind: u8, write_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
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
pub(crate) fn append_message(out: &mut Vec<u8>, message: &Message) {
    write_message(out, message.kind, |out| out.extend(&message.body));
}

/// Returns a ReadyForQuery of a session outside of a transaction.
pub(crate) fn ready_for_query() -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, server::READY_FOR_QUERY, |out| out.push(NO_TRANSACTION));
    out
}

/// Returns the answer to a query without a statement.
pub(crate) fn empty_query_response() -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, server::EMPTY_QUERY_RESPONSE, |_| {});
    out
}

/// Returns a query for a database host.
pub(crate) fn query_message(sql: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_SIZE + sql.len() + 1);
    write_message(&mut out, client::QUERY, |out| {
        out.extend(sql);
        out.push(0);
    });
    out
}

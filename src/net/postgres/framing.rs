//! Takes complete messages off the received bytes.

use thiserror::Error;

use super::backend_messages::{has_one_column, is_well_formed, max_body_length, COLUMN_VALUE_OFFSET};
use super::message::{BackendMessage, ClientMessage, Message, HEADER_SIZE, LENGTH_SIZE};
use super::message_kind::{BackendMessageKind, ClientMessageKind};
use crate::net::buffer::{RingBuffer, MAX_BUFFER_SIZE};

/// The longest body of a client's message (bytes): the buffer must hold the header with it.
pub(super) const MAX_CLIENT_BODY: usize = MAX_BUFFER_SIZE - HEADER_SIZE;

/// The received bytes are not the messages of the protocol. The connection cannot be used any further. The
/// texts are sent to clients.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum FrameError {
    /// A message has a kind, a length or a body that the protocol does not allow.
    #[error("malformed message")]
    Malformed,
    /// A message is longer than the pooler accepts.
    #[error("message too long")]
    TooLong,
}

/// The first byte of a message and the length of its body.
struct MessageHeader {
    first_byte: u8,
    /// In bytes.
    body_length: usize,
}

/// Takes the next message of a client, or returns `None` until it is complete.
///
/// Fails if its length is impossible or exceeds [`MAX_CLIENT_BODY`].
pub(crate) fn read_client_message(buffer: &mut RingBuffer) -> Result<Option<ClientMessage>, FrameError> {
    let Some(header) = peek_header(buffer)? else { return Ok(None) };
    if header.body_length > MAX_CLIENT_BODY {
        return Err(FrameError::TooLong);
    }
    let kind = ClientMessageKind::from_byte(header.first_byte);
    Ok(take_body(buffer, &header).map(|body| Message { kind, body }))
}

/// Takes the next message of an endpoint, or returns `None` until it is complete. One that no endpoint would
/// send is rejected by its first bytes, since the rest of it may never arrive.
pub(crate) fn read_backend_message(buffer: &mut RingBuffer) -> Result<Option<BackendMessage>, FrameError> {
    let Some([first_byte]) = buffer.peek() else { return Ok(None) };
    let kind = BackendMessageKind::from_byte(first_byte).ok_or(FrameError::Malformed)?;
    let max_body_length = max_body_length(kind).ok_or(FrameError::Malformed)?;
    let Some(header) = peek_header(buffer)? else { return Ok(None) };
    if header.body_length > max_body_length {
        return Err(FrameError::TooLong);
    }
    if kind == BackendMessageKind::DataRow {
        check_row_start(buffer, &header)?;
    }
    let Some(body) = take_body(buffer, &header) else { return Ok(None) };
    let message = Message { kind, body };
    if !is_well_formed(&message) {
        return Err(FrameError::Malformed);
    }
    Ok(Some(message))
}

/// Checks the start of a row once it has been received, before its value.
fn check_row_start(buffer: &RingBuffer, header: &MessageHeader) -> Result<(), FrameError> {
    match buffer.peek::<{ HEADER_SIZE + COLUMN_VALUE_OFFSET }>() {
        Some(start) if !has_one_column(&start[HEADER_SIZE..], header.body_length) => {
            Err(FrameError::Malformed)
        }
        _ => Ok(()),
    }
}

/// Returns the header of the next message, or `None` until it is complete.
fn peek_header(buffer: &RingBuffer) -> Result<Option<MessageHeader>, FrameError> {
    let Some([first_byte, length @ ..]) = buffer.peek::<HEADER_SIZE>() else { return Ok(None) };
    let length = u32::from_be_bytes(length) as usize;
    let body_length = length.checked_sub(LENGTH_SIZE).ok_or(FrameError::Malformed)?;
    Ok(Some(MessageHeader { first_byte, body_length }))
}

/// Takes the message with this header and returns its body, or returns `None` until it is complete.
fn take_body(buffer: &mut RingBuffer, header: &MessageHeader) -> Option<Vec<u8>> {
    if buffer.len() < HEADER_SIZE + header.body_length {
        return None;
    }
    buffer.consume(HEADER_SIZE);
    Some(buffer.take(header.body_length))
}

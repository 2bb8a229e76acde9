//! Message framing: extracts complete messages from the received bytes.

use thiserror::Error;

use super::backend_messages::{has_one_column, is_well_formed, max_body_length, COLUMN_VALUE_OFFSET};
use super::message::{BackendMessage, ClientMessage, Message, HEADER_SIZE, LENGTH_SIZE};
use super::message_kind::{BackendMessageKind, ClientMessageKind};
use crate::net::buffer::{RingBuffer, MAX_BUFFER_SIZE};

/// Maximum body length of a client message (bytes): the buffer must hold the header and the body.
pub(super) const MAX_CLIENT_BODY: usize = MAX_BUFFER_SIZE - HEADER_SIZE;

/// Why the received bytes violate the protocol. The connection cannot be used any further. The texts are sent
/// to clients.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum ProtocolError {
    /// The kind, the length or the body of a message is invalid.
    #[error("malformed message")]
    Malformed,
    /// A message exceeds the maximum length that the pooler accepts.
    #[error("message too long")]
    TooLong,
}

/// The header of a message.
pub(super) struct MessageHeader {
    first_byte: u8,
    /// In bytes.
    pub body_length: usize,
}

/// Consumes the next client message, or returns `None` if it is incomplete.
///
/// Fails if its length is invalid or exceeds [`MAX_CLIENT_BODY`].
pub(crate) fn read_client_message(buffer: &mut RingBuffer) -> Result<Option<ClientMessage>, ProtocolError> {
    let message = peek_client_message(buffer, 0)?;
    if let Some(message) = &message {
        buffer.consume(message.encoded_length());
    }
    Ok(message)
}

/// Returns the client message that starts `offset` bytes behind the front without consuming it, or `None` if
/// it is incomplete.
///
/// Fails if its length is invalid or exceeds [`MAX_CLIENT_BODY`].
pub(crate) fn peek_client_message(
    buffer: &RingBuffer,
    offset: usize,
) -> Result<Option<ClientMessage>, ProtocolError> {
    let Some(header) = peek_header(buffer, offset)? else { return Ok(None) };
    if header.body_length > MAX_CLIENT_BODY {
        return Err(ProtocolError::TooLong);
    }
    let kind = ClientMessageKind::from_byte(header.first_byte);
    let body = buffer.peek_range(offset + HEADER_SIZE, header.body_length);
    Ok(body.map(|body| Message { kind, body }))
}

/// Consumes the next message from an endpoint, or returns `None` if it is incomplete. An invalid message is
/// rejected as soon as its first bytes show that, since the rest may never arrive.
pub(crate) fn read_backend_message(buffer: &mut RingBuffer) -> Result<Option<BackendMessage>, ProtocolError> {
    let Some([first_byte]) = buffer.peek() else { return Ok(None) };
    let kind = BackendMessageKind::from_byte(first_byte).ok_or(ProtocolError::Malformed)?;
    let max_body_length = max_body_length(kind).ok_or(ProtocolError::Malformed)?;
    let Some(header) = peek_header(buffer, 0)? else { return Ok(None) };
    if header.body_length > max_body_length {
        return Err(ProtocolError::TooLong);
    }
    if kind == BackendMessageKind::DataRow {
        validate_data_row_start(buffer, &header)?;
    }
    let Some(body) = take_body(buffer, &header) else { return Ok(None) };
    let message = Message { kind, body };
    if !is_well_formed(&message) {
        return Err(ProtocolError::Malformed);
    }
    Ok(Some(message))
}

/// Validates the bytes of a DataRow that precede the value, once they have been received.
fn validate_data_row_start(buffer: &RingBuffer, header: &MessageHeader) -> Result<(), ProtocolError> {
    match buffer.peek::<{ HEADER_SIZE + COLUMN_VALUE_OFFSET }>() {
        Some(start) if !has_one_column(&start[HEADER_SIZE..], header.body_length) => {
            Err(ProtocolError::Malformed)
        }
        _ => Ok(()),
    }
}

/// Returns the header of the message that starts `offset` bytes behind the front, or `None` if it is
/// incomplete.
fn peek_header(buffer: &RingBuffer, offset: usize) -> Result<Option<MessageHeader>, ProtocolError> {
    buffer.peek_at::<HEADER_SIZE>(offset).map(parse_header).transpose()
}

/// Parses the header of a message. Fails if its length is invalid.
pub(super) fn parse_header(header: [u8; HEADER_SIZE]) -> Result<MessageHeader, ProtocolError> {
    let [first_byte, length @ ..] = header;
    let length = u32::from_be_bytes(length) as usize;
    let body_length = length.checked_sub(LENGTH_SIZE).ok_or(ProtocolError::Malformed)?;
    Ok(MessageHeader { first_byte, body_length })
}

/// Consumes the message with this header and returns its body, or `None` if it is incomplete.
fn take_body(buffer: &mut RingBuffer, header: &MessageHeader) -> Option<Vec<u8>> {
    if buffer.len() < HEADER_SIZE + header.body_length {
        return None;
    }
    buffer.consume(HEADER_SIZE);
    Some(buffer.take(header.body_length))
}

//! Cutting the received bytes into messages.
//!
//! A message is its kind (one byte), its length (four bytes that count themselves) and its body.

use thiserror::Error;

use super::message_kind::server::*;
use super::server_messages::{check_column_length, is_well_formed, COLUMN_VALUE_OFFSET};
use crate::net::buffer::{RingBuffer, MAX_BUFFER_SIZE};

/// The bytes of the length, which the length itself counts.
pub(super) const LENGTH_SIZE: usize = 4;
/// The bytes before the body.
pub(super) const HEADER_SIZE: usize = 1 + LENGTH_SIZE;

/// The longest body of a client's message: the buffer must hold the header with it.
pub(super) const MAX_CLIENT_BODY: usize = MAX_BUFFER_SIZE - HEADER_SIZE;
/// The longest value in the row of a database host.
pub(super) const MAX_VALUE: usize = 64 * 1024;
/// The longest body of a database host's message that holds one column name or command tag.
const MAX_NAME_BODY: usize = 1024;
/// The longest body of a database host's message that holds other text, such as an error.
pub(super) const MAX_TEXT_BODY: usize = 8 * 1024;
/// The longest body of an authentication request or a cancel key of a database host.
const MAX_STARTUP_BODY: usize = 256;
/// The body of ReadyForQuery is the state of the transaction.
const READY_FOR_QUERY_BODY: usize = 1;

/// A message with its kind, a constant of [`message_kind`](super::message_kind).
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Message {
    pub kind: u8,
    pub body: Vec<u8>,
}

/// The received bytes are not the messages of the protocol. The connection cannot be used any further.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum FrameError {
    #[error("malformed message")]
    Malformed,
    #[error("message too long")]
    TooLong,
}

/// The kind of a message and the length of its body.
struct MessageHeader {
    kind: u8,
    body_length: usize,
}

/// Takes the next message of a client, or returns `None` until it is complete.
pub(crate) fn read_client_message(buffer: &mut RingBuffer) -> Result<Option<Message>, FrameError> {
    let Some(header) = peek_header(buffer)? else { return Ok(None) };
    if header.body_length > MAX_CLIENT_BODY {
        return Err(FrameError::TooLong);
    }
    Ok(take_message(buffer, &header))
}

/// Takes the next message of a database host, or returns `None` until it is complete.
///
/// A message that no database host would send is rejected as early as its first bytes show it, instead of
/// waiting for a rest that may never arrive.
pub(crate) fn read_server_message(buffer: &mut RingBuffer) -> Result<Option<Message>, FrameError> {
    let Some([kind]) = buffer.peek() else { return Ok(None) };
    let max_body_length = max_server_body(kind).ok_or(FrameError::Malformed)?;
    let Some(header) = peek_header(buffer)? else { return Ok(None) };
    if header.body_length > max_body_length {
        return Err(FrameError::TooLong);
    }
    if kind == DATA_ROW {
        check_row_start(buffer, &header)?;
    }
    let Some(message) = take_message(buffer, &header) else { return Ok(None) };
    if !is_well_formed(&message) {
        return Err(FrameError::Malformed);
    }
    Ok(Some(message))
}

/// Returns the longest body of a database host's message, or `None` for a kind that it does not send.
fn max_server_body(kind: u8) -> Option<usize> {
    match kind {
        DATA_ROW => Some(COLUMN_VALUE_OFFSET + MAX_VALUE),
        ERROR_RESPONSE | NOTICE_RESPONSE | PARAMETER_STATUS => Some(MAX_TEXT_BODY),
        ROW_DESCRIPTION | COMMAND_COMPLETE => Some(MAX_NAME_BODY),
        AUTHENTICATION | BACKEND_KEY_DATA => Some(MAX_STARTUP_BODY),
        READY_FOR_QUERY => Some(READY_FOR_QUERY_BODY),
        _ => None,
    }
}

/// Checks the start of a row once it has been received, before its value.
fn check_row_start(buffer: &RingBuffer, header: &MessageHeader) -> Result<(), FrameError> {
    match buffer.peek::<{ HEADER_SIZE + COLUMN_VALUE_OFFSET }>() {
        Some(start) => check_column_length(&start[HEADER_SIZE..], header.body_length),
        None => Ok(()),
    }
}

/// Returns the header of the next message, or `None` until it is complete.
fn peek_header(buffer: &RingBuffer) -> Result<Option<MessageHeader>, FrameError> {
    let Some([kind, length @ ..]) = buffer.peek::<HEADER_SIZE>() else { return Ok(None) };
    let length = u32::from_be_bytes(length) as usize;
    let body_length = length.checked_sub(LENGTH_SIZE).ok_or(FrameError::Malformed)?;
    Ok(Some(MessageHeader { kind, body_length }))
}

/// Takes the message with this header, or returns `None` until it is complete.
fn take_message(buffer: &mut RingBuffer, header: &MessageHeader) -> Option<Message> {
    if buffer.len() < HEADER_SIZE + header.body_length {
        return None;
    }
    buffer.skip(HEADER_SIZE);
    let body = buffer.take(header.body_length);
    Some(Message { kind: header.kind, body })
}

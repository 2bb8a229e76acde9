//! The start of a session: the packets that clients send first, and the answer to them.

use super::backend_messages::{ready_for_query, write_parameter_status, ParameterStatus};
use super::framing::FrameError;
use super::message::{write_message, write_with_length};
use super::message_kind::BackendMessageKind;
use super::strings::{push_string, TERMINATOR};
use crate::net::buffer::RingBuffer;
use crate::net::CancelKey;

/// The words of a startup packet (bytes). They are its length, its request code and those of a cancel key.
const WORD_SIZE: usize = 4;
/// The places of the words in a packet, counted in words.
const REQUEST_CODE: usize = 1;
const CANCEL_PROCESS_ID: usize = 2;
const CANCEL_SECRET: usize = 3;

/// The longest startup packet (bytes): it holds a few names.
const MAX_STARTUP_PACKET: usize = 10_000;
/// The length and the request code (bytes).
const MIN_STARTUP_PACKET: usize = 2 * WORD_SIZE;
/// The length, the request code and the two words of the key (bytes).
const CANCEL_PACKET: usize = 4 * WORD_SIZE;

/// A protocol version has its major number in the upper half and its minor number in the lower half.
const MINOR_VERSION_BITS: u32 = 16;
const MAJOR_VERSION: u32 = 3;
const PROTOCOL_VERSION: u32 = MAJOR_VERSION << MINOR_VERSION_BITS;

/// The request codes of packets that start no session.
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST: u32 = 80_877_104;

/// The answer to a client that requests encryption, which has no kind and no length.
pub(crate) const ENCRYPTION_NOT_SUPPORTED: &[u8] = b"N";
/// The body of an Authentication message that asks for nothing more.
pub(crate) const AUTHENTICATION_OK: [u8; 4] = [0; 4];
/// The parameters that a client receives when its session starts.
const SESSION_PARAMETERS: [ParameterStatus; 6] = [
    ParameterStatus { name: "server_version", value: "15.0" },
    ParameterStatus { name: "server_encoding", value: "UTF8" },
    ParameterStatus { name: "client_encoding", value: "UTF8" },
    ParameterStatus { name: "DateStyle", value: "ISO, MDY" },
    ParameterStatus { name: "integer_datetimes", value: "on" },
    ParameterStatus { name: "standard_conforming_strings", value: "on" },
];

/// The request in the first packet of a client.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StartupRequest {
    /// Starts a session. The user, the database and the options are ignored, and no password is asked for.
    Session,
    /// Requests an encrypted connection.
    Encryption,
    /// Cancels the query of the client that received this key.
    Cancel(CancelKey),
    /// Starts a session of a protocol version that is not supported.
    UnsupportedVersion,
}

/// Takes the first packet of a client, which has no kind, or returns `None` until it is complete.
///
/// Fails if its length is impossible for its request.
pub(crate) fn read_startup(buffer: &mut RingBuffer) -> Result<Option<StartupRequest>, FrameError> {
    let Some(length) = buffer.peek().map(u32::from_be_bytes) else { return Ok(None) };
    let length = length as usize;
    if length < MIN_STARTUP_PACKET {
        return Err(FrameError::Malformed);
    }
    if length > MAX_STARTUP_PACKET {
        return Err(FrameError::TooLong);
    }
    if buffer.len() < length {
        return Ok(None);
    }
    parse_startup(&buffer.take(length)).map(Some)
}

/// Parses a complete packet, with its length.
fn parse_startup(packet: &[u8]) -> Result<StartupRequest, FrameError> {
    match word(packet, REQUEST_CODE).unwrap_or_default() {
        SSL_REQUEST | GSS_ENCRYPTION_REQUEST => Ok(StartupRequest::Encryption),
        CANCEL_REQUEST => parse_cancel_key(packet).map(StartupRequest::Cancel).ok_or(FrameError::Malformed),
        version if version >> MINOR_VERSION_BITS == MAJOR_VERSION => Ok(StartupRequest::Session),
        _ => Ok(StartupRequest::UnsupportedVersion),
    }
}

fn parse_cancel_key(packet: &[u8]) -> Option<CancelKey> {
    if packet.len() != CANCEL_PACKET {
        return None;
    }
    Some(CancelKey { process_id: word(packet, CANCEL_PROCESS_ID)?, secret: word(packet, CANCEL_SECRET)? })
}

/// Returns the word at `index`, counted in words.
fn word(packet: &[u8], index: usize) -> Option<u32> {
    let bytes = packet.get(WORD_SIZE * index..)?.first_chunk()?;
    Some(u32::from_be_bytes(*bytes))
}

/// Returns the packet that starts a session with an endpoint.
pub(crate) fn startup_message(user: &str, database: &str) -> Vec<u8> {
    let mut out = Vec::new();
    write_with_length(&mut out, |out| {
        out.extend(PROTOCOL_VERSION.to_be_bytes());
        for name_or_value in ["user", user, "database", database] {
            push_string(out, name_or_value);
        }
        out.push(TERMINATOR);
    });
    out
}

/// Returns the answer to a client's startup packet, up to and with ReadyForQuery.
pub(crate) fn startup_response(cancel_key: CancelKey) -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, BackendMessageKind::Authentication, |out| out.extend(AUTHENTICATION_OK));
    for parameter in SESSION_PARAMETERS {
        write_parameter_status(&mut out, &parameter);
    }
    write_message(&mut out, BackendMessageKind::BackendKeyData, |out| {
        out.extend(cancel_key.process_id.to_be_bytes());
        out.extend(cancel_key.secret.to_be_bytes());
    });
    out.extend(ready_for_query());
    out
}

//! Session startup: the packets that clients send first, and the responses to them.

use super::backend_messages::{ready_for_query, write_parameter_status, ParameterStatus};
use super::framing::ProtocolError;
use super::message::{write_message, write_with_length};
use super::message_kind::BackendMessageKind;
use super::strings::{push_string, TERMINATOR};
use crate::net::buffer::RingBuffer;
use crate::net::CancelKey;

/// Size of an integer field in a startup packet (bytes). These fields are the length, the request code and,
/// in a cancel request, the two parts of the cancel key.
const FIELD_SIZE: usize = 4;
/// The indices of the integer fields that follow the length.
const REQUEST_CODE: usize = 1;
const CANCEL_PROCESS_ID: usize = 2;
const CANCEL_SECRET: usize = 3;

/// Maximum length of a startup packet (bytes). It needs to hold only a few names.
const MAX_STARTUP_PACKET: usize = 10_000;
/// Minimum length of a startup packet (bytes): the length and the request code.
const MIN_STARTUP_PACKET: usize = 2 * FIELD_SIZE;
/// Length of a cancel request (bytes): the length, the request code and the two parts of the cancel key.
const CANCEL_PACKET_LENGTH: usize = 4 * FIELD_SIZE;

/// A protocol version holds the major version in the upper 16 bits and the minor version in the lower 16.
const MINOR_VERSION_BITS: u32 = 16;
const MAJOR_VERSION: u32 = 3;
const PROTOCOL_VERSION: u32 = MAJOR_VERSION << MINOR_VERSION_BITS;

/// Request codes of packets that do not start a session.
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST: u32 = 80_877_104;

/// The response to an encryption request: a single byte without a message header.
pub(crate) const ENCRYPTION_NOT_SUPPORTED: &[u8] = b"N";
/// The body of an Authentication message that requires no authentication.
pub(crate) const AUTHENTICATION_OK: [u8; 4] = [0; 4];
/// The run-time parameters that a client receives when its session starts.
const SESSION_PARAMETERS: [ParameterStatus; 6] = [
    ParameterStatus { name: "server_version", value: "15.0" },
    ParameterStatus { name: "server_encoding", value: "UTF8" },
    ParameterStatus { name: "client_encoding", value: "UTF8" },
    ParameterStatus { name: "DateStyle", value: "ISO, MDY" },
    ParameterStatus { name: "integer_datetimes", value: "on" },
    ParameterStatus { name: "standard_conforming_strings", value: "on" },
];

/// The request in a client's startup packet.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StartupRequest {
    /// Starts a session. The user, the database and the options are ignored, and no password is requested.
    Session,
    /// Requests an encrypted connection.
    Encryption,
    /// Cancels the query of the client that was given this cancel key.
    Cancel(CancelKey),
    /// Starts a session with an unsupported protocol version.
    UnsupportedVersion,
}

/// Consumes the startup packet of a client, which has no kind byte, or returns `None` if it is incomplete.
///
/// Fails if its length is out of range or does not match the request.
pub(crate) fn read_startup(buffer: &mut RingBuffer) -> Result<Option<StartupRequest>, ProtocolError> {
    let Some(length) = buffer.peek().map(u32::from_be_bytes) else { return Ok(None) };
    let length = length as usize;
    if length < MIN_STARTUP_PACKET {
        return Err(ProtocolError::Malformed);
    }
    if length > MAX_STARTUP_PACKET {
        return Err(ProtocolError::TooLong);
    }
    if buffer.len() < length {
        return Ok(None);
    }
    parse_startup(&buffer.take(length)).map(Some)
}

/// Parses a complete packet, including its length field.
fn parse_startup(packet: &[u8]) -> Result<StartupRequest, ProtocolError> {
    match integer_field(packet, REQUEST_CODE).unwrap_or_default() {
        SSL_REQUEST | GSS_ENCRYPTION_REQUEST => Ok(StartupRequest::Encryption),
        CANCEL_REQUEST => {
            parse_cancel_key(packet).map(StartupRequest::Cancel).ok_or(ProtocolError::Malformed)
        }
        version if version >> MINOR_VERSION_BITS == MAJOR_VERSION => Ok(StartupRequest::Session),
        _ => Ok(StartupRequest::UnsupportedVersion),
    }
}

fn parse_cancel_key(packet: &[u8]) -> Option<CancelKey> {
    if packet.len() != CANCEL_PACKET_LENGTH {
        return None;
    }
    Some(CancelKey {
        process_id: integer_field(packet, CANCEL_PROCESS_ID)?,
        secret: integer_field(packet, CANCEL_SECRET)?,
    })
}

/// Returns the integer field at `index`.
fn integer_field(packet: &[u8], index: usize) -> Option<u32> {
    let bytes = packet.get(FIELD_SIZE * index..)?.first_chunk()?;
    Some(u32::from_be_bytes(*bytes))
}

/// Returns the startup packet for a session with an endpoint.
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

/// Returns the response to a client's startup packet, up to and including ReadyForQuery.
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

//! ErrorResponse messages. The body is a list of fields, each a type byte and a string.

use super::message::write_message;
use super::message_kind::BackendMessageKind;
use super::strings::{push_string, TERMINATOR};

/// The field types. The severity occurs twice, because an endpoint may localize the first one.
const SEVERITY: u8 = b'S';
const SEVERITY_NONLOCALIZED: u8 = b'V';
const SQLSTATE: u8 = b'C';
const MESSAGE: u8 = b'M';
const DETAIL: u8 = b'D';

/// Severities of errors that end the session.
const FATAL: &str = "FATAL";
const PANIC: &str = "PANIC";
/// The severity of an error after which the session continues.
const ERROR: &str = "ERROR";

/// Whether the session continues after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Severity {
    /// The session continues.
    Error,
    /// The session ends.
    Fatal,
}

impl Severity {
    fn name(self) -> &'static str {
        match self {
            Severity::Error => ERROR,
            Severity::Fatal => FATAL,
        }
    }
}

/// The fields of an endpoint's ErrorResponse that the pooler uses.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ErrorResponse {
    /// The SQLSTATE code, see [`sqlstate`](super::sqlstate); empty if the response has none.
    pub sqlstate: String,
    /// Whether the session continues.
    pub severity: Severity,
}

/// Returns an ErrorResponse for a client.
pub(crate) fn error_response(
    severity: Severity,
    sqlstate: &str,
    message: &str,
    detail: Option<&str>,
) -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, BackendMessageKind::ErrorResponse, |out| {
        push_field(out, SEVERITY, severity.name());
        push_field(out, SEVERITY_NONLOCALIZED, severity.name());
        push_field(out, SQLSTATE, sqlstate);
        push_field(out, MESSAGE, message);
        if let Some(detail) = detail {
            push_field(out, DETAIL, detail);
        }
        out.push(TERMINATOR);
    });
    out
}

fn push_field(out: &mut Vec<u8>, field_type: u8, value: &str) {
    out.push(field_type);
    push_string(out, value);
}

/// Parses the body of an ErrorResponse. If it has several codes, the last one is used.
pub(crate) fn parse_error_response(body: &[u8]) -> ErrorResponse {
    let mut sqlstate = String::new();
    let mut severity = Severity::Error;
    for field in body.split(|byte| *byte == TERMINATOR) {
        let Some((field_type, value)) = field.split_first() else { continue };
        match *field_type {
            SQLSTATE => sqlstate = String::from_utf8_lossy(value).into_owned(),
            SEVERITY | SEVERITY_NONLOCALIZED if ends_session(value) => severity = Severity::Fatal,
            _ => {}
        }
    }
    ErrorResponse { sqlstate, severity }
}

fn ends_session(severity: &[u8]) -> bool {
    severity == FATAL.as_bytes() || severity == PANIC.as_bytes()
}

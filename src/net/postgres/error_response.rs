//! ErrorResponse messages. Their body is a list of fields, each a kind (one byte) and a string.

use super::message::write_message;
use super::message_kind::BackendMessageKind;
use super::strings::push_string;

/// The severity, which a server may translate.
const SEVERITY: u8 = b'S';
/// The severity, never translated.
const SEVERITY_UNTRANSLATED: u8 = b'V';
const SQLSTATE: u8 = b'C';
const MESSAGE: u8 = b'M';
const DETAIL: u8 = b'D';

/// Returns an ErrorResponse.
pub(crate) fn error_response(severity: &str, code: &str, message: &str, detail: Option<&str>) -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, BackendMessageKind::ErrorResponse, |out| {
        push_field(out, SEVERITY, severity);
        push_field(out, SEVERITY_UNTRANSLATED, severity);
        push_field(out, SQLSTATE, code);
        push_field(out, MESSAGE, message);
        if let Some(detail) = detail {
            push_field(out, DETAIL, detail);
        }
        out.push(0);
    });
    out
}

fn push_field(out: &mut Vec<u8>, kind: u8, value: &str) {
    out.push(kind);
    push_string(out, value);
}

/// Returns the SQLSTATE code of an ErrorResponse, and whether its severity ends the session.
pub(crate) fn parse_error_response(body: &[u8]) -> (String, bool) {
    let mut code = String::new();
    let mut fatal = false;
    for field in body.split(|byte| *byte == 0) {
        let Some((kind, value)) = field.split_first() else { continue };
        match *kind {
            SQLSTATE => code = String::from_utf8_lossy(value).into_owned(),
            SEVERITY | SEVERITY_UNTRANSLATED => fatal |= matches!(value, b"FATAL" | b"PANIC"),
            _ => {}
        }
    }
    (code, fatal)
}

//! Messages that PostgreSQL servers send. The pooler receives them from endpoints and sends them to clients.
//! A result set has exactly one row with one column.

use super::message::{write_message, BackendMessage};
use super::message_kind::BackendMessageKind;
use super::strings::{parse_string, push_string};

/// Maximum length of the value in a DataRow from an endpoint (bytes).
pub(super) const MAX_VALUE: usize = 64 * 1024;
/// Maximum body length of a message from an endpoint that holds one column name or command tag (bytes).
const MAX_NAME_BODY: usize = 1024;
/// Maximum body length of a message from an endpoint that holds other text, such as an error (bytes).
pub(super) const MAX_TEXT_BODY: usize = 8 * 1024;
/// Maximum body length of an authentication request or a cancel key from an endpoint (bytes).
const MAX_STARTUP_BODY: usize = 256;

/// The transaction status that ReadyForQuery reports outside of a transaction block.
const TRANSACTION_STATUS_IDLE: u8 = b'I';
/// The body of a ReadyForQuery outside of a transaction block.
const READY_FOR_QUERY_BODY: [u8; 1] = [TRANSACTION_STATUS_IDLE];

/// The offset of the value in the body of a DataRow, after the column count (two bytes) and the value length
/// (four bytes).
pub(super) const COLUMN_VALUE_OFFSET: usize = 6;
/// The column count of one that a RowDescription and a DataRow start with.
const ONE_COLUMN: [u8; 2] = [0, 1];
/// The size of the column attributes that follow a column name in a RowDescription (bytes): table OID, column
/// number, type OID, type size, type modifier and format code.
const COLUMN_ATTRIBUTES_SIZE: usize = 18;

/// Returns the maximum body length accepted from an endpoint (bytes), or `None` if endpoints do not send this
/// kind of message.
pub(super) fn max_body_length(kind: BackendMessageKind) -> Option<usize> {
    match kind {
        BackendMessageKind::DataRow => Some(COLUMN_VALUE_OFFSET + MAX_VALUE),
        BackendMessageKind::ErrorResponse
        | BackendMessageKind::NoticeResponse
        | BackendMessageKind::ParameterStatus => Some(MAX_TEXT_BODY),
        BackendMessageKind::RowDescription | BackendMessageKind::CommandComplete => Some(MAX_NAME_BODY),
        BackendMessageKind::Authentication | BackendMessageKind::BackendKeyData => Some(MAX_STARTUP_BODY),
        BackendMessageKind::ReadyForQuery => Some(READY_FOR_QUERY_BODY.len()),
        BackendMessageKind::EmptyQueryResponse => Some(0),
    }
}

/// Returns `true` if the body of a message from an endpoint is valid for its kind.
pub(super) fn is_well_formed(message: &BackendMessage) -> bool {
    let body = &message.body;
    match message.kind {
        BackendMessageKind::RowDescription => describes_one_column(body),
        BackendMessageKind::DataRow => single_column_value(body).is_some(),
        BackendMessageKind::CommandComplete => parse_string(body).is_some_and(is_printable_ascii),
        BackendMessageKind::ParameterStatus => parse_parameter_status(body).is_some(),
        BackendMessageKind::ReadyForQuery => *body == READY_FOR_QUERY_BODY,
        _ => true,
    }
}

/// Returns `true` if a DataRow has one column that fills the entire body. `start` needs to hold only the
/// bytes that precede the value; `body_length` is in bytes.
pub(super) fn has_one_column(start: &[u8], body_length: usize) -> bool {
    let Some((columns, rest)) = start.split_first_chunk() else { return false };
    let Some(length) = rest.first_chunk() else { return false };
    let length = u32::from_be_bytes(*length) as usize;
    *columns == ONE_COLUMN && COLUMN_VALUE_OFFSET + length == body_length
}

/// Returns the value of a DataRow with exactly one column, or `None` for any other body.
pub(crate) fn single_column_value(body: &[u8]) -> Option<&[u8]> {
    if !has_one_column(body, body.len()) {
        return None;
    }
    body.get(COLUMN_VALUE_OFFSET..)
}

/// Returns `true` if a RowDescription describes exactly one column.
fn describes_one_column(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&ONE_COLUMN) else { return false };
    let Some(name_length) = column.len().checked_sub(COLUMN_ATTRIBUTES_SIZE) else { return false };
    parse_string(&column[..name_length]).is_some()
}

fn is_printable_ascii(text: &str) -> bool {
    text.bytes().all(|byte| (b' '..=b'~').contains(&byte))
}

/// A run-time parameter of a session and its value.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ParameterStatus<'a> {
    /// The parameter name.
    pub name: &'a str,
    /// The current value.
    pub value: &'a str,
}

/// Parses the body of a ParameterStatus, or returns `None` if it is malformed.
pub(crate) fn parse_parameter_status(body: &[u8]) -> Option<ParameterStatus<'_>> {
    let text = std::str::from_utf8(body).ok()?;
    let (name, value) = text.strip_suffix('\0')?.split_once('\0')?;
    (!value.contains('\0')).then_some(ParameterStatus { name, value })
}

/// Appends a ParameterStatus.
pub(super) fn write_parameter_status(out: &mut Vec<u8>, parameter: &ParameterStatus) {
    write_message(out, BackendMessageKind::ParameterStatus, |out| {
        push_string(out, parameter.name);
        push_string(out, parameter.value);
    });
}

/// Returns a ReadyForQuery that reports no open transaction.
pub(crate) fn ready_for_query() -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, BackendMessageKind::ReadyForQuery, |out| out.extend(READY_FOR_QUERY_BODY));
    out
}

/// Returns the EmptyQueryResponse that a query without a statement receives.
pub(crate) fn empty_query_response() -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, BackendMessageKind::EmptyQueryResponse, |_| {});
    out
}

//! Parsing of the bodies that database hosts send. A result has one row with one column.

use super::framing::{FrameError, Message};
use super::message_kind::server::*;
use super::messages::NO_TRANSACTION;
use super::strings::parse_string;

/// The number of columns (two bytes) and the length of the value (four bytes) come before the value in a row.
pub(super) const COLUMN_VALUE_OFFSET: usize = 6;
const ONE_COLUMN: [u8; 2] = [0, 1];
/// The numbers after the name of a column in its description: of the table, the column, the type and its
/// format.
const COLUMN_NUMBERS_SIZE: usize = 18;

/// Returns whether the body of a database host's message has the form that its kind requires.
pub(super) fn is_well_formed(message: &Message) -> bool {
    let body = &message.body;
    match message.kind {
        ROW_DESCRIPTION => describes_one_column(body),
        DATA_ROW => single_column(body).is_some(),
        COMMAND_COMPLETE => parse_string(body).is_some_and(is_printable_ascii),
        PARAMETER_STATUS => parse_parameter_status(body).is_some(),
        READY_FOR_QUERY => *body == [NO_TRANSACTION],
        _ => true,
    }
}

/// Returns the name and the value of a ParameterStatus.
pub(crate) fn parse_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let text = std::str::from_utf8(body).ok()?;
    let (name, value) = text.strip_suffix('\0')?.split_once('\0')?;
    (!value.contains('\0')).then_some((name, value))
}

/// Returns the value of a DataRow with one column.
pub(crate) fn single_column(body: &[u8]) -> Option<&[u8]> {
    check_column_length(body, body.len()).ok()?;
    body.get(COLUMN_VALUE_OFFSET..)
}

/// Checks that a DataRow has one column that fills the whole body. `start` needs to hold only what precedes
/// the value.
pub(super) fn check_column_length(start: &[u8], body_length: usize) -> Result<(), FrameError> {
    let Some((columns, rest)) = start.split_first_chunk() else { return Err(FrameError::Malformed) };
    let Some(length) = rest.first_chunk() else { return Err(FrameError::Malformed) };
    let length = u32::from_be_bytes(*length) as usize;
    if *columns != ONE_COLUMN || COLUMN_VALUE_OFFSET + length != body_length {
        return Err(FrameError::Malformed);
    }
    Ok(())
}

/// Returns whether a RowDescription describes exactly one column.
fn describes_one_column(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&ONE_COLUMN) else { return false };
    let Some(name_length) = column.len().checked_sub(COLUMN_NUMBERS_SIZE) else { return false };
    parse_string(&column[..name_length]).is_some()
}

fn is_printable_ascii(text: &str) -> bool {
    text.bytes().all(|byte| (b' '..=b'~').contains(&byte))
}

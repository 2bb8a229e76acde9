//! The load report that an endpoint sends: names and numbers such as `x0=1767225600.123,x1=1`.
//!
//! The other modules of the library take the names of its fields from this one.

use crate::interface::{LoadReport, Role};
use crate::time::LogPosition;

/// The field that holds the applied log position (Unix seconds).
pub(crate) const LOG_POSITION_FIELD: &str = "x0";
/// The field that holds the role: [`PRIMARY`], or another number for a replica.
pub(crate) const PRIMARY_FIELD: &str = "x1";

/// The value of [`PRIMARY_FIELD`] that stands for the primary.
const PRIMARY: f64 = 1.0;

/// Parses a load report. Unknown fields are ignored.
///
/// Returns `None` where any field cannot be read: the others may be wrong too.
pub(crate) fn parse(text: &[u8]) -> Option<LoadReport> {
    let text = std::str::from_utf8(text).ok()?;
    let mut report = LoadReport::default();
    for field in text.split(',') {
        let (name, value) = parse_field(field)?;
        match name {
            LOG_POSITION_FIELD => report.log_position = Some(LogPosition::from_secs(value)),
            PRIMARY_FIELD => report.role = Some(Role::primary_if(value == PRIMARY)),
            _ => {}
        }
    }
    Some(report)
}

/// Splits a field into its name and its value, which must be a finite number.
fn parse_field(field: &str) -> Option<(&str, f64)> {
    let (name, value) = field.split_once('=')?;
    let value: f64 = value.trim().parse().ok()?;
    value.is_finite().then_some((name.trim(), value))
}

#[cfg(test)]
mod tests;

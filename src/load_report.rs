//! The format of the load reports that endpoints send: fields with a name and a number, such as
//! `x0=1767225600.123,x1=1`.
//!
//! The other modules of the library refer to the fields by the constants of this one.

use crate::interface::{LoadReport, Role};
use crate::time::LogPosition;

/// The field with the applied log position, in Unix seconds.
pub(crate) const LOG_POSITION_FIELD: &str = "x0";
/// The field with the role: [`PRIMARY_ROLE`], or another number for a replica.
pub(crate) const ROLE_FIELD: &str = "x1";

/// The value of [`ROLE_FIELD`] for a primary.
const PRIMARY_ROLE: f64 = 1.0;

/// Parses a load report. Unknown fields are ignored.
///
/// Returns `None` if any field is invalid, because the others may be damaged too.
pub(crate) fn parse(text: &[u8]) -> Option<LoadReport> {
    let text = std::str::from_utf8(text).ok()?;
    let mut report = LoadReport::default();
    for field in text.split(',') {
        let (name, value) = parse_field(field)?;
        match name {
            LOG_POSITION_FIELD => report.log_position = Some(LogPosition::from_secs(value)),
            ROLE_FIELD => report.role = Some(Role::primary_if(value == PRIMARY_ROLE)),
            _ => {}
        }
    }
    Some(report)
}

/// Splits a field into its name and its value. Returns `None` if the value is missing or not a finite number.
fn parse_field(field: &str) -> Option<(&str, f64)> {
    let (name, value) = field.split_once('=')?;
    let value: f64 = value.trim().parse().ok()?;
    value.is_finite().then_some((name.trim(), value))
}

#[cfg(test)]
mod tests;

//! The load report of a database host: names and values such as `x0=1767225600.123,x1=1`.

use crate::interface::{LoadReport, Role};
use crate::time::LogPosition;

/// The field that holds the applied log position (Unix seconds).
pub(crate) const LOG_POSITION_FIELD: &str = "x0";
/// The field that is 1 where the host is the primary.
pub(crate) const PRIMARY_FIELD: &str = "x1";

/// Parses a load report. One that cannot be read as a whole tells nothing: what is legible in it may be wrong
/// too.
pub(crate) fn parse(text: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in std::str::from_utf8(text).ok()?.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite())?;
        match name.trim() {
            LOG_POSITION_FIELD => report.log_position = Some(LogPosition::from_secs(value)),
            PRIMARY_FIELD => report.role = Some(Role::primary_if(value == 1.0)),
            _ => {}
        }
    }
    Some(report)
}

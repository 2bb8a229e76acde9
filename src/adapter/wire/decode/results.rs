//! Decoding of the results of attempts and health checks, and of the load reports in them.

use pg_pooler::interface::{AttemptResult, Event, LoadReport, Outcome, Role};
use pg_pooler::time::{LogPosition, Span};
use serde_json::Value;

use super::instance_messages::decode_request_id;
use super::MILLIS_PER_SECOND;
use crate::wire::fields::{Field, Fields};
use crate::wire::{layout, names, BaseTime, WireError};

/// One number holds a role in the low bits and a log position in the bits above them.
const ROLE_MASK: i64 = 3;
const ROLE_BITS: u32 = 2;

/// Decodes the result of an attempt. Fails if a field has the wrong type or the outcome is unknown.
pub fn decode_attempt_result(fields: Fields, base_time: BaseTime) -> Result<AttemptResult, WireError> {
    let position_and_role = fields.integer_or_zero(layout::attempt_result::POSITION_AND_ROLE)?;
    Ok(AttemptResult {
        id: decode_request_id(fields)?,
        endpoint: fields.string(layout::attempt_result::ENDPOINT)?.into(),
        request_finished: fields.flag(layout::attempt_result::REQUEST_FINISHED),
        elapsed: Span::from_secs(fields.number_or_zero(layout::attempt_result::ELAPSED)?),
        attempt: fields.integer_or_zero(layout::attempt_result::ATTEMPT)? as usize,
        outcome: decode_outcome(fields, layout::attempt_result::OUTCOME)?,
        log_position: decode_log_position(position_and_role, base_time),
        role: names::role(position_and_role & ROLE_MASK),
        report: decode_load_report(fields.value(layout::attempt_result::LOAD_REPORT), base_time),
    })
}

/// Decodes the log position in a response, or returns `None` if the response has none.
fn decode_log_position(position_and_role: i64, base_time: BaseTime) -> Option<LogPosition> {
    let millis = position_and_role >> ROLE_BITS;
    (millis > 0).then(|| base_time.log_position(millis as f64 / MILLIS_PER_SECOND))
}

/// Decodes the result of a health check. Fails if a field has the wrong type or the outcome is unknown.
pub fn decode_health_check(fields: Fields, base_time: BaseTime) -> Result<Event, WireError> {
    Ok(Event::HealthCheckFinished {
        endpoint: fields.string(layout::health_check::ENDPOINT)?.into(),
        outcome: decode_outcome(fields, layout::health_check::OUTCOME)?,
        report: decode_load_report(fields.value(layout::health_check::LOAD_REPORT), base_time),
    })
}

/// Decodes a load report. A report that is absent or has the wrong type decodes as empty.
fn decode_load_report(report: &Value, base_time: BaseTime) -> LoadReport {
    let log_position = report[names::load_report::LOG_POSITION].as_f64();
    let primary_flag = report[names::load_report::IS_PRIMARY].as_f64();
    LoadReport {
        log_position: log_position.map(|offset| base_time.log_position(offset)),
        role: primary_flag.map(|flag| Role::primary_if(names::is_set(flag))),
    }
}

fn decode_outcome(fields: Fields, field: Field) -> Result<Outcome, WireError> {
    let code = fields.integer_or_zero(field)?;
    names::outcome(code).ok_or(WireError::UnknownOutcome(code))
}

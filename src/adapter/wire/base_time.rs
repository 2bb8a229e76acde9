//! The base time of a policy instance.

use pg_pooler::time::LogPosition;
use serde_json::Value;

use super::names;

/// The time that log positions in messages to an instance are relative to (Unix seconds).
#[derive(Clone, Copy, Debug, Default)]
pub struct BaseTime(f64);

impl BaseTime {
    /// Returns the base time in the settings of an instance, or 0 if there is none.
    pub fn from_settings(settings: &Value) -> BaseTime {
        let base_time = settings.pointer(names::BASE_TIME_POINTER).and_then(Value::as_f64);
        BaseTime(base_time.unwrap_or(0.0))
    }

    /// Converts an offset on the wire (seconds) to a log position.
    pub fn log_position(self, offset: f64) -> LogPosition {
        LogPosition::from_secs(self.0 + offset)
    }
}

//! The base time of an instance.

use pg_pooler::time::LogPosition;
use serde_json::Value;

use super::names;

/// The time to which the log positions in the messages to an instance are relative (Unix seconds).
#[derive(Clone, Copy, Debug, Default)]
pub struct BaseTime(f64);

impl BaseTime {
    /// The base time that the settings of an instance name, or 0.
    pub fn from_settings(settings: &Value) -> BaseTime {
        let base_time = settings.pointer(names::BASE_TIME_POINTER).and_then(Value::as_f64);
        BaseTime(base_time.unwrap_or(0.0))
    }

    /// The log position that the wire gives as an offset (seconds).
    pub fn log_position(self, offset: f64) -> LogPosition {
        LogPosition::from_secs(self.0 + offset)
    }
}

//! Limits how often a recurring condition is logged.

use std::time::{Duration, Instant};

/// Time without an occurrence after which the condition is logged again.
const QUIET_PERIOD: Duration = Duration::from_secs(10);

/// Permits one log line for a recurring condition, and the next only after the condition has not occurred for
/// [`QUIET_PERIOD`].
#[derive(Default)]
pub(super) struct LogLimiter {
    /// `None` before the first occurrence.
    suppressed_until: Option<Instant>,
}

impl LogLimiter {
    /// Records an occurrence at `now`. Returns `true` if it is to be logged.
    pub(super) fn should_log(&mut self, now: Instant) -> bool {
        let should_log = self.suppressed_until.is_none_or(|suppressed_until| now >= suppressed_until);
        self.suppressed_until = Some(now + QUIET_PERIOD);
        should_log
    }
}

#[cfg(test)]
mod tests;

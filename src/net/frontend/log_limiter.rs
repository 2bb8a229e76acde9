//! Limits how often a recurring condition is logged.

use std::time::{Duration, Instant};

/// Time without an occurrence after which the condition is logged again.
const QUIET_TIME: Duration = Duration::from_secs(10);

/// Permits one log line for a condition that comes and goes, until it has not occurred for [`QUIET_TIME`].
#[derive(Default)]
pub(super) struct LogLimiter {
    /// None before the first occurrence.
    muted_until: Option<Instant>,
}

impl LogLimiter {
    /// Records an occurrence at `now` and returns whether to log it.
    pub(super) fn permits(&mut self, now: Instant) -> bool {
        let permitted = self.muted_until.is_none_or(|muted_until| now >= muted_until);
        self.muted_until = Some(now + QUIET_TIME);
        permitted
    }
}

#[cfg(test)]
mod tests;

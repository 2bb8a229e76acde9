//! Limits how often a recurring condition is logged.

/// Time without an occurrence after which the condition is logged again (seconds).
const LOG_INTERVAL: f64 = 10.0;

/// Permits one log line for a condition that comes and goes, until it has stayed away for [`LOG_INTERVAL`].
#[derive(Default)]
pub(super) struct LogLimiter {
    muted_until: f64,
}

impl LogLimiter {
    /// Records an occurrence at `now` and returns whether to log it.
    pub(super) fn permits(&mut self, now: f64) -> bool {
        let permitted = now >= self.muted_until;
        self.muted_until = now + LOG_INTERVAL;
        permitted
    }
}

#[cfg(test)]
mod tests;

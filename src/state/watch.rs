//! The watch of the endpoint list.

use crate::time::LocalInstant;

/// Whether the endpoint list is watched, and how often that failed.
#[derive(Default)]
pub(crate) struct Watch {
    pub is_open: bool,
    pub retry_at: LocalInstant,
    consecutive_failures: i32,
}

impl Watch {
    /// Notes a failure. Returns how many there were in a row, counted up to `max`.
    pub fn failed(&mut self, max: i32) -> i32 {
        self.is_open = false;
        self.consecutive_failures = (self.consecutive_failures + 1).min(max);
        self.consecutive_failures
    }

    /// Notes that an update was received. Returns whether there was a failure before.
    pub fn succeeded(&mut self) -> bool {
        self.is_open = true;
        std::mem::take(&mut self.consecutive_failures) > 0
    }
}

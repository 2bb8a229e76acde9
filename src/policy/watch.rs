//! The watch of the endpoint list: when it is called for, and the exponential backoff with jitter after
//! failures.

use fastrand::Rng;

use crate::policy::random::Jitter;
use crate::settings::Settings;
use crate::time::{LocalInstant, Span};

/// Longest mean backoff between calls: the list must be current 6 s after discovery is back.
const MAX_BACKOFF: Span = Span::from_secs(0.8);
/// Half of the first backoff, as a share of the longest watch gap: each failure doubles it.
const BACKOFF_UNIT_SHARE: f64 = 1.0 / 64.0;
/// A call without any answer is repeated after this time.
const CALL_TIMEOUT: Span = Span::from_secs(4.0);
/// Failures are counted up to this many: the backoff has its longest duration before.
const MAX_COUNTED_FAILURES: i32 = 8;

/// Whether an event has changed the condition of the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchChange {
    /// It is as before.
    Unchanged,
    /// It was lost, or restored.
    Changed,
}

/// The condition of the watch.
#[derive(Default)]
pub(crate) struct Watch {
    is_open: bool,
    retry_at: LocalInstant,
    consecutive_failures: i32,
}

impl Watch {
    /// Whether the watch is to be called for now. It is not called for again before the call may have timed
    /// out.
    pub(crate) fn call_if_due(&mut self, settings: &Settings, now: LocalInstant) -> bool {
        if !settings.watch_endpoints || self.is_open || now < self.retry_at {
            return false;
        }
        self.retry_at = now + CALL_TIMEOUT;
        true
    }

    /// Notes that a call failed or the watch broke. The current list stays in force.
    pub(crate) fn failed(&mut self, settings: &Settings, now: LocalInstant, rng: &mut Rng) -> WatchChange {
        self.is_open = false;
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_COUNTED_FAILURES);
        let doublings = f64::from(1 << self.consecutive_failures);
        let backoff = (settings.max_watch_gap * BACKOFF_UNIT_SHARE * doublings).min(MAX_BACKOFF);
        self.retry_at = now + Jitter::EARLY.apply(backoff, rng);
        if self.consecutive_failures == 1 {
            WatchChange::Changed
        } else {
            WatchChange::Unchanged
        }
    }

    /// Notes that an update was received.
    pub(crate) fn succeeded(&mut self) -> WatchChange {
        self.is_open = true;
        if std::mem::take(&mut self.consecutive_failures) > 0 {
            WatchChange::Changed
        } else {
            WatchChange::Unchanged
        }
    }
}

//! The watch of the endpoint list: when to start it, with exponential backoff and jitter after failures.

use fastrand::Rng;

use crate::policy::random::Jitter;
use crate::settings::Settings;
use crate::time::{LocalInstant, Span};

/// Longest mean backoff: the list must be current within 6 s after discovery has recovered.
const MAX_BACKOFF: Span = Span::from_secs(0.8);
/// Half of the first backoff, as a share of the longest watch gap. Each consecutive failure doubles the
/// backoff.
const BACKOFF_BASE_SHARE: f64 = 1.0 / 64.0;
/// An attempt to start the watch that gets no response is repeated after this time.
const START_TIMEOUT: Span = Span::from_secs(4.0);
/// Limit of the failure counter. The backoff reaches its longest duration before that.
const MAX_COUNTED_FAILURES: i32 = 8;

/// Whether an event has changed the state of the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchChange {
    Unchanged,
    /// The watch was lost or restored.
    Changed,
}

/// State of the watch.
#[derive(Default)]
pub(crate) struct Watch {
    is_open: bool,
    retry_at: LocalInstant,
    consecutive_failures: i32,
}

impl Watch {
    /// Returns `true` if the watch has to be started now. If so, it is next due after [`START_TIMEOUT`], or
    /// after the backoff if it fails earlier.
    pub(crate) fn start_if_due(&mut self, settings: &Settings, now: LocalInstant) -> bool {
        if !settings.watch_endpoints || self.is_open || now < self.retry_at {
            return false;
        }
        self.retry_at = now + START_TIMEOUT;
        true
    }

    /// Records that the watch could not be started or was interrupted. The current list stays in force.
    pub(crate) fn record_failure(
        &mut self,
        settings: &Settings,
        now: LocalInstant,
        rng: &mut Rng,
    ) -> WatchChange {
        self.is_open = false;
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_COUNTED_FAILURES);
        let doublings = f64::from(1 << self.consecutive_failures);
        let backoff = (settings.max_watch_gap * BACKOFF_BASE_SHARE * doublings).min(MAX_BACKOFF);
        self.retry_at = now + Jitter::EARLY.apply(backoff, rng);
        if self.consecutive_failures == 1 {
            WatchChange::Changed
        } else {
            WatchChange::Unchanged
        }
    }

    /// Records that an update was received.
    pub(crate) fn record_update(&mut self) -> WatchChange {
        self.is_open = true;
        if std::mem::take(&mut self.consecutive_failures) > 0 {
            WatchChange::Changed
        } else {
            WatchChange::Unchanged
        }
    }
}

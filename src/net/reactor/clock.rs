//! The clock of the event loop, and the time that the policy counts on.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest duration that is counted. Adding it to the present cannot overflow an [`Instant`].
const MAX_DURATION: Duration = Duration::from_secs(100 * 365 * 24 * 60 * 60);

/// Converts between the instants of the event loop and the policy's time.
///
/// The policy counts in seconds since the Unix epoch. The system clock is read at the start only and the time
/// is monotonic from then on, so that setting the system clock neither delays nor fires a timer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started: Instant,
    /// The system clock at `started` (Unix seconds).
    started_at: f64,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::new(Instant::now(), since_epoch.as_secs_f64())
    }

    /// Creates a clock that started at an instant when the system clock stood at `started_at` (Unix seconds).
    pub fn new(started: Instant, started_at: f64) -> Clock {
        Clock { started, started_at }
    }

    /// Returns the policy's time at an instant (Unix seconds). An instant before the start counts as the
    /// start.
    pub fn policy_time(&self, instant: Instant) -> f64 {
        self.started_at + instant.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Returns the instant of a policy's time (Unix seconds). A time before the start counts as the start,
    /// and one that is too late for an instant as a hundred years later.
    pub fn instant_of(&self, policy_time: f64) -> Instant {
        self.started + saturating_duration(policy_time - self.started_at)
    }
}

/// Returns a duration given in seconds. A negative number counts as 0. A number that is too large, infinite or
/// not a number counts as a hundred years.
pub(crate) fn saturating_duration(seconds: f64) -> Duration {
    if seconds < 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_DURATION).min(MAX_DURATION)
}

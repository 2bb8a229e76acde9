//! The clock of the event loop, and the time that the policy counts on.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::time::{LocalInstant, Span};

/// The longest duration that is counted. Adding it to the present cannot overflow an [`Instant`].
const MAX_DURATION: Duration = Duration::from_secs(100 * 365 * 24 * 60 * 60);

/// Converts between the instants of the event loop and the policy's time. The system clock is read at the
/// start only, so that setting it neither delays nor fires a timer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started_at: Instant,
    /// The system clock at `started_at`.
    system_time_at_start: LocalInstant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::new(Instant::now(), LocalInstant::from_secs(since_epoch.as_secs_f64()))
    }

    /// Creates a clock that started at an instant, with the time that the system clock showed then.
    pub fn new(started_at: Instant, system_time_at_start: LocalInstant) -> Clock {
        Clock { started_at, system_time_at_start }
    }

    /// Returns the policy's time at an instant. An instant before the start counts as the start.
    pub fn policy_time(&self, instant: Instant) -> LocalInstant {
        self.system_time_at_start + span_of(instant.saturating_duration_since(self.started_at))
    }

    /// Returns the instant of a policy's time. A time before the start counts as the start, and one that is
    /// too late for an instant as a hundred years later.
    pub fn instant_of(&self, policy_time: LocalInstant) -> Instant {
        self.started_at + duration_of(policy_time - self.system_time_at_start)
    }
}

/// Returns the policy's span for a duration.
pub(crate) fn span_of(duration: Duration) -> Span {
    Span::from_secs(duration.as_secs_f64())
}

/// Returns the duration of a policy's span. A negative span counts as zero. One that is too long, infinite or
/// not a number counts as a hundred years.
pub(crate) fn duration_of(span: Span) -> Duration {
    if span.as_secs() < 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(span.as_secs()).unwrap_or(MAX_DURATION).min(MAX_DURATION)
}

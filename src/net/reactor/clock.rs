//! Conversion between event loop instants and policy time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::time::{LocalInstant, Span};

/// Upper bound for durations. Adding it to the current time cannot overflow an [`Instant`].
const MAX_DURATION: Duration = Duration::from_secs(100 * 365 * 24 * 60 * 60);

/// Converts between event loop instants and policy time. The system clock is read only at startup, so that
/// adjusting it neither delays nor triggers timers.
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

    /// Creates a clock that started at `started_at`, when the system clock read `system_time_at_start`.
    pub fn new(started_at: Instant, system_time_at_start: LocalInstant) -> Clock {
        Clock { started_at, system_time_at_start }
    }

    /// Converts an instant to policy time. Instants before the start are clamped to the start.
    pub fn policy_time(&self, instant: Instant) -> LocalInstant {
        self.system_time_at_start + span_of(instant.saturating_duration_since(self.started_at))
    }

    /// Converts policy time to an instant. Times before the start are clamped to the start, times beyond the
    /// range of an instant to a hundred years after the start.
    pub fn instant_of(&self, policy_time: LocalInstant) -> Instant {
        self.started_at + duration_of(policy_time - self.system_time_at_start)
    }
}

/// Converts a duration to a span.
pub(crate) fn span_of(duration: Duration) -> Span {
    Span::from_secs(duration.as_secs_f64())
}

/// Converts a span to a duration. Negative spans become zero. Spans that are too long, infinite or NaN become
/// a hundred years.
pub(crate) fn duration_of(span: Span) -> Duration {
    if span.as_secs() < 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(span.as_secs()).unwrap_or(MAX_DURATION).min(MAX_DURATION)
}

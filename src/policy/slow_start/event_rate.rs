//! Running estimate of how often something happens.

use crate::time::{LocalInstant, Span};

/// A count of events that decays with time, from which their rate follows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventRate {
    count: f64,
    /// When counting began; none before the first event.
    started_at: Option<LocalInstant>,
    updated_at: LocalInstant,
}

impl EventRate {
    /// Counts an event with this weight. Earlier ones lose theirs within `time_constant`.
    pub(crate) fn record(&mut self, weight: f64, now: LocalInstant, time_constant: Span) {
        self.count = self.decayed_count(now, time_constant) + weight;
        self.started_at.get_or_insert(now);
        self.updated_at = now;
    }

    /// Events per second over about `time_constant`, or since counting began; 0 at first.
    pub(crate) fn per_second(&self, now: LocalInstant, time_constant: Span) -> f64 {
        let Some(started_at) = self.started_at else { return 0.0 };
        let covered = time_constant.as_secs() * (1.0 - (-((now - started_at) / time_constant)).exp());
        if covered > 0.0 {
            self.decayed_count(now, time_constant) / covered
        } else {
            0.0
        }
    }

    fn decayed_count(&self, now: LocalInstant, time_constant: Span) -> f64 {
        self.count * (-((now - self.updated_at).max(Span::ZERO) / time_constant)).exp()
    }
}

#[cfg(test)]
mod tests;

//! Estimate of an event rate by an exponentially decaying count.

use crate::time::{LocalInstant, Span};

/// An exponentially decaying count of events, from which their rate is computed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventRate {
    count: f64,
    /// Time of the first event.
    started_at: Option<LocalInstant>,
    updated_at: LocalInstant,
}

impl EventRate {
    /// Adds an event with this weight. Earlier events decay exponentially with `time_constant`.
    pub(crate) fn record(&mut self, weight: f64, now: LocalInstant, time_constant: Span) {
        self.count = self.decayed_count(now, time_constant) + weight;
        self.started_at.get_or_insert(now);
        self.updated_at = now;
    }

    /// Returns the events per second, averaged over about `time_constant`, or over the time since the first
    /// event if that is shorter. Returns 0 before the first event.
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

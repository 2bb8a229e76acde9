//! Estimate of an event rate by an exponentially decaying count.

use crate::time::{LocalInstant, Span};

/// An exponentially decaying count of events, from which their rate is computed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventRate {
    count: f64,
    /// From when on events are counted.
    started_at: LocalInstant,
    updated_at: LocalInstant,
}

impl EventRate {
    /// Creates the rate of events that are counted from `now` on.
    pub(crate) fn starting_at(now: LocalInstant) -> EventRate {
        EventRate { count: 0.0, started_at: now, updated_at: now }
    }

    /// Adds an event with this weight. Earlier events decay exponentially with `time_constant`.
    pub(crate) fn record(&mut self, weight: f64, now: LocalInstant, time_constant: Span) {
        self.count = self.decayed_count(now, time_constant) + weight;
        self.updated_at = now;
    }

    /// Returns the events per second, averaged over about `time_constant`, or over the time since the start
    /// if that is shorter. The time counts from the start and not from the first event, so that the rates of
    /// many poolers with few events add up to the rate of all. Returns 0 at the start itself.
    pub(crate) fn per_second(&self, now: LocalInstant, time_constant: Span) -> f64 {
        let covered = time_constant.as_secs() * (1.0 - (-((now - self.started_at) / time_constant)).exp());
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

//! The housekeeping timer, which triggers the periodic work of the policy.

use fastrand::Rng;

use crate::policy::random::Jitter;
use crate::settings::Settings;
use crate::time::{LocalInstant, Span};

/// Interval as a share of the shortest latency objective, so that a retry of an overdue attempt still falls
/// within the objective.
const OBJECTIVE_SHARE: f64 = 0.1;
const MIN_INTERVAL: Span = Span::from_secs(0.01);
const MAX_INTERVAL: Span = Span::from_secs(0.1);
/// Upper limit of the shortest latency objective.
const MAX_SHORTEST_OBJECTIVE: Span = Span::from_secs(1.0);

/// State of the housekeeping timer.
pub(crate) struct Housekeeping {
    interval: Span,
    is_scheduled: bool,
}

impl Housekeeping {
    pub(crate) fn new(settings: &Settings) -> Housekeeping {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest = objectives.fold(MAX_SHORTEST_OBJECTIVE, Span::min);
        let interval = (shortest * OBJECTIVE_SHARE).clamp(MIN_INTERVAL, MAX_INTERVAL);
        Housekeeping { interval, is_scheduled: false }
    }

    /// Returns the time for which the timer has to be set, or `None` if it is already set.
    pub(crate) fn schedule(&mut self, now: LocalInstant, rng: &mut Rng) -> Option<LocalInstant> {
        if std::mem::replace(&mut self.is_scheduled, true) {
            return None;
        }
        Some(now + Jitter::WIDE.apply(self.interval, rng))
    }

    /// Records that the timer has expired, so that it can be scheduled again.
    pub(crate) fn record_timer_expired(&mut self) {
        self.is_scheduled = false;
    }
}

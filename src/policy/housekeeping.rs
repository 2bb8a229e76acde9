//! The housekeeping timer: it handles what no event announces, such as overdue attempts.

use fastrand::Rng;

use crate::policy::random::Jitter;
use crate::settings::Settings;
use crate::time::{LocalInstant, Span};

/// Interval as a share of the shortest latency objective, which leaves time for a retry ...
const OBJECTIVE_SHARE: f64 = 0.1;
/// ... within these limits.
const MIN_INTERVAL: Span = Span::from_secs(0.01);
const MAX_INTERVAL: Span = Span::from_secs(0.1);
/// Stands for the shortest latency objective where that is longer.
const MAX_SHORTEST_OBJECTIVE: Span = Span::from_secs(1.0);

/// The timer of the housekeeping.
pub(crate) struct Housekeeping {
    interval: Span,
    is_scheduled: bool,
}

impl Housekeeping {
    /// A timer that is not set yet.
    pub(crate) fn new(settings: &Settings) -> Housekeeping {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest = objectives.fold(MAX_SHORTEST_OBJECTIVE, Span::min);
        let interval = (shortest * OBJECTIVE_SHARE).clamp(MIN_INTERVAL, MAX_INTERVAL);
        Housekeeping { interval, is_scheduled: false }
    }

    /// When the timer is to expire, unless it is set.
    pub(crate) fn schedule(&mut self, now: LocalInstant, rng: &mut Rng) -> Option<LocalInstant> {
        if std::mem::replace(&mut self.is_scheduled, true) {
            return None;
        }
        Some(now + Jitter::WIDE.apply(self.interval, rng))
    }

    /// Notes that the timer has expired.
    pub(crate) fn expired(&mut self) {
        self.is_scheduled = false;
    }
}

//! The requests that an endpoint in slow start may still get.

use crate::time::{LocalInstant, Span};

/// An allowance of requests that is earned with time. How fast depends on the endpoint's present capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartBudget {
    requests: f64,
    earned_until: LocalInstant,
}

impl Default for SlowStartBudget {
    /// One request: a pooler that has just started knows of no usual traffic.
    fn default() -> Self {
        SlowStartBudget { requests: 1.0, earned_until: LocalInstant::EPOCH }
    }
}

impl SlowStartBudget {
    /// Earns so many requests per second since the last time, and holds `most` of them.
    pub fn earn(&mut self, per_second: f64, most: f64, now: LocalInstant) {
        let elapsed = (now - self.earned_until).max(Span::ZERO);
        self.requests = (self.requests + elapsed.as_secs() * per_second).min(most);
        self.earned_until = now;
    }

    /// Whether one more request may be sent.
    pub fn allows_request(&self) -> bool {
        self.requests >= 1.0
    }

    /// Spends one request.
    pub fn spend(&mut self) {
        self.requests -= 1.0;
    }
}

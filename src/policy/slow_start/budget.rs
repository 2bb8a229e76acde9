//! The budget of one endpoint in slow start: how many requests this pooler may send to it now.
//!
//! Tokens are earned at a rate and expire soon after. A pooler of a large fleet earns a token only now and
//! then. If such tokens were kept, every pooler would hold one, and a moment at which all poolers need the
//! endpoint, such as the end of a partition, would spend them at once. For the same reason the first token is
//! earned after a random part of the time that each further one takes.
//!
//! A request that no other endpoint can answer may borrow the next token. Otherwise a pooler with little
//! traffic would keep it waiting for seconds, although the fleet is far below its limit.

use fastrand::Rng;

use crate::time::{LocalInstant, Span};

/// A budget of tokens that expire. One token permits one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartBudget {
    /// Tokens earned, including expired ones. Only whole tokens count.
    earned: f64,
    /// Whole tokens that were spent or have expired. Exceeds the earned ones while the budget is in debt.
    used: f64,
    updated_at: LocalInstant,
    /// Whether one request is permitted before anything is known of the rate.
    permits_first_request: bool,
}

impl SlowStartBudget {
    /// Creates the budget of an endpoint that has just started.
    pub(crate) fn new(now: LocalInstant, rng: &mut Rng) -> SlowStartBudget {
        SlowStartBudget { earned: rng.f64(), used: 0.0, updated_at: now, permits_first_request: true }
    }

    /// Adds the tokens earned at this rate since the last update, and removes those that were earned more
    /// than `lifetime` ago. A rate of 0 means that it is not known yet.
    pub(crate) fn update(&mut self, per_second: f64, lifetime: Span, now: LocalInstant) {
        let elapsed = (now - self.updated_at).max(Span::ZERO);
        self.updated_at = now;
        if per_second > 0.0 {
            self.permits_first_request = false;
            self.earned += per_second * elapsed.as_secs();
            let expired = (self.earned - per_second * lifetime.as_secs()).floor();
            self.used = self.used.max(expired);
        }
    }

    /// Returns `true` if a request is permitted.
    pub(crate) fn has_token(&self) -> bool {
        self.permits_first_request || self.earned.floor() > self.used
    }

    /// Returns `true` if a request is permitted that may borrow the next token. A budget that is already in
    /// debt lends none.
    pub(crate) fn has_or_lends_token(&self) -> bool {
        self.permits_first_request || self.earned.floor() >= self.used
    }

    /// Withdraws a token, or goes into debt if there is none.
    pub(crate) fn withdraw(&mut self) {
        self.permits_first_request = false;
        self.used += 1.0;
    }
}

#[cfg(test)]
mod tests;

//! A token bucket: an allowance that is earned, with time or by events, and spent.

use crate::time::{LocalInstant, Span};

/// A bucket of tokens with a capacity. One token allows one request, retry or health check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    capacity: f64,
    /// Tokens earned per second.
    refill_rate: f64,
    refilled_at: LocalInstant,
}

impl TokenBucket {
    /// A bucket that holds so many tokens, up to `capacity`, and earns none with time unless it is refilled
    /// at a rate. It counts as last refilled at the zero of the clock.
    pub(crate) fn new(tokens: f64, capacity: f64) -> TokenBucket {
        TokenBucket { tokens, capacity, refill_rate: 0.0, refilled_at: LocalInstant::EPOCH }
    }

    /// A full bucket that earns no tokens with time.
    pub(crate) fn full(capacity: f64) -> TokenBucket {
        TokenBucket::new(capacity, capacity)
    }

    /// A bucket that earns so many tokens per second, and holds those of a second or `min_capacity`,
    /// whichever is more. It starts with `min_capacity` tokens, and earns from the zero of the clock on.
    pub(crate) fn earning(refill_rate: f64, min_capacity: f64) -> TokenBucket {
        let capacity = refill_rate.max(min_capacity);
        TokenBucket { refill_rate, ..TokenBucket::new(min_capacity, capacity) }
    }

    /// Adds tokens, as far as the bucket holds them.
    pub(crate) fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Adds the tokens earned since the last refill.
    pub(crate) fn refill(&mut self, now: LocalInstant) -> &mut TokenBucket {
        let elapsed = (now - self.refilled_at).max(Span::ZERO);
        self.refilled_at = now;
        self.deposit(elapsed.as_secs() * self.refill_rate);
        self
    }

    /// Adds the tokens earned since the last refill at a new rate (tokens per second) and capacity.
    pub(crate) fn refill_at(&mut self, refill_rate: f64, capacity: f64, now: LocalInstant) {
        self.refill_rate = refill_rate;
        self.capacity = capacity;
        self.refill(now);
    }

    /// Whether a complete token is there.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token if a complete one is there. Returns whether it did.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        self.has_token() && self.withdraw_up_to_one()
    }

    /// Takes a token; of less than one, all that is there. Returns whether a complete one was there.
    pub(crate) fn withdraw_up_to_one(&mut self) -> bool {
        let had_token = self.has_token();
        self.tokens = (self.tokens - 1.0).max(0.0);
        had_token
    }

    /// Takes a token, whatever is there: the bucket may be in debt afterwards.
    pub(crate) fn overdraw(&mut self) {
        self.tokens -= 1.0;
    }
}

#[cfg(test)]
mod tests;

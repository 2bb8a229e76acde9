//! A token bucket that is refilled at a constant rate, by explicit deposits, or both.

use crate::time::{LocalInstant, Span};

/// A token bucket with a limited capacity. One token permits one request, retry or health check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    capacity: f64,
    /// Tokens per second.
    refill_rate: f64,
    refilled_at: LocalInstant,
}

impl TokenBucket {
    /// Creates a bucket that contains `tokens`, with a refill rate of 0. It counts as last refilled at
    /// [`LocalInstant::EPOCH`].
    pub(crate) fn new(tokens: f64, capacity: f64) -> TokenBucket {
        TokenBucket { tokens, capacity, refill_rate: 0.0, refilled_at: LocalInstant::EPOCH }
    }

    /// Creates a full bucket with a refill rate of 0.
    pub(crate) fn full(capacity: f64) -> TokenBucket {
        TokenBucket::new(capacity, capacity)
    }

    /// Creates a bucket with a refill rate in tokens per second. Its capacity is the refill of one second,
    /// but at least `min_capacity`. It starts with `min_capacity` tokens at [`LocalInstant::EPOCH`].
    pub(crate) fn with_refill_rate(refill_rate: f64, min_capacity: f64) -> TokenBucket {
        let capacity = refill_rate.max(min_capacity);
        TokenBucket { refill_rate, ..TokenBucket::new(min_capacity, capacity) }
    }

    /// Adds tokens up to the capacity.
    pub(crate) fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Adds the tokens due since the last refill.
    pub(crate) fn refill(&mut self, now: LocalInstant) -> &mut TokenBucket {
        let elapsed = (now - self.refilled_at).max(Span::ZERO);
        self.refilled_at = now;
        self.deposit(elapsed.as_secs() * self.refill_rate);
        self
    }

    /// Returns `true` if the bucket contains at least one whole token.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Withdraws a token if the bucket contains a whole one. Returns `true` if it did.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        self.has_token() && self.withdraw_saturating()
    }

    /// Withdraws a token, or the remaining fraction of one. Returns `true` if a whole token was withdrawn.
    pub(crate) fn withdraw_saturating(&mut self) -> bool {
        let had_token = self.has_token();
        self.tokens = (self.tokens - 1.0).max(0.0);
        had_token
    }
}

#[cfg(test)]
mod tests;

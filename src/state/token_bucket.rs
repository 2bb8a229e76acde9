//! An allowance that is earned and spent.

use crate::time::{LocalInstant, Span};

/// A bucket of tokens with a capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    capacity: f64,
    /// Tokens earned per second.
    refill_rate: f64,
    refilled_at: LocalInstant,
}

impl TokenBucket {
    /// A bucket that holds so many tokens, up to `capacity`.
    pub fn new(tokens: f64, capacity: f64) -> Self {
        TokenBucket { tokens, capacity, refill_rate: 0.0, refilled_at: LocalInstant::EPOCH }
    }

    /// A full bucket.
    pub fn full(capacity: f64) -> Self {
        TokenBucket::new(capacity, capacity)
    }

    /// A bucket that earns so many tokens per second, and holds those of a second or `min_capacity`,
    /// whichever is more. It starts with `min_capacity` tokens.
    pub fn earning(refill_rate: f64, min_capacity: f64) -> Self {
        let capacity = refill_rate.max(min_capacity);
        TokenBucket { tokens: min_capacity, capacity, refill_rate, refilled_at: LocalInstant::EPOCH }
    }

    /// Adds tokens, as far as the bucket holds them.
    pub fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Adds the tokens earned since the last refill.
    pub fn refill(&mut self, now: LocalInstant) -> &mut Self {
        let elapsed = (now - self.refilled_at).max(Span::ZERO);
        self.refilled_at = now;
        self.deposit(elapsed.as_secs() * self.refill_rate);
        self
    }

    /// Whether a whole token is there.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token if a whole one is there. Returns whether it did.
    pub fn try_withdraw(&mut self) -> bool {
        self.has_token() && self.withdraw()
    }

    /// Takes a token; of less than one, all that is there. Returns whether a whole one was there.
    pub fn withdraw(&mut self) -> bool {
        let is_whole = self.has_token();
        self.tokens = (self.tokens - 1.0).max(0.0);
        is_whole
    }
}

//! The retry budget of Finagle and tower: each request deposits a fraction of a token and each retry
//! withdraws one, so that retries stay a small share of the requests.

use crate::policy::token_bucket::TokenBucket;

/// Retry tokens that each request deposits: 10% more attempts cannot amplify an overload.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Largest retry budget: enough for the requests that one lost endpoint had in flight.
const MAX_TOKENS: f64 = 20.0;
/// Share of the largest retry budget with which a pooler starts.
const INITIAL_TOKENS_SHARE: f64 = 0.5;

/// The retries that may be sent of requests that may have been executed.
pub(crate) struct RetryBudget {
    tokens: TokenBucket,
}

impl RetryBudget {
    /// A budget to begin with.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: TokenBucket::new(MAX_TOKENS * INITIAL_TOKENS_SHARE, MAX_TOKENS) }
    }

    /// Adds what one request earns.
    pub(crate) fn deposit(&mut self) {
        self.tokens.deposit(TOKENS_PER_REQUEST);
    }

    /// Takes one retry. Returns whether it was there.
    pub(crate) fn withdraw(&mut self) -> bool {
        self.tokens.try_withdraw()
    }

    /// Whether a retry is there.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens.has_token()
    }
}

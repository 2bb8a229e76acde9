//! A retry budget as in Finagle and tower: each request deposits a fraction of a token and each retry
//! withdraws a whole one, so that retries remain a small share of the requests.

use crate::policy::token_bucket::TokenBucket;

/// Tokens deposited by each request: 10% more attempts are too few to amplify an overload.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Capacity of the budget: enough to retry the requests that a failed endpoint had in flight.
const MAX_TOKENS: f64 = 20.0;
/// Share of the capacity that is available at the start.
const INITIAL_TOKENS_SHARE: f64 = 0.5;

/// Limits the retries of requests that may have been executed.
pub(crate) struct RetryBudget {
    tokens: TokenBucket,
}

impl RetryBudget {
    /// Creates a budget with the initial tokens.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: TokenBucket::new(MAX_TOKENS * INITIAL_TOKENS_SHARE, MAX_TOKENS) }
    }

    /// Adds the share of a token that one request earns.
    pub(crate) fn deposit(&mut self) {
        self.tokens.deposit(TOKENS_PER_REQUEST);
    }

    /// Withdraws a token for one retry if one is available. Returns `true` if it did.
    pub(crate) fn withdraw(&mut self) -> bool {
        self.tokens.try_withdraw()
    }

    /// Returns `true` if a token is available.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens.has_token()
    }
}

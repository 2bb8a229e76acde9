//! Read-your-writes: the log position that a session's reads have to see.

use super::Policy;
use crate::interface::{AttemptResult, Outcome, Request};
use crate::settings::Consistency;
use crate::state::{PendingRequest, RequestKey};

/// Writes that are remembered; sessions with older ones are assumed to have written as late as any forgotten.
const MAX_SESSION_WRITES: usize = 20_000;
/// ... and so are those that wrote so long ago (seconds), far past what a replica lags by.
const MAX_SESSION_AGE: f64 = 60.0;

impl Policy {
    pub(super) fn session_token(&self, request: &Request) -> f64 {
        if self.class(request.class).consistency != Consistency::Session {
            return f64::NEG_INFINITY;
        }
        if self.settings.session_tokens_carried {
            return request.session_token_age.map_or(f64::NEG_INFINITY, |age| self.now - age);
        }
        // A write of the session that is in flight may have been executed, and its answer be lost.
        let mut same_session = self.requests.iter().filter(|(_, other)| other.session == request.session);
        if same_session.any(|(_, other)| self.class(other.class).is_write() && !other.untried()) {
            return self.now;
        }
        self.sessions.last_commit(request.session.as_ref())
    }

    /// A write that does not tell its commit, or may have been executed, was committed before now.
    pub(super) fn remember_write(&mut self, key: RequestKey, result: &AttemptResult) {
        let is_remembered = |_: &&PendingRequest| !self.settings.session_tokens_carried;
        let Some(request) = self.requests.get(key).filter(is_remembered) else { return };
        let is_write = self.class(request.class).is_write() && !result.outcome.proves_not_executed();
        let Some(session) = request.session.clone().filter(|_| is_write) else { return };
        let told = result.log_position.filter(|p| result.outcome == Outcome::Success && *p <= self.now);
        self.sessions.remember(session, told.unwrap_or(self.now));
        self.sessions.forget(MAX_SESSION_WRITES, self.now - MAX_SESSION_AGE);
    }
}

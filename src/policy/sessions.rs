//! Read-your-writes: the log position that a session's reads have to see.

use super::Policy;
use crate::interface::{AttemptResult, Outcome, Request};
use crate::settings::Consistency;
use crate::state::{PendingRequest, RequestKey};

/// Number of remembered writes; a forgotten session counts as having written when the latest of them did.
const MAX_SESSION_WRITES: usize = 20_000;
/// Age after which a write is forgotten (seconds), far beyond the lag of any replica.
const MAX_SESSION_AGE: f64 = 60.0;

impl Policy {
    pub(super) fn session_token(&self, request: &Request) -> f64 {
        if self.class(request.class).consistency != Consistency::Session {
            return f64::NEG_INFINITY;
        }
        if self.settings.session_tokens_carried {
            return request.session_token_age.map_or(f64::NEG_INFINITY, |age| self.now - age);
        }
        // A write of the session that is in flight may have been executed already.
        let mut same_session = self.requests.iter().filter(|(_, other)| other.session == request.session);
        if same_session.any(|(_, other)| self.class(other.class).is_write() && !other.untried()) {
            return self.now;
        }
        self.sessions.last_commit(request.session.as_ref())
    }

    /// Remembers the commit of a write. One whose commit is unknown was committed before now at the latest.
    pub(super) fn remember_write(&mut self, key: RequestKey, result: &AttemptResult) {
        let is_remembered = |_: &&PendingRequest| !self.settings.session_tokens_carried;
        let Some(request) = self.requests.get(key).filter(is_remembered) else { return };
        let is_write = self.class(request.class).is_write() && !result.outcome.proves_not_executed();
        let Some(session) = request.session.clone().filter(|_| is_write) else { return };
        let commit = result.log_position.filter(|p| result.outcome == Outcome::Success && *p <= self.now);
        self.sessions.remember(session, commit.unwrap_or(self.now));
        self.sessions.forget(MAX_SESSION_WRITES, self.now - MAX_SESSION_AGE);
    }
}

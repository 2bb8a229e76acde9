//! Read-your-writes: the log position that a session's reads have to see.

use super::Policy;
use crate::interface::{AttemptResult, Outcome, Request};
use crate::settings::Consistency;
use crate::state::{PendingRequest, RequestKey};
use crate::time::{LogPosition, Span};

/// Number of remembered writes; a forgotten session counts as having written when the latest of them did.
const MAX_SESSION_WRITES: usize = 20_000;
/// Age after which a write is forgotten (seconds), far beyond the lag of any replica.
const MAX_SESSION_AGE: Span = Span::from_secs(60.0);

impl Policy {
    pub(super) fn session_token(&self, request: &Request) -> LogPosition {
        if self.class(request.class).consistency != Consistency::Session {
            return LogPosition::from_secs(f64::NEG_INFINITY);
        }
        if self.settings.session_tokens_carried {
            return request.session_token_age.map_or(LogPosition::from_secs(f64::NEG_INFINITY), |age| {
                // Carried tokens are dated by the pooler's clock.
                (self.now - age).to_cluster(Span::ZERO)
            });
        }
        // A write of the session that is in flight may have been executed already.
        let mut same_session = self.requests.iter().filter(|(_, other)| other.session == request.session);
        if same_session.any(|(_, other)| self.class(other.class).is_write() && !other.untried()) {
            return self.present_for_reads(self.now);
        }
        let remembered = self.sessions.last_commit(request.session.as_ref());
        self.unknown_writes_until.map_or(remembered, |until| remembered.max(self.present_for_reads(until)))
    }

    /// Remembers the commit of a write. One whose commit is unknown was committed before now at the latest.
    pub(super) fn remember_write(&mut self, key: RequestKey, result: &AttemptResult) {
        let is_remembered = |_: &&PendingRequest| !self.settings.session_tokens_carried;
        let Some(request) = self.requests.get(key).filter(is_remembered) else { return };
        let is_write = self.class(request.class).is_write() && !result.outcome.proves_not_executed();
        let Some(session) = request.session.clone().filter(|_| is_write) else { return };
        let is_credible = |position: &LogPosition| self.clock.is_credible(*position, self.now);
        let told = result.log_position.filter(|_| result.outcome == Outcome::Success).filter(is_credible);
        let commit = told.unwrap_or_else(|| self.present_for_reads(self.now));
        if commit.as_secs().is_finite() {
            self.sessions.remember(session, commit);
        } else {
            // The hosts' clock is not known yet.
            self.unknown_writes_until = Some(self.now);
        }
        self.sessions.forget(MAX_SESSION_WRITES, self.clock.likely(self.now) - MAX_SESSION_AGE);
    }
}

//! Read-your-writes consistency: the log position that the reads of a session have to see.
//!
//! Clients carry the age of their session's last write with each read, or the pooler remembers the commits of
//! each session, as the settings say. Where it cannot know of a write, any session may have written.

mod table;

use std::sync::Arc;

use crate::interface::{AttemptResult, Outcome, Request};
use crate::policy::cluster::Cluster;
use crate::policy::freshness::{self, RequiredPosition};
use crate::policy::request::{PendingRequest, RequestTable};
use crate::settings::Consistency;
use crate::time::{LocalInstant, LogPosition, Span};
use table::SessionTable;

/// Number of remembered writes; a forgotten session counts as having written when the latest of them did.
const MAX_SESSION_WRITES: usize = 20_000;
/// Age after which a write is forgotten, far beyond the lag of any replica.
const MAX_SESSION_AGE: Span = Span::from_secs(60.0);

/// What the pooler knows of the writes of sessions.
#[derive(Default)]
pub(crate) struct SessionTracker {
    commits: SessionTable,
    /// Any session may have written until then, although no write of it is remembered.
    unknown_writes_until: Option<LocalInstant>,
}

impl SessionTracker {
    /// Notes that writes until this time are not known, as after a restart: any session may have written.
    pub(crate) fn assume_writes_until(&mut self, now: LocalInstant) {
        self.unknown_writes_until = Some(now);
    }

    /// The position that a request has to see as a read of its session. `pending` are the requests in
    /// progress.
    pub(crate) fn token(
        &self,
        request: &Request,
        pending: &RequestTable,
        cluster: &Cluster,
    ) -> RequiredPosition {
        if cluster.class(request.class).consistency != Consistency::Session {
            return RequiredPosition::Any;
        }
        if cluster.settings().session_tokens_carried {
            return carried_token(request, cluster.now());
        }
        // A write of the session that is in flight may have been executed already.
        if has_write_in_flight(request.session.as_ref(), pending, cluster) {
            return freshness::position_at(cluster, cluster.now());
        }
        let remembered = RequiredPosition::from(self.commits.last_commit(request.session.as_ref()));
        match self.unknown_writes_until {
            Some(until) => remembered.max(freshness::position_at(cluster, until)),
            None => remembered,
        }
    }

    /// Remembers the commit of a write. One whose commit is unknown was committed before now at the latest.
    pub(crate) fn remember_write(
        &mut self,
        request: &PendingRequest,
        result: &AttemptResult,
        cluster: &Cluster,
    ) {
        let is_write = cluster.class(request.class()).is_write() && !result.outcome.proves_not_executed();
        if cluster.settings().session_tokens_carried || !is_write {
            return;
        }
        let Some(session) = request.session() else { return };
        let latest = freshness::position_at(cluster, cluster.now());
        match reported_commit(result, cluster).map_or(latest, RequiredPosition::AtLeast) {
            RequiredPosition::AtLeast(commit) => self.commits.remember(session.clone(), commit),
            // The clock of the endpoints is not known yet.
            RequiredPosition::Any | RequiredPosition::Unknown => {
                self.unknown_writes_until = Some(cluster.now());
            }
        }
        self.commits.forget(MAX_SESSION_WRITES, cluster.estimated_now() - MAX_SESSION_AGE);
    }
}

/// The token that a client carries with a read, dated by the pooler's clock.
fn carried_token(request: &Request, now: LocalInstant) -> RequiredPosition {
    let written_at = request.session_token_age.map(|age| now - age);
    RequiredPosition::from(written_at.map(|instant| instant.to_cluster(Span::ZERO)))
}

fn has_write_in_flight(session: Option<&Arc<str>>, pending: &RequestTable, cluster: &Cluster) -> bool {
    pending.iter().any(|(_, other)| {
        let is_write = cluster.class(other.class()).is_write();
        other.session() == session && is_write && !other.has_reached_no_endpoint()
    })
}

/// The commit that an endpoint reported for a write.
fn reported_commit(result: &AttemptResult, cluster: &Cluster) -> Option<LogPosition> {
    let position = result.log_position.filter(|_| result.outcome == Outcome::Success)?;
    cluster.clock().is_plausible(position, cluster.now()).then_some(position)
}

//! Read-your-writes consistency: the log position that an endpoint must have reached to serve a session's
//! reads.
//!
//! Depending on the settings, clients send the age of their session's last write with each read, or the
//! pooler records the commits of each session. For periods without records, such as before a restart, it
//! assumes that any session may have written.

mod table;

use std::sync::Arc;

use crate::interface::{AttemptResult, Outcome, Request};
use crate::policy::cluster::Cluster;
use crate::policy::freshness::{self, RequiredPosition};
use crate::policy::request::{PendingRequest, RequestTable};
use crate::settings::Consistency;
use crate::time::{LocalInstant, LogPosition, Span};
use table::SessionTable;

/// Limit of recorded writes. A session whose writes were evicted is assumed to have written as late as the
/// latest evicted write.
const MAX_RECORDED_WRITES: usize = 20_000;
/// Age at which a recorded write is evicted, far longer than the lag of any replica.
const MAX_WRITE_AGE: Span = Span::from_secs(60.0);

/// Determines the session tokens of reads, and records the writes of sessions for this purpose.
#[derive(Default)]
pub(crate) struct SessionTracker {
    commits: SessionTable,
    /// Any session may have written until this time without a record of the write.
    unknown_writes_until: Option<LocalInstant>,
}

impl SessionTracker {
    /// Assumes that any session may have written until `now`, as after a restart, which loses the records.
    pub(crate) fn assume_writes_until(&mut self, now: LocalInstant) {
        self.unknown_writes_until = Some(now);
    }

    /// Returns the log position that a session read requires; [`RequiredPosition::Any`] for other requests.
    /// `pending` holds the requests in progress.
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
        // A write of this session that is in flight may already have been executed.
        if has_write_in_flight(request.session.as_ref(), pending, cluster) {
            return freshness::position_at(cluster, cluster.now());
        }
        let recorded = RequiredPosition::from(self.commits.last_commit(request.session.as_ref()));
        match self.unknown_writes_until {
            Some(until) => recorded.max(freshness::position_at(cluster, until)),
            None => recorded,
        }
    }

    /// Records the commit of a write that may have been executed. If its log position is not known, the
    /// current time is recorded, since the commit cannot be later.
    pub(crate) fn record_write(
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
            RequiredPosition::AtLeast(commit) => self.commits.record(session.clone(), commit),
            // The endpoints' clock is not known yet, so the current time has no log position.
            RequiredPosition::Any | RequiredPosition::Unknown => {
                self.unknown_writes_until = Some(cluster.now());
            }
        }
        self.commits.evict(MAX_RECORDED_WRITES, cluster.estimated_now() - MAX_WRITE_AGE);
    }
}

/// Returns the session token that the client sent with a read, as a time on the pooler's clock.
fn carried_token(request: &Request, now: LocalInstant) -> RequiredPosition {
    let written_at = request.session_token_age.map(|age| now - age);
    RequiredPosition::from(written_at.map(|instant| instant.to_cluster_instant(Span::ZERO)))
}

fn has_write_in_flight(session: Option<&Arc<str>>, pending: &RequestTable, cluster: &Cluster) -> bool {
    pending.iter().any(|(_, other)| {
        let is_write = cluster.class(other.class()).is_write();
        other.session() == session && is_write && !other.has_reached_no_endpoint()
    })
}

/// Returns the commit position that an endpoint reported for a write, if the write succeeded and the position
/// is plausible.
fn reported_commit(result: &AttemptResult, cluster: &Cluster) -> Option<LogPosition> {
    let position = result.log_position.filter(|_| result.outcome == Outcome::Success)?;
    cluster.clock().is_plausible(position, cluster.now()).then_some(position)
}

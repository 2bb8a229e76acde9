//! Freshness: whether the data of an endpoint is recent enough for a read.
//!
//! A read requires a log position, which is a time on the endpoints' clock. An endpoint is
//! [`Freshness::Fresh`] if it is known to have reached that, [`Freshness::PossiblyFresh`] if it may have
//! reached it and would reject the read otherwise, and [`Freshness::Stale`] if neither holds.

use crate::policy::cluster::Cluster;
use crate::policy::endpoint::EndpointState;
use crate::settings::{Consistency, Settings};
use crate::time::{ClusterInstant, LocalInstant, LogPosition, Span};

/// Age at which a local replica's log position is refreshed, as a share of the shortest staleness bound.
const REFRESH_AGE_SHARE: f64 = 0.7;

/// The log position that a read requires, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RequiredPosition {
    /// Any position will do.
    Any,
    /// This one or a later one.
    AtLeast(LogPosition),
    /// It is not known which position would do: only the primary is certain to have reached it.
    Unknown,
}

impl RequiredPosition {
    /// The position that a read of this consistency requires; `session_token` is that of its session.
    pub(crate) fn for_consistency(
        consistency: Consistency,
        session_token: RequiredPosition,
        cluster: &Cluster,
    ) -> RequiredPosition {
        match consistency {
            Consistency::Eventual => RequiredPosition::Any,
            Consistency::Session => session_token,
            Consistency::BoundedStaleness(bound) => position_at(cluster, cluster.now()).lowered_by(bound),
            Consistency::Write | Consistency::Strong => RequiredPosition::Unknown,
        }
    }

    fn lowered_by(self, bound: Span) -> RequiredPosition {
        match self {
            RequiredPosition::AtLeast(position) => RequiredPosition::AtLeast(position - bound),
            other => other,
        }
    }

    /// Whether an endpoint has reached it that is known to be at this position.
    pub(crate) fn is_reached_at(self, position: Option<LogPosition>) -> bool {
        match self {
            RequiredPosition::Any => true,
            RequiredPosition::AtLeast(required) => position.is_some_and(|position| position >= required),
            RequiredPosition::Unknown => false,
        }
    }
}

impl From<Option<LogPosition>> for RequiredPosition {
    fn from(position: Option<LogPosition>) -> RequiredPosition {
        position.map_or(RequiredPosition::Any, RequiredPosition::AtLeast)
    }
}

/// The position that sees every commit until an instant. Where endpoints serve stale reads, it must not be
/// too early; where they check reads themselves, a wrong guess costs no more than an attempt.
pub(crate) fn position_at(cluster: &Cluster, instant: LocalInstant) -> RequiredPosition {
    if cluster.settings().stale_reads.rejects_stale_reads() {
        return RequiredPosition::AtLeast(cluster.clock().estimate(instant));
    }
    cluster.clock().latest(instant).map_or(RequiredPosition::Unknown, RequiredPosition::AtLeast)
}

/// Whether an endpoint is recent enough for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// It is known to be.
    Fresh,
    /// It may be; if it is not, it rejects the read without executing it.
    PossiblyFresh,
    /// It is known to be behind; or it may be behind, and would answer from stale data then.
    Stale,
}

/// Whether an endpoint has reached the required position.
pub(crate) fn freshness(
    endpoint: &EndpointState,
    required: RequiredPosition,
    cluster: &Cluster,
) -> Freshness {
    if required.is_reached_at(endpoint.replication().log_position()) {
        return Freshness::Fresh;
    }
    let is_checked = cluster.settings().stale_reads.rejects_stale_reads();
    if is_checked
        && !endpoint.replication().is_marked_stale(cluster.now())
        && may_have_reached(endpoint, required, cluster)
    {
        Freshness::PossiblyFresh
    } else {
        Freshness::Stale
    }
}

/// An endpoint may have reached a position if its lag is the same as at its report, if it has had as much
/// time to catch up as its lag was, or if its position is unknown.
fn may_have_reached(endpoint: &EndpointState, required: RequiredPosition, cluster: &Cluster) -> bool {
    let (Some(lag), Some(reported_at)) =
        (endpoint.replication().lag(cluster.clock()), endpoint.replication().reported_at())
    else {
        return true;
    };
    let has_caught_up = cluster.now() - reported_at > lag;
    required.is_reached_at(Some(cluster.estimated_now() - lag)) || has_caught_up
}

/// Whether an endpoint may be so far behind that no bounded read may go there: by its last report, or since
/// it has reported no position.
pub(crate) fn may_be_behind(endpoint: &EndpointState, cluster: &Cluster) -> bool {
    let required = cluster.estimated_now() - cluster.shortest_staleness_bound();
    endpoint.replication().log_position().is_none_or(|position| position < required)
}

/// Until when an endpoint that has just rejected a read is taken to be behind: it needs at least as long as
/// its lag to catch up. No longer lag is assumed than an endpoint takes to warm up.
pub(crate) fn stale_until(
    endpoint: &EndpointState,
    settings: &Settings,
    now: LocalInstant,
    cluster_now: ClusterInstant,
) -> LocalInstant {
    let longest = settings.slow_start_window;
    let lag = endpoint.replication().log_position().map_or(longest, |position| cluster_now - position);
    now + lag.clamp(Span::ZERO, longest).max(settings.connect_timeout)
}

/// Whether a health check should find out a log position: it is about to be too old for reads, or it is
/// unknown and endpoints serve stale reads, so that no read may be sent to find it out.
pub(crate) fn needs_refresh(endpoint: &EndpointState, cluster: &Cluster) -> bool {
    let max_age = cluster.shortest_staleness_bound() * REFRESH_AGE_SHARE;
    let is_local = endpoint.listing().zone() == cluster.settings().zone;
    let is_old = endpoint.replication().reported_at().is_none_or(|at| cluster.now() - at > max_age);
    let is_unknown = endpoint.replication().log_position().is_none()
        && !cluster.settings().stale_reads.rejects_stale_reads();
    is_local && is_old || is_unknown
}

#[cfg(test)]
mod tests;

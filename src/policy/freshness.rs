//! Freshness: whether the data of an endpoint is recent enough for a read.
//!
//! A read requires a log position, which is a time on the endpoints' clock. An endpoint is
//! [`Freshness::Fresh`] if it is known to have reached this position, [`Freshness::PossiblyFresh`] if it may
//! have reached it and would otherwise reject the read, and [`Freshness::Stale`] in all other cases.

use crate::policy::cluster::Cluster;
use crate::policy::endpoint::EndpointState;
use crate::settings::{Consistency, Settings};
use crate::time::{ClusterInstant, LocalInstant, LogPosition, Span};

/// Age at which the log position of a local replica is refreshed, as a share of the shortest staleness bound.
const REFRESH_AGE_SHARE: f64 = 0.7;

/// The log position that a read requires. The variants are ordered from the weakest requirement to the
/// strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RequiredPosition {
    /// Any position is sufficient.
    Any,
    /// This position or a later one.
    AtLeast(LogPosition),
    /// The required position is not known. Only the primary is certain to have reached it.
    Unknown,
}

impl RequiredPosition {
    /// Returns the position that a read of this consistency requires. `session_token` is the position that
    /// its session requires.
    pub(crate) fn for_consistency(
        consistency: Consistency,
        session_token: RequiredPosition,
        cluster: &Cluster,
    ) -> RequiredPosition {
        match consistency {
            Consistency::Eventual => RequiredPosition::Any,
            Consistency::Session => session_token,
            Consistency::BoundedStaleness(bound) => position_at(cluster, cluster.now()).relaxed_by(bound),
            Consistency::Write | Consistency::Strong => RequiredPosition::Unknown,
        }
    }

    fn relaxed_by(self, bound: Span) -> RequiredPosition {
        match self {
            RequiredPosition::AtLeast(position) => RequiredPosition::AtLeast(position - bound),
            other => other,
        }
    }

    /// Returns `true` if an endpoint whose known position is `position` meets the requirement.
    pub(crate) fn is_met_by(self, position: Option<LogPosition>) -> bool {
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

/// Returns the position that includes every commit up to `instant`. If endpoints serve stale reads, it must
/// not be too early, so the latest possible time is used. If they reject stale reads, the estimated time is
/// sufficient, since a wrong estimate costs no more than one attempt.
pub(crate) fn position_at(cluster: &Cluster, instant: LocalInstant) -> RequiredPosition {
    if cluster.settings().stale_reads.rejects_stale_reads() {
        return RequiredPosition::AtLeast(cluster.clock().estimate(instant));
    }
    cluster.clock().latest(instant).map_or(RequiredPosition::Unknown, RequiredPosition::AtLeast)
}

/// Whether an endpoint is recent enough for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// The endpoint is known to be recent enough.
    Fresh,
    /// The endpoint may be recent enough; if it is not, it rejects the read without executing it.
    PossiblyFresh,
    /// The endpoint is known or assumed to lag behind, or may lag behind and would then serve stale data.
    Stale,
}

/// Returns the freshness of an endpoint for a read that requires the given position.
pub(crate) fn freshness(
    endpoint: &EndpointState,
    required: RequiredPosition,
    cluster: &Cluster,
) -> Freshness {
    if required.is_met_by(endpoint.replication().log_position()) {
        return Freshness::Fresh;
    }
    let rejects_stale_reads = cluster.settings().stale_reads.rejects_stale_reads();
    if rejects_stale_reads
        && !endpoint.replication().is_marked_stale(cluster.now())
        && may_have_reached(endpoint, required, cluster)
    {
        Freshness::PossiblyFresh
    } else {
        Freshness::Stale
    }
}

/// Returns `true` if an endpoint may have reached a position: its own position is unknown, it has reached the
/// position if its lag has not changed since its last report, or more time than this lag has passed since, so
/// that it may have caught up.
fn may_have_reached(endpoint: &EndpointState, required: RequiredPosition, cluster: &Cluster) -> bool {
    let (Some(lag), Some(reported_at)) = (
        endpoint.replication().lag_at_report(cluster.clock()),
        endpoint.replication().log_position_reported_at(),
    ) else {
        return true;
    };
    let may_have_caught_up = cluster.now() - reported_at > lag;
    required.is_met_by(Some(cluster.estimated_now() - lag)) || may_have_caught_up
}

/// Returns `true` if an endpoint may lag behind by more than the shortest staleness bound, according to its
/// reported position, or has not reported any position.
pub(crate) fn may_be_behind(endpoint: &EndpointState, cluster: &Cluster) -> bool {
    let required = cluster.estimated_now() - cluster.shortest_staleness_bound();
    endpoint.replication().log_position().is_none_or(|position| position < required)
}

/// Returns until when an endpoint that has just rejected a read is assumed to lag behind: it needs at least
/// as long as its lag to catch up. The lag is assumed to be no longer than the slow start of an endpoint.
pub(crate) fn stale_until(
    endpoint: &EndpointState,
    settings: &Settings,
    now: LocalInstant,
    cluster_now: ClusterInstant,
) -> LocalInstant {
    let max_lag = settings.slow_start_window;
    let lag = endpoint.replication().log_position().map_or(max_lag, |position| cluster_now - position);
    now + lag.clamp(Span::ZERO, max_lag).max(settings.connect_timeout)
}

/// Returns `true` if the log position of an endpoint should be refreshed by a health check: the endpoint is
/// in the pooler's own zone and its position is unknown or will soon be too old for reads; or, in any zone,
/// the position is unknown and endpoints serve stale reads, so that no read may be sent to learn it.
pub(crate) fn needs_position_refresh(endpoint: &EndpointState, cluster: &Cluster) -> bool {
    let max_age = cluster.shortest_staleness_bound() * REFRESH_AGE_SHARE;
    let is_local = endpoint.listing().zone() == cluster.settings().zone;
    let is_old =
        endpoint.replication().log_position_reported_at().is_none_or(|at| cluster.now() - at > max_age);
    let is_unknown = endpoint.replication().log_position().is_none()
        && !cluster.settings().stale_reads.rejects_stale_reads();
    is_local && is_old || is_unknown
}

#[cfg(test)]
mod tests;

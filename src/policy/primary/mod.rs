//! The primary of a group: which endpoint it is, namely the one with the newest claim, by itself or by the
//! list; and whether it may get a request that only the primary can take.

pub(crate) mod health_checks;
pub(crate) mod search;

use crate::policy::admission::Admission;
use crate::policy::cluster::{Cluster, EndpointKey, Group};
use crate::policy::endpoint::PrimaryClaim;
use crate::policy::give_up::GiveUpReason;
use crate::policy::request::PendingRequest;
use crate::policy::slow_start::SlowStart;
use crate::policy::{NoRoute, Route};

/// Assumed age of the roles in the endpoint list, as a share of the watch gap.
const LISTED_ROLE_AGE_SHARE: f64 = 0.5;
/// Part of the latency objective that admission control counts with for requests that need the primary.
const OBJECTIVE_FACTOR: f64 = 1.0;
/// Queued requests are dispatched while the primary has fewer requests in flight than this.
const MAX_IN_FLIGHT_WHEN_DEQUEUING: u32 = 6;

/// The endpoint with the newest claim to be the primary of a group.
pub(crate) fn elect(group: &Group, cluster: &Cluster) -> Option<EndpointKey> {
    let list_age = cluster.settings().max_watch_gap * LISTED_ROLE_AGE_SHARE;
    let mut newest: Option<(PrimaryClaim, EndpointKey)> = None;
    for endpoint in cluster.usable_endpoints(group) {
        let Some(claim) = cluster.endpoint(endpoint).primary_claim(list_age) else { continue };
        // Of claims of the same time, the last one counts.
        if newest.is_none_or(|(other, _)| !claim.is_older_than(&other)) {
            newest = Some((claim, endpoint));
        }
    }
    newest.map(|(_, endpoint)| endpoint)
}

/// Whether a queued request has to wait on: while the primary is busy, only those are sent that are late.
pub(crate) fn must_wait(request: &PendingRequest, primary: Option<EndpointKey>, cluster: &Cluster) -> bool {
    let in_flight = |endpoint: EndpointKey| cluster.endpoint(endpoint).load().in_flight();
    let is_busy = primary.is_some_and(|primary| in_flight(primary) >= MAX_IN_FLIGHT_WHEN_DEQUEUING);
    is_busy && request.context().objective_expires_at > cluster.now()
}

/// Whether the primary gets a request that only the primary can take. The request is queued while no
/// primary is known, or none that may take it.
pub(crate) fn route(
    request: &PendingRequest,
    cluster: &Cluster,
    admission: &Admission,
    slow_start: &SlowStart,
) -> Route {
    let group = cluster.group(request.group()).filter(|group| !group.members().is_empty());
    let group = group.ok_or(NoRoute::GiveUp(GiveUpReason::NoEndpoint))?;
    let primary = group.primary().ok_or(NoRoute::Queue)?;
    if cluster.is_trial_due(primary) {
        return Ok(primary);
    }
    if !cluster.is_healthy(primary) || !slow_start.admits_to_primary(request, primary, cluster) {
        return Err(NoRoute::Queue);
    }
    if !admission.admits(request, primary, OBJECTIVE_FACTOR, cluster) {
        return Err(NoRoute::GiveUp(GiveUpReason::NoCapacity));
    }
    Ok(primary)
}

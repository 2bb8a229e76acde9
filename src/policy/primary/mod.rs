//! The primary of a group: selection of the endpoint with the newest claim, made by the endpoint itself or by
//! the endpoint list, and routing of requests that only the primary can take.

pub(crate) mod health_checks;
pub(crate) mod search;

use crate::interface::GiveUpReason;
use crate::policy::admission::Admission;
use crate::policy::cluster::{Cluster, EndpointKey, Group};
use crate::policy::endpoint::PrimaryClaim;
use crate::policy::request::PendingRequest;
use crate::policy::slow_start::SlowStart;
use crate::policy::{RouteError, RouteResult};

/// Assumed age of the roles in the endpoint list, as a share of the longest watch gap.
const LISTED_ROLE_AGE_SHARE: f64 = 0.5;
/// Factor of the latency objective in admission control, for requests that need the primary.
const OBJECTIVE_FACTOR: f64 = 1.0;
/// Queued requests are dispatched while the primary has fewer requests in flight than this.
const MAX_IN_FLIGHT_WHEN_DEQUEUING: u32 = 6;

/// Returns the usable endpoint with the newest claim to be the primary of a group.
pub(crate) fn newest_claimant(group: &Group, cluster: &Cluster) -> Option<EndpointKey> {
    let list_age = cluster.settings().max_watch_gap * LISTED_ROLE_AGE_SHARE;
    let mut newest: Option<(PrimaryClaim, EndpointKey)> = None;
    for endpoint in cluster.usable_endpoints(group) {
        let Some(claim) = cluster.endpoint(endpoint).primary_claim(list_age) else { continue };
        // Of claims with the same time, the last one wins.
        if newest.is_none_or(|(other, _)| !claim.is_older_than(&other)) {
            newest = Some((claim, endpoint));
        }
    }
    newest.map(|(_, endpoint)| endpoint)
}

/// Returns `true` if a request has to stay queued. While the primary is busy, only requests that have missed
/// their latency objective are sent.
pub(crate) fn must_stay_queued(
    request: &PendingRequest,
    primary: Option<EndpointKey>,
    cluster: &Cluster,
) -> bool {
    let in_flight = |endpoint: EndpointKey| cluster.endpoint(endpoint).load().in_flight();
    let is_busy = primary.is_some_and(|primary| in_flight(primary) >= MAX_IN_FLIGHT_WHEN_DEQUEUING);
    is_busy && request.context().objective_expires_at > cluster.now()
}

/// Routes a request that only the primary can take. An ejected primary gets it if a trial is due. The request
/// is queued while no primary is known, the primary is ejected, or its slow start does not admit the request,
/// which applies to a trial as well.
pub(crate) fn route(
    request: &PendingRequest,
    cluster: &Cluster,
    admission: &Admission,
    slow_start: &SlowStart,
) -> RouteResult {
    let group = cluster.group(request.group()).filter(|group| !group.members().is_empty());
    let group = group.ok_or(RouteError::GiveUp(GiveUpReason::NoEndpoint))?;
    let primary = group.primary().ok_or(RouteError::Queue)?;
    let is_trial_due = cluster.is_trial_due(primary);
    let is_available = cluster.is_healthy(primary) || is_trial_due;
    if !is_available || !slow_start.admits_primary_request(request, primary, cluster) {
        return Err(RouteError::Queue);
    }
    if is_trial_due {
        return Ok(primary);
    }
    if !admission.admits(request, primary, OBJECTIVE_FACTOR, cluster) {
        return Err(RouteError::GiveUp(GiveUpReason::NoCapacity));
    }
    Ok(primary)
}

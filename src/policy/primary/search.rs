//! The search for a lost primary: by health checks where they are allowed, otherwise by a queued write.

use fastrand::Rng;

use crate::policy::cluster::{Cluster, EndpointKey, Group};
use crate::policy::random::Jitter;
use crate::policy::request::{PendingRequest, RequestKey, RequestTable};
use crate::policy::retry;
use crate::policy::slow_start::SlowStart;
use crate::time::{LocalInstant, Span};

/// Interval between two steps of the search, in multiples of the connect timeout.
const SEARCH_INTERVAL: f64 = 0.8;

/// The search for the primary of one group.
#[derive(Default)]
pub(crate) struct PrimarySearch {
    /// When the next step is due, while there is no healthy primary.
    next_step_at: Option<LocalInstant>,
    /// The write that was last sent in search of a primary.
    discovery_write: Option<RequestKey>,
}

impl PrimarySearch {
    /// Starts the search, unless it goes on already.
    pub(crate) fn start(&mut self, now: LocalInstant) {
        self.next_step_at.get_or_insert(now);
    }

    /// Ends the search.
    pub(crate) fn stop(&mut self) {
        self.next_step_at = None;
    }

    /// Whether a step is due now. Schedules the next one then.
    pub(crate) fn step_if_due(&mut self, now: LocalInstant, connect_timeout: Span, rng: &mut Rng) -> bool {
        if self.next_step_at.is_none_or(|next| now < next) {
            return false;
        }
        self.next_step_at = Some(now + Jitter::WIDE.apply(connect_timeout * SEARCH_INTERVAL, rng));
        true
    }

    /// Notes that a write was sent in search of a primary.
    pub(crate) fn start_discovery(&mut self, write: RequestKey) {
        self.discovery_write = Some(write);
    }
}

/// A queued write and the endpoint that is asked by it whether it is the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DiscoveryWrite {
    /// The write.
    pub(crate) request: RequestKey,
    /// Where it is sent.
    pub(crate) endpoint: EndpointKey,
}

/// The queued write to search with, and where to: the endpoint with the latest log position. One write is in
/// flight at a time.
pub(crate) fn discovery_write(
    group: &Group,
    requests: &RequestTable,
    slow_start: &SlowStart,
    cluster: &Cluster,
) -> Option<DiscoveryWrite> {
    let last_write = group.search().discovery_write.and_then(|key| requests.get(key));
    if last_write.is_some_and(PendingRequest::is_in_flight) {
        return None;
    }
    let queued = group.queue().iter().filter_map(|key| Some((*key, requests.get(*key)?)));
    let (key, request) =
        queued.into_iter().find(|(_, request)| retry::may_discover_primary(request, cluster))?;
    let is_candidate = |endpoint: &EndpointKey| {
        let is_usable = cluster.accepts_requests(*endpoint) && cluster.is_healthy(*endpoint);
        let is_new = !request.has_tried(*endpoint);
        is_usable && is_new && slow_start.admits_to_primary(request, *endpoint, cluster)
    };
    let candidates = group.members().iter().copied().filter(is_candidate);
    let endpoint =
        candidates.max_by_key(|endpoint| cluster.endpoint(*endpoint).replication().log_position())?;
    Some(DiscoveryWrite { request: key, endpoint })
}

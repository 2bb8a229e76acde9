//! The search for a lost primary: by health checks where the settings allow them, otherwise by search writes.
//!
//! A search write is a queued write that is sent to an endpoint that may be the primary. If the endpoint is
//! not the primary, it rejects the write without executing it.

use fastrand::Rng;

use crate::policy::cluster::{Cluster, EndpointKey, Group};
use crate::policy::random::Jitter;
use crate::policy::request::{PendingRequest, RequestKey, RequestTable};
use crate::policy::retry;
use crate::policy::slow_start::SlowStart;
use crate::time::{LocalInstant, Span};

/// Mean interval between two steps of the search, in multiples of the connect timeout.
const SEARCH_INTERVAL: f64 = 0.8;

/// The search for the primary of one group.
#[derive(Default)]
pub(crate) struct PrimarySearch {
    /// When the next step is due; `None` while no search is in progress.
    next_step_at: Option<LocalInstant>,
    /// The latest search write.
    latest_write: Option<RequestKey>,
}

impl PrimarySearch {
    /// Starts the search unless one is in progress.
    pub(crate) fn start(&mut self, now: LocalInstant) {
        self.next_step_at.get_or_insert(now);
    }

    pub(crate) fn stop(&mut self) {
        self.next_step_at = None;
    }

    /// Returns `true` if a step is due now, and schedules the next one if so.
    pub(crate) fn step_if_due(&mut self, now: LocalInstant, connect_timeout: Span, rng: &mut Rng) -> bool {
        if self.next_step_at.is_none_or(|next| now < next) {
            return false;
        }
        self.next_step_at = Some(now + Jitter::WIDE.apply(connect_timeout * SEARCH_INTERVAL, rng));
        true
    }

    /// Records the latest search write.
    pub(crate) fn record_write(&mut self, write: RequestKey) {
        self.latest_write = Some(write);
    }
}

/// A search write and its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SearchWrite {
    pub(crate) request: RequestKey,
    pub(crate) endpoint: EndpointKey,
}

/// Selects the next search write: the first suitable request of the queue, and as its target the endpoint
/// with the latest log position. At most one search write of a group is in flight.
pub(crate) fn next_search_write(
    group: &Group,
    requests: &RequestTable,
    slow_start: &SlowStart,
    cluster: &Cluster,
) -> Option<SearchWrite> {
    let latest_write = group.search().latest_write.and_then(|key| requests.get(key));
    if latest_write.is_some_and(PendingRequest::is_in_flight) {
        return None;
    }
    let queued = group.queue().iter().filter_map(|key| Some((*key, requests.get(*key)?)));
    let (key, request) =
        queued.into_iter().find(|(_, request)| retry::may_be_search_write(request, cluster))?;
    let is_candidate = |endpoint: &EndpointKey| {
        let is_usable = cluster.accepts_requests(*endpoint) && cluster.is_healthy(*endpoint);
        let is_untried = !request.has_tried(*endpoint);
        is_usable && is_untried && slow_start.admits_primary_request(request, *endpoint, cluster)
    };
    let candidates = group.members().iter().copied().filter(is_candidate);
    let endpoint =
        candidates.max_by_key(|endpoint| cluster.endpoint(*endpoint).replication().log_position())?;
    Some(SearchWrite { request: key, endpoint })
}

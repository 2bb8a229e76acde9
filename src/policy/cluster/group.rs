//! A replication group: its endpoints, its primary, and its queued requests.

use std::collections::VecDeque;

use crate::policy::cluster::EndpointKey;
use crate::policy::primary::search::PrimarySearch;
use crate::policy::request::RequestKey;
use crate::time::{LocalInstant, Span};

/// One primary and its replicas.
#[derive(Default)]
pub(crate) struct Group {
    members: Vec<EndpointKey>,
    primary: Option<EndpointKey>,
    /// Requests that cannot be sent yet, in the order in which they were queued.
    queue: VecDeque<RequestKey>,
    /// When requests were last taken from the queue to be sent.
    queue_dispatched_at: LocalInstant,
    search: PrimarySearch,
    last_request_at: LocalInstant,
}

impl Group {
    /// Returns the endpoints of the group, the primary included.
    pub(crate) fn members(&self) -> &[EndpointKey] {
        &self.members
    }

    pub(crate) fn add_member(&mut self, endpoint: EndpointKey) {
        self.members.push(endpoint);
    }

    /// Removes the endpoints that do not match.
    pub(crate) fn retain_members(&mut self, matches: impl FnMut(&EndpointKey) -> bool) {
        self.members.retain(matches);
    }

    /// Returns the primary, if it is known.
    pub(crate) fn primary(&self) -> Option<EndpointKey> {
        self.primary
    }

    /// Sets the primary. Stops the search for a primary if this one is ready; otherwise starts it, unless it
    /// is in progress or the group has no endpoints.
    pub(crate) fn set_primary(&mut self, primary: Option<EndpointKey>, is_ready: bool, now: LocalInstant) {
        self.primary = primary;
        if is_ready {
            self.search.stop();
        } else if !self.members.is_empty() {
            self.search.start(now);
        }
    }

    pub(crate) fn search(&self) -> &PrimarySearch {
        &self.search
    }

    pub(crate) fn search_mut(&mut self) -> &mut PrimarySearch {
        &mut self.search
    }

    /// Records that a request for the group was received.
    pub(crate) fn record_request(&mut self, now: LocalInstant) {
        self.last_request_at = now;
    }

    pub(crate) fn last_request_at(&self) -> LocalInstant {
        self.last_request_at
    }

    /// Returns the requests that cannot be sent yet, in the order in which they were queued.
    pub(crate) fn queue(&self) -> &VecDeque<RequestKey> {
        &self.queue
    }

    /// Appends a request to the queue.
    pub(crate) fn enqueue(&mut self, request: RequestKey) {
        self.queue.push_back(request);
    }

    /// Records that requests of the queue are dispatched now. Returns the time since that was last done.
    pub(crate) fn record_queue_dispatch(&mut self, now: LocalInstant) -> Span {
        now - std::mem::replace(&mut self.queue_dispatched_at, now)
    }

    /// Removes and returns all requests in the queue.
    pub(crate) fn take_queue(&mut self) -> VecDeque<RequestKey> {
        std::mem::take(&mut self.queue)
    }

    /// Puts requests back that were taken from the queue, in front of those that were queued since.
    pub(crate) fn requeue(&mut self, requests: Vec<RequestKey>) {
        for request in requests.into_iter().rev() {
            self.queue.push_front(request);
        }
    }

    /// Removes a search write from the queue and records it as the latest one.
    pub(crate) fn dequeue_search_write(&mut self, write: RequestKey) {
        self.queue.retain(|queued| *queued != write);
        self.search.record_write(write);
    }

    /// Returns `true` if the group has neither endpoints nor queued requests.
    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty() && self.queue.is_empty()
    }
}

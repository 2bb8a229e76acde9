//! A replication group: its endpoints, its primary, and the requests that wait for that.

use std::collections::VecDeque;

use crate::policy::cluster::EndpointKey;
use crate::policy::primary::search::PrimarySearch;
use crate::policy::request::RequestKey;
use crate::time::LocalInstant;

/// One primary and its replicas.
#[derive(Default)]
pub(crate) struct Group {
    members: Vec<EndpointKey>,
    primary: Option<EndpointKey>,
    /// Requests that wait for the primary, in the order of their arrival.
    queue: VecDeque<RequestKey>,
    search: PrimarySearch,
    last_request_at: LocalInstant,
}

impl Group {
    /// Its endpoints.
    pub(crate) fn members(&self) -> &[EndpointKey] {
        &self.members
    }

    /// Adds an endpoint.
    pub(crate) fn add_member(&mut self, endpoint: EndpointKey) {
        self.members.push(endpoint);
    }

    /// Removes the endpoints that do not match.
    pub(crate) fn retain_members(&mut self, matches: impl FnMut(&EndpointKey) -> bool) {
        self.members.retain(matches);
    }

    /// Its primary, if one is known.
    pub(crate) fn primary(&self) -> Option<EndpointKey> {
        self.primary
    }

    /// Takes an endpoint as the primary; unless that is ready, the search for one goes on or begins now.
    pub(crate) fn set_primary(&mut self, primary: Option<EndpointKey>, is_ready: bool, now: LocalInstant) {
        self.primary = primary;
        if is_ready {
            self.search.stop();
        } else if !self.members.is_empty() {
            self.search.start(now);
        }
    }

    /// The search for its primary.
    pub(crate) fn search(&self) -> &PrimarySearch {
        &self.search
    }

    /// The search for its primary, to be continued.
    pub(crate) fn search_mut(&mut self) -> &mut PrimarySearch {
        &mut self.search
    }

    /// Notes that a request for it was received.
    pub(crate) fn request_received(&mut self, now: LocalInstant) {
        self.last_request_at = now;
    }

    /// When the last request for it was received.
    pub(crate) fn last_request_at(&self) -> LocalInstant {
        self.last_request_at
    }

    /// The requests that wait for the primary.
    pub(crate) fn queue(&self) -> &VecDeque<RequestKey> {
        &self.queue
    }

    /// Appends a request to the queue.
    pub(crate) fn enqueue(&mut self, request: RequestKey) {
        self.queue.push_back(request);
    }

    /// Takes all requests out of the queue.
    pub(crate) fn take_queue(&mut self) -> VecDeque<RequestKey> {
        std::mem::take(&mut self.queue)
    }

    /// Puts requests back that were taken from the queue, before those that have joined it since.
    pub(crate) fn requeue(&mut self, requests: Vec<RequestKey>) {
        for request in requests.into_iter().rev() {
            self.queue.push_front(request);
        }
    }

    /// Takes a write out of the queue that is sent in search of a primary.
    pub(crate) fn start_discovery(&mut self, write: RequestKey) {
        self.queue.retain(|queued| *queued != write);
        self.search.start_discovery(write);
    }

    /// Whether nothing belongs to it any more.
    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty() && self.queue.is_empty()
    }
}

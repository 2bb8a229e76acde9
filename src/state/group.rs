//! A replication group.

use std::collections::VecDeque;

use super::{EndpointKey, EventRate, RequestKey};
use crate::time::LocalInstant;

/// One primary and its replicas.
#[derive(Default)]
pub(crate) struct Group {
    pub endpoints: Vec<EndpointKey>,
    pub primary: Option<EndpointKey>,
    /// Requests that wait for the primary, in the order of their arrival.
    pub queued: VecDeque<RequestKey>,
    /// Since when there has been no healthy primary.
    pub searching_since: Option<LocalInstant>,
    /// When the next step of the search for a primary is due.
    pub next_search_at: LocalInstant,
    /// The write that was last sent in search of a primary.
    pub discovery_write: Option<RequestKey>,
    /// When the last request for this group was received.
    pub last_request_at: LocalInstant,
    /// How often requests for this group are received at present, and as a rule.
    pub present_rate: EventRate,
    pub usual_rate: EventRate,
}

impl Group {
    /// Takes an endpoint as the primary; unless that is ready, the search for one goes on or begins now.
    pub fn set_primary(&mut self, primary: Option<EndpointKey>, is_ready: bool, now: LocalInstant) {
        self.primary = primary;
        if is_ready {
            self.searching_since = None;
        } else if self.searching_since.is_none() && !self.endpoints.is_empty() {
            self.searching_since = Some(now);
            self.next_search_at = now;
        }
    }

    /// Puts requests back that were taken from the queue, before those that have joined it since.
    pub fn requeue(&mut self, keys: Vec<RequestKey>) {
        for key in keys.into_iter().rev() {
            self.queued.push_front(key);
        }
    }

    /// Takes a write out of the queue that is sent in search of a primary.
    pub fn start_discovery(&mut self, write: RequestKey) {
        self.queued.retain(|queued| *queued != write);
        self.discovery_write = Some(write);
    }
}

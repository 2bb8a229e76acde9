//! All pending requests by a key that counts up.

use std::collections::{BTreeMap, HashMap};

use super::{Attempt, PendingRequest};
use crate::interface::{AttemptResult, RequestId};

/// The number of a request, from 1 in the order of arrival.
pub(crate) type RequestKey = u64;

/// An attempt in flight: its request, and its number among the attempts of that.
pub(crate) type AttemptInFlight<'a> = (RequestKey, &'a PendingRequest, usize, &'a Attempt);

/// Pending requests by key and by identifier.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestKey, PendingRequest>,
    keys: HashMap<RequestId, RequestKey>,
    last_key: RequestKey,
}

impl RequestTable {
    /// Adds a request.
    pub fn insert(&mut self, request: PendingRequest) -> RequestKey {
        self.last_key += 1;
        self.keys.insert(request.id.clone(), self.last_key);
        self.requests.insert(self.last_key, request);
        self.last_key
    }

    /// The key of a pending request.
    pub fn key(&self, id: &RequestId) -> Option<RequestKey> {
        self.keys.get(id).copied()
    }

    /// A pending request.
    pub fn get(&self, key: RequestKey) -> Option<&PendingRequest> {
        self.requests.get(&key)
    }

    /// A pending request, to be changed.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&key)
    }

    /// A request that has had no final answer.
    pub fn unfinished_mut(&mut self, key: RequestKey) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&key).filter(|request| !request.finished)
    }

    /// Adds an attempt that has just been sent; the request waits in no queue any more.
    pub fn add_attempt(&mut self, key: RequestKey, attempt: Attempt) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.queued = false;
            request.attempts.push(attempt);
        }
    }

    /// Marks a request as finished; it is kept while attempts of it are in flight.
    pub fn finish(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.finished = true;
        if !request.in_flight() {
            self.keys.remove(&request.id);
            self.requests.remove(&key);
        }
    }

    /// Marks the request with this identifier as finished.
    pub fn finish_by_id(&mut self, id: &RequestId) {
        if let Some(key) = self.key(id) {
            self.finish(key);
        }
    }

    /// All attempts in flight, in the order of their requests.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = AttemptInFlight<'_>> {
        self.iter().flat_map(|(key, request)| {
            let attempts = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight);
            attempts.map(move |(number, attempt)| (key, request, number, attempt))
        })
    }

    /// For each of so many endpoints, how many attempts in flight are counted.
    pub fn count_by_endpoint(
        &self,
        endpoints: usize,
        is_counted: impl Fn(&AttemptInFlight) -> bool,
    ) -> Vec<u32> {
        let mut counts = vec![0; endpoints];
        for in_flight in self.attempts_in_flight().filter(is_counted) {
            let (.., attempt) = in_flight;
            counts[attempt.endpoint] += 1;
        }
        counts
    }

    /// The attempt whose end a result tells.
    pub fn attempt(&self, result: &AttemptResult) -> Option<&Attempt> {
        self.get(self.key(&result.id)?)?.attempts.get(result.attempt)
    }

    /// Marks an attempt as ended. Returns its request and a copy of it, unless it had ended before.
    pub fn close_attempt(&mut self, result: &AttemptResult) -> Option<(RequestKey, Attempt)> {
        let key = self.key(&result.id)?;
        let attempt = self.get_mut(key)?.close_attempt(result.attempt, result.outcome)?;
        Some((key, attempt))
    }

    /// All pending requests in the order of their arrival.
    pub fn iter(&self) -> impl Iterator<Item = (RequestKey, &PendingRequest)> {
        self.requests.iter().map(|(key, request)| (*key, request))
    }
}

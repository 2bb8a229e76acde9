//! All pending requests by a key that counts up.

use std::collections::{BTreeMap, HashMap};

use crate::interface::{AttemptResult, RequestId};
use crate::policy::cluster::EndpointKey;
use crate::policy::request::{Attempt, PendingRequest};

/// The number of a request, from 1 in the order of arrival.
pub(crate) type RequestKey = u64;

/// An attempt in flight and its request.
#[derive(Clone, Copy)]
pub(crate) struct AttemptInFlight<'a> {
    /// The key of the request.
    pub(crate) key: RequestKey,
    /// The request.
    pub(crate) request: &'a PendingRequest,
    /// The number of the attempt among those of the request.
    pub(crate) number: usize,
    /// The attempt.
    pub(crate) attempt: &'a Attempt,
}

/// An attempt that has just ended.
pub(crate) struct EndedAttempt {
    /// The key of its request.
    pub(crate) key: RequestKey,
    /// The class of its request.
    pub(crate) class: usize,
    /// The attempt, as it was while in flight.
    pub(crate) attempt: Attempt,
}

/// Pending requests by key and by identifier.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestKey, PendingRequest>,
    keys: HashMap<RequestId, RequestKey>,
    last_key: RequestKey,
}

impl RequestTable {
    /// Adds a request.
    pub(crate) fn insert(&mut self, request: PendingRequest) -> RequestKey {
        self.last_key += 1;
        self.keys.insert(request.id().clone(), self.last_key);
        self.requests.insert(self.last_key, request);
        self.last_key
    }

    /// The key of a pending request.
    pub(crate) fn key(&self, id: &RequestId) -> Option<RequestKey> {
        self.keys.get(id).copied()
    }

    /// A pending request.
    pub(crate) fn get(&self, key: RequestKey) -> Option<&PendingRequest> {
        self.requests.get(&key)
    }

    /// A pending request, to be changed.
    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&key)
    }

    /// A request that has had no final answer.
    pub(crate) fn unfinished_mut(&mut self, key: RequestKey) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&key).filter(|request| !request.is_finished())
    }

    /// Marks a request as finished; it is kept while attempts of it are in flight.
    pub(crate) fn finish(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.finish();
        if !request.is_in_flight() {
            self.keys.remove(request.id());
            self.requests.remove(&key);
        }
    }

    /// Marks the request with this identifier as finished.
    pub(crate) fn finish_by_id(&mut self, id: &RequestId) {
        if let Some(key) = self.key(id) {
            self.finish(key);
        }
    }

    /// All attempts in flight, in the order of their requests.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = AttemptInFlight<'_>> {
        self.iter().flat_map(|(key, request)| {
            let attempts = request.attempts().iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.is_in_flight());
            in_flight.map(move |(number, attempt)| AttemptInFlight { key, request, number, attempt })
        })
    }

    /// For each of so many endpoints, how many attempts in flight match.
    pub(crate) fn count_by_endpoint(
        &self,
        endpoints: usize,
        matches: impl Fn(&AttemptInFlight) -> bool,
    ) -> Vec<u32> {
        let mut counts = vec![0; endpoints];
        for in_flight in self.attempts_in_flight().filter(matches) {
            let endpoint: EndpointKey = in_flight.attempt.endpoint();
            counts[endpoint] += 1;
        }
        counts
    }

    /// The attempt whose end a result reports.
    pub(crate) fn attempt(&self, result: &AttemptResult) -> Option<&Attempt> {
        self.get(self.key(&result.id)?)?.attempts().get(result.attempt)
    }

    /// Marks an attempt as ended. Returns it as it was while in flight, unless it had ended before.
    pub(crate) fn end_attempt(&mut self, result: &AttemptResult) -> Option<EndedAttempt> {
        let key = self.key(&result.id)?;
        let request = self.get_mut(key)?;
        let attempt = request.end_attempt(result.attempt, result.outcome)?;
        Some(EndedAttempt { key, class: request.class(), attempt })
    }

    /// All pending requests in the order of their arrival.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestKey, &PendingRequest)> {
        self.requests.iter().map(|(key, request)| (*key, request))
    }
}

#[cfg(test)]
mod tests;

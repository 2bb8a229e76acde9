//! The pending requests, indexed by an ascending key and by identifier.

use std::collections::{BTreeMap, HashMap};

use crate::interface::{AttemptResult, RequestId};
use crate::policy::cluster::EndpointKey;
use crate::policy::request::{Attempt, PendingRequest};

/// Identifies a pending request. Keys start at 1 and ascend in the order of arrival.
pub(crate) type RequestKey = u64;

/// An attempt in flight together with its request.
#[derive(Clone, Copy)]
pub(crate) struct AttemptInFlight<'a> {
    /// The key of the request.
    pub(crate) key: RequestKey,
    pub(crate) request: &'a PendingRequest,
    /// The index of the attempt among those of the request.
    pub(crate) number: usize,
    pub(crate) attempt: &'a Attempt,
}

/// An attempt that has just ended.
pub(crate) struct EndedAttempt {
    /// The key of its request.
    pub(crate) key: RequestKey,
    /// The class of its request.
    pub(crate) class: usize,
    /// A copy of the attempt from just before it ended.
    pub(crate) attempt: Attempt,
}

/// All pending requests.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestKey, PendingRequest>,
    keys: HashMap<RequestId, RequestKey>,
    last_key: RequestKey,
}

impl RequestTable {
    /// Adds a request and returns its new key.
    pub(crate) fn insert(&mut self, request: PendingRequest) -> RequestKey {
        self.last_key += 1;
        self.keys.insert(request.id().clone(), self.last_key);
        self.requests.insert(self.last_key, request);
        self.last_key
    }

    /// Returns the key of the pending request with this identifier.
    pub(crate) fn key(&self, id: &RequestId) -> Option<RequestKey> {
        self.keys.get(id).copied()
    }

    pub(crate) fn get(&self, key: RequestKey) -> Option<&PendingRequest> {
        self.requests.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&key)
    }

    /// Returns a request that has no final answer yet; `None` for a finished one.
    pub(crate) fn unfinished_mut(&mut self, key: RequestKey) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&key).filter(|request| !request.is_finished())
    }

    /// Marks a request as finished. It is removed unless an attempt is in flight, whose result is still to be
    /// matched.
    pub(crate) fn finish(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.finish();
        if !request.is_in_flight() {
            self.keys.remove(request.id());
            self.requests.remove(&key);
        }
    }

    /// Like [`finish`](Self::finish), for the pending request with this identifier, if any.
    pub(crate) fn finish_by_id(&mut self, id: &RequestId) {
        if let Some(key) = self.key(id) {
            self.finish(key);
        }
    }

    /// Returns all attempts in flight, in the order in which their requests arrived.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = AttemptInFlight<'_>> {
        self.iter().flat_map(|(key, request)| {
            let attempts = request.attempts().iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.is_in_flight());
            in_flight.map(move |(number, attempt)| AttemptInFlight { key, request, number, attempt })
        })
    }

    /// Returns the number of matching attempts in flight for each endpoint key below `endpoints`.
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

    /// Returns the attempt that a result belongs to.
    pub(crate) fn attempt(&self, result: &AttemptResult) -> Option<&Attempt> {
        self.get(self.key(&result.id)?)?.attempts().get(result.attempt)
    }

    /// Marks an attempt as ended. Returns its state before the end, or `None` if it is not known or has
    /// already ended.
    pub(crate) fn end_attempt(&mut self, result: &AttemptResult) -> Option<EndedAttempt> {
        let key = self.key(&result.id)?;
        let request = self.get_mut(key)?;
        let attempt = request.end_attempt(result.attempt, result.outcome)?;
        Some(EndedAttempt { key, class: request.class(), attempt })
    }

    /// Returns all pending requests, in order of arrival.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestKey, &PendingRequest)> {
        self.requests.iter().map(|(key, request)| (*key, request))
    }
}

#[cfg(test)]
mod tests;

//! The check of an attempt whose query could not be sent at once, because its connection had to be opened or
//! synchronized.
//!
//! What qualified the endpoint when the attempt was decided may be outdated by then: another response may
//! have shown that the endpoint is no longer the primary, and the position that a read with bounded staleness
//! requires advances with time. Endpoints that answer from stale data would serve such a read all the same.

use crate::interface::RequestId;
use crate::policy::freshness::{self, Freshness, RequiredPosition};
use crate::policy::request::PendingRequest;
use crate::policy::{EndpointKey, Policy};
use crate::settings::Consistency;
use crate::time::LocalInstant;

impl Policy {
    /// Returns `true` if the query of an attempt may be sent at the time `now`. Otherwise the host program
    /// must end the attempt as [`NotSent`](crate::interface::Outcome::NotSent).
    ///
    /// The host program asks this for each attempt that had to wait for its connection, and sends the query
    /// immediately after.
    pub fn allows_send(&mut self, now: LocalInstant, id: &RequestId, attempt: usize) -> bool {
        self.cluster.advance_to(now);
        let request = self.requests.key(id).and_then(|key| self.requests.get(key));
        let Some(request) = request.filter(|request| !request.is_finished()) else { return false };
        let Some(attempt) = request.attempts().get(attempt) else { return false };
        self.may_serve(attempt.endpoint(), request)
    }

    /// Returns `true` if an endpoint is recent enough for a request, as far as is known. Only its role and
    /// its log position count: whether another endpoint would be a better choice does not.
    fn may_serve(&self, endpoint: EndpointKey, request: &PendingRequest) -> bool {
        let consistency = self.cluster.class(request.class()).consistency;
        match consistency {
            // An endpoint that is not the primary rejects a write without executing it.
            Consistency::Write => true,
            Consistency::Strong => self.cluster.is_primary(endpoint),
            Consistency::Session | Consistency::BoundedStaleness(_) | Consistency::Eventual => {
                let token = request.context().session_token;
                let required = RequiredPosition::for_consistency(consistency, token, &self.cluster);
                let state = self.cluster.endpoint(endpoint);
                self.cluster.is_primary(endpoint)
                    || freshness::freshness(state, required, &self.cluster) != Freshness::Stale
            }
        }
    }
}

//! Slow start: what an endpoint that is warming up may be sent.

use super::Policy;
use crate::state::{EndpointKey, Group, PendingRequest};

/// Share of the reads open to an endpoint that warms up, in multiples of its capacity, at the most ...
const MAX_READ_SHARE: f64 = 1.0;
/// ... and of its overload limit; the rest is left to chance, since reads differ in what they take.
const READ_SHARE_OF_LIMIT: f64 = 0.8;
/// Share of the overload limit that requests bound to a primary that warms up may use.
const PRIMARY_SHARE_OF_LIMIT: f64 = 0.5;

impl Policy {
    fn capacity(&self, endpoint: EndpointKey) -> f64 {
        self.settings.capacity_after(self.now - self.endpoints[endpoint].warming_since)
    }

    /// Whether an endpoint that warms up may have this request, once. Each request's draw admits a share of
    /// all there are, so that hundreds of poolers with a request now and then keep to it together.
    pub(super) fn slow_start_admits(&self, request: &PendingRequest, to: EndpointKey, share: f64) -> bool {
        let capacity = self.capacity(to);
        capacity >= 1.0 || request.sampling_draw < share * capacity && !request.tried(to)
    }

    pub(super) fn primary_slow_start_share(&self) -> f64 {
        self.settings.overload_limit * PRIMARY_SHARE_OF_LIMIT
    }

    /// Share of a group's reads that an endpoint that warms up may have, in multiples of its capacity. Its
    /// overload limit is a multiple of that too, which is at least its part of the group's capacity.
    pub(super) fn read_slow_start_share(&self, group: &Group) -> f64 {
        let usable = group.endpoints.iter().copied().filter(|&endpoint| self.accepts_requests(endpoint));
        let group_capacity: f64 = usable.map(|endpoint| self.capacity(endpoint)).sum();
        let reads = group_capacity.max(1.0) * self.read_share;
        (self.settings.overload_limit * READ_SHARE_OF_LIMIT / reads).min(MAX_READ_SHARE)
    }
}

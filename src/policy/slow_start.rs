//! Slow start: limits the load of endpoints that are warming up.

use super::Policy;
use crate::state::{EndpointKey, Group, PendingRequest};

/// Upper limit of the share of reads for an endpoint that is warming up, in multiples of its capacity ...
const MAX_READ_SHARE: f64 = 1.0;
/// ... and of its overload limit; the rest is a margin, since reads differ in the work that they take.
const READ_SHARE_OF_LIMIT: f64 = 0.8;
/// Share of the overload limit for requests that need a primary that is warming up.
const PRIMARY_SHARE_OF_LIMIT: f64 = 0.5;

impl Policy {
    fn capacity(&self, endpoint: EndpointKey) -> f64 {
        let uptime = self.endpoints[endpoint].min_uptime(&self.clock, self.now);
        uptime.map_or(1.0, |uptime| self.settings.capacity_after(uptime))
    }

    /// Whether an endpoint that is warming up may get this request, at most once. The request's sampling draw
    /// admits a share of all requests, so that hundreds of poolers respect the limit together.
    pub(super) fn slow_start_admits(&self, request: &PendingRequest, to: EndpointKey, share: f64) -> bool {
        let capacity = self.capacity(to);
        capacity >= 1.0 || request.sampling_draw < share * capacity && !request.tried(to)
    }

    /// The same for a request that needs the primary.
    pub(super) fn slow_start_admits_to_primary(&self, request: &PendingRequest, to: EndpointKey) -> bool {
        self.slow_start_admits(request, to, self.settings.overload_limit * PRIMARY_SHARE_OF_LIMIT)
    }

    /// Share of a group's reads, in multiples of an endpoint's capacity: its limit over the group's capacity.
    pub(super) fn read_slow_start_share(&self, group: &Group) -> f64 {
        let group_capacity: f64 = self.usable_endpoints(group).map(|endpoint| self.capacity(endpoint)).sum();
        let reads = group_capacity.max(1.0) * self.read_share;
        (self.settings.overload_limit * READ_SHARE_OF_LIMIT / reads).min(MAX_READ_SHARE)
    }
}

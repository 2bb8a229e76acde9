//! Slow start: limits the load of endpoints that are warming up.

use super::Policy;
use crate::state::{EndpointKey, Group, PendingRequest};

/// Upper limit of the share of reads for an endpoint that is warming up, in multiples of its capacity ...
const MAX_READ_SHARE: f64 = 1.0;
/// ... and of its overload limit; the rest is a margin, since reads differ in the work that they take.
const READ_SHARE_OF_LIMIT: f64 = 0.75;
/// Share of the overload limit for requests that need a primary that is warming up. Reads that overflow to it
/// get the rest.
const PRIMARY_SHARE_OF_LIMIT: f64 = 0.5;
/// Time over which the present rate of requests is taken, as a share of the time for which an endpoint
/// withstands an overload: a burst must be noticed well before that is over.
const PRESENT_RATE_SHARE: f64 = 0.125;
/// Time over which the usual rate of requests is taken (seconds): far longer than a burst.
const USUAL_RATE_TIME: f64 = 60.0;
/// A burst counts towards the usual rate by this multiple of what is usual, so that traffic which has grown
/// for good becomes usual in some minutes.
const USUAL_RATE_GROWTH: f64 = 1.1;

impl Policy {
    fn capacity(&self, endpoint: EndpointKey) -> f64 {
        let uptime = self.endpoints[endpoint].min_uptime(&self.clock, self.now);
        uptime.map_or(1.0, |uptime| self.settings.capacity_after(uptime))
    }

    /// Whether an endpoint that is warming up may get this request, at most once. The request's sampling draw
    /// admits a share of all requests, so that hundreds of poolers respect the limit together.
    ///
    /// The endpoint's capacity does not grow with the traffic: in a burst the share is smaller. How long the
    /// endpoint withstands an overload is the time over which a burst counts.
    pub(super) fn slow_start_admits(&self, request: &PendingRequest, to: EndpointKey, share: f64) -> bool {
        let capacity = self.capacity(to);
        let is_sampled =
            || request.sampling_draw < share * capacity * self.usual_traffic_share(request.group);
        capacity >= 1.0 || is_sampled() && !request.tried(to)
    }

    /// Counts a request that was received for a group. The rates are taken before it: with the request
    /// itself, they would be too high wherever requests are rare.
    pub(super) fn count_group_request(&mut self, group: u32) {
        let now = self.now;
        let present_rate_time = self.settings.overload_window * PRESENT_RATE_SHARE;
        let Some(group) = self.endpoints.groups.get_mut(&group) else { return };
        group.last_request_at = now;
        let present = group.present_rate.per_second(now, present_rate_time);
        let usual = group.usual_rate.per_second(now, USUAL_RATE_TIME);
        let usual_share = if present > usual { usual / present } else { 1.0 };
        group.usual_traffic_share = Some(usual_share);
        group.present_rate.record(1.0, now, present_rate_time);
        group.usual_rate.record((usual_share * USUAL_RATE_GROWTH).min(1.0), now, USUAL_RATE_TIME);
    }

    /// The usual rate of requests for a group, as a share of the present one; 1 outside of bursts.
    fn usual_traffic_share(&self, group: u32) -> f64 {
        let group = self.endpoints.groups.get(&group);
        group.and_then(|group| group.usual_traffic_share).unwrap_or(1.0)
    }

    /// The same for a request that needs the primary.
    pub(super) fn slow_start_admits_to_primary(&self, request: &PendingRequest, to: EndpointKey) -> bool {
        self.slow_start_admits(request, to, self.settings.overload_limit * PRIMARY_SHARE_OF_LIMIT)
    }

    /// Share of a group's reads that may overflow to a primary that is warming up and has its writes besides.
    pub(super) fn primary_read_slow_start_share(&self, read_share: f64) -> f64 {
        read_share * (READ_SHARE_OF_LIMIT - PRIMARY_SHARE_OF_LIMIT) / READ_SHARE_OF_LIMIT
    }

    /// Share of a group's reads, in multiples of an endpoint's capacity: its limit over the group's capacity.
    pub(super) fn read_slow_start_share(&self, group: &Group) -> f64 {
        let group_capacity: f64 = self.usable_endpoints(group).map(|endpoint| self.capacity(endpoint)).sum();
        let reads = group_capacity.max(1.0) * self.read_share;
        (self.settings.overload_limit * READ_SHARE_OF_LIMIT / reads).min(MAX_READ_SHARE)
    }
}

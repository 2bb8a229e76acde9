//! Slow start: limits the load of endpoints that are warming up.

use super::Policy;
use crate::state::{EndpointKey, Group, PendingRequest, SlowStartBudget};
use crate::time::Span;

/// Upper limit of the share of reads for an endpoint that is warming up, in multiples of its capacity ...
const MAX_READ_SHARE: f64 = 1.0;
/// ... and of its overload limit; the rest is a margin, since reads differ in the work that they take.
const READ_SHARE_OF_LIMIT: f64 = 0.8;
/// Share of the overload limit for requests that need a primary that is warming up.
const PRIMARY_SHARE_OF_LIMIT: f64 = 0.5;
/// Share of the overload limit for all requests together, in a burst: the capacity grows meanwhile.
const BUDGET_SHARE_OF_LIMIT: f64 = 0.85;
/// Stands for no limit at all, which settings may leave out.
const MAX_OVERLOAD_LIMIT: f64 = 1e6;
/// What an endpoint may get at once, as a share of what it may get while it withstands an overload.
const BURST_SHARE: f64 = 0.1;
/// Time over which the usual rate of requests is taken (seconds): far longer than a burst.
const USUAL_RATE_TIME: Span = Span::from_secs(60.0);
/// A burst counts towards the usual rate by this multiple of what is usual, so that traffic which has grown
/// for good becomes usual in some minutes.
const USUAL_RATE_GROWTH: f64 = 1.1;

impl Policy {
    fn capacity(&self, endpoint: EndpointKey) -> f64 {
        let uptime = self.endpoints[endpoint].min_uptime(&self.clock, self.now);
        uptime.map_or(1.0, |uptime| self.settings.capacity_after(uptime))
    }

    /// Whether an endpoint that is warming up may get this request, at most once. The request's sampling draw
    /// admits a share of all requests, so that hundreds of poolers respect the limit together. In a burst the
    /// share would be too much: this pooler's part of the limit counts as well.
    pub(super) fn slow_start_admits(&self, request: &PendingRequest, to: EndpointKey, share: f64) -> bool {
        let capacity = self.capacity(to);
        let is_sampled = request.sampling_draw < share * capacity && !request.tried(to);
        capacity >= 1.0 || is_sampled && self.slow_start_budget(to).allows_request()
    }

    /// Notes that a request is sent to an endpoint, which may be warming up.
    pub(super) fn spend_slow_start_budget(&mut self, to: EndpointKey) {
        if self.capacity(to) < 1.0 {
            let mut budget = self.slow_start_budget(to);
            budget.spend();
            self.endpoints[to].slow_start = budget;
        }
    }

    /// What an endpoint may get from this pooler by now: its overload limit, of which the pooler has the part
    /// that it usually has of the group's traffic.
    fn slow_start_budget(&self, endpoint: EndpointKey) -> SlowStartBudget {
        let state = &self.endpoints[endpoint];
        let usual_rate = self.usual_endpoint_rate(state.group);
        let limit =
            self.settings.overload_limit.map_or(MAX_OVERLOAD_LIMIT, |limit| limit.min(MAX_OVERLOAD_LIMIT))
                * BUDGET_SHARE_OF_LIMIT;
        let per_second = limit * self.capacity(endpoint) * usual_rate;
        let most = 1.0 + per_second * self.settings.overload_window.as_secs() * BURST_SHARE;
        let mut budget = state.slow_start;
        budget.earn(per_second, most, self.now);
        budget
    }

    /// The requests per second that an endpoint of a group usually gets from this pooler at its full
    /// capacity, as the traffic of the group tells: an equal part of it, or all that needs the primary.
    fn usual_endpoint_rate(&self, group: u32) -> f64 {
        let Some(group) = self.endpoints.groups.get(&group) else { return 0.0 };
        let equal_part = 1.0 / self.group_capacity(group).max(1.0);
        let part = equal_part.max(1.0 - self.read_share);
        part * group.usual_rate.per_second(self.now, USUAL_RATE_TIME)
    }

    /// Counts a request that was received for a group. The rates are taken before it: with the request
    /// itself, they would be too high wherever requests are rare.
    pub(super) fn count_group_request(&mut self, group: u32) {
        let (now, overload_window) = (self.now, self.settings.overload_window);
        let Some(group) = self.endpoints.groups.get_mut(&group) else { return };
        group.last_request_at = now;
        let present = group.present_rate.per_second(now, overload_window);
        let usual = group.usual_rate.per_second(now, USUAL_RATE_TIME);
        let is_burst = present > usual * USUAL_RATE_GROWTH;
        let weight = if is_burst { usual * USUAL_RATE_GROWTH / present } else { 1.0 };
        group.present_rate.record(1.0, now, overload_window);
        group.usual_rate.record(weight, now, USUAL_RATE_TIME);
    }

    /// The same for a request that needs the primary.
    pub(super) fn slow_start_admits_to_primary(&self, request: &PendingRequest, to: EndpointKey) -> bool {
        let limit = self.settings.overload_limit.unwrap_or(f64::INFINITY);
        self.slow_start_admits(request, to, limit * PRIMARY_SHARE_OF_LIMIT)
    }

    /// Share of a group's reads, in multiples of an endpoint's capacity: its limit over the group's capacity.
    pub(super) fn read_slow_start_share(&self, group: &Group) -> f64 {
        let reads = self.group_capacity(group).max(1.0) * self.read_share;
        (self.settings.overload_limit.unwrap_or(f64::INFINITY) * READ_SHARE_OF_LIMIT / reads)
            .min(MAX_READ_SHARE)
    }

    fn group_capacity(&self, group: &Group) -> f64 {
        self.usable_endpoints(group).map(|endpoint| self.capacity(endpoint)).sum()
    }
}

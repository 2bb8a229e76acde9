//! Slow start: limits what an endpoint that is warming up may get.
//!
//! An endpoint that has just started has only a share of its capacity, and collapses under more than a
//! multiple of that, the overload limit, kept up for the overload window. Poolers do not communicate, so
//! each one limits its own part in two ways:
//!
//! - A share of all requests: each request carries a number drawn once, and only requests whose number lies
//!   below the share may go to the endpoint. Hundreds of poolers respect a share together.
//! - A budget: a token bucket for each such endpoint, which is refilled at the rate that the pooler usually
//!   has of the group's traffic times the overload limit. It holds in a burst, where a share would be too
//!   much.

mod event_rate;

use std::collections::BTreeMap;

use crate::policy::cluster::{Cluster, EndpointKey, Group};
use crate::policy::request::PendingRequest;
use crate::policy::token_bucket::TokenBucket;
use crate::time::{LocalInstant, Span};
use event_rate::EventRate;

/// Largest share of its group's reads for an endpoint that is warming up, in multiples of its capacity.
const MAX_READ_SHARE: f64 = 1.0;
/// Part of the overload limit that reads may take up; the rest is a margin, since reads differ in their work.
const READ_SHARE_OF_LIMIT: f64 = 0.8;
/// Share of the overload limit for requests that need a primary that is warming up.
const PRIMARY_SHARE_OF_LIMIT: f64 = 0.5;
/// Share of the overload limit for all requests together, in a burst: the capacity grows meanwhile.
const BUDGET_SHARE_OF_LIMIT: f64 = 0.85;
/// Stands for an overload limit that the settings leave out, where a rate is computed from it.
const MAX_OVERLOAD_LIMIT: f64 = 1e6;
/// Capacity of a budget beyond one request, as a share of what it earns in the overload window.
const BURST_SHARE: f64 = 0.1;
/// Tokens in the budget of an endpoint that has just started, where the pooler knows of no usual traffic.
/// Other budgets are full at their first use.
const INITIAL_BUDGET: f64 = 1.0;
/// Time over which the usual rate of requests is taken: far longer than a burst.
const USUAL_RATE_TIME: Span = Span::from_secs(60.0);
/// A burst counts towards the usual rate by this multiple of what is usual, so that traffic which has grown
/// for good becomes usual in some minutes.
const USUAL_RATE_GROWTH: f64 = 1.1;
/// Weight of a new sample in the share of reads in the traffic, which changes slowly: about fifty requests.
const READS_IN_TRAFFIC_WEIGHT: f64 = 0.02;

/// How often requests for a group are received.
#[derive(Default)]
struct GroupTraffic {
    present_rate: EventRate,
    usual_rate: EventRate,
}

impl GroupTraffic {
    /// Counts a request. The rates are taken before it: with the request itself, they would be too high
    /// wherever requests are rare.
    fn record(&mut self, now: LocalInstant, overload_window: Span) {
        let present = self.present_rate.per_second(now, overload_window);
        let usual = self.usual_rate.per_second(now, USUAL_RATE_TIME);
        let is_burst = present > usual * USUAL_RATE_GROWTH;
        let weight = if is_burst { usual * USUAL_RATE_GROWTH / present } else { 1.0 };
        self.present_rate.record(1.0, now, overload_window);
        self.usual_rate.record(weight, now, USUAL_RATE_TIME);
    }
}

/// What endpoints that are warming up may get, and the traffic from which this is computed.
pub(crate) struct SlowStart {
    /// Running share of all requests that a replica may answer.
    reads_in_traffic: f64,
    traffic: BTreeMap<u32, GroupTraffic>,
    /// The budget of each endpoint; one that has none yet has [`INITIAL_BUDGET`].
    budgets: Vec<TokenBucket>,
}

impl SlowStart {
    /// Limits that know of no traffic yet.
    pub(crate) fn new() -> SlowStart {
        SlowStart { reads_in_traffic: 1.0, traffic: BTreeMap::new(), budgets: Vec::new() }
    }

    /// Counts a request that was received for a group.
    pub(crate) fn record_request(&mut self, group: u32, needs_primary: bool, cluster: &Cluster) {
        let is_read = f64::from(u8::from(!needs_primary));
        self.reads_in_traffic += READS_IN_TRAFFIC_WEIGHT * (is_read - self.reads_in_traffic);
        let (now, overload_window) = (cluster.now(), cluster.settings().overload_window);
        if let Some(traffic) = self.traffic.get_mut(&group) {
            traffic.record(now, overload_window);
        } else if cluster.group(group).is_some() {
            self.traffic.entry(group).or_default().record(now, overload_window);
        }
    }

    /// Forgets the traffic of groups that are not known any more.
    pub(crate) fn forget_groups(&mut self, cluster: &Cluster) {
        self.traffic.retain(|group, _| cluster.group(*group).is_some());
    }

    /// Gives an endpoint that has started the budget of a new one, see [`INITIAL_BUDGET`].
    pub(crate) fn endpoint_started(&mut self, endpoint: EndpointKey) {
        if let Some(budget) = self.budgets.get_mut(endpoint) {
            *budget = TokenBucket::full(INITIAL_BUDGET);
        }
    }

    /// Whether an endpoint that may be warming up may get this read, at most once. `share` is that of its
    /// group, see [`share_of_reads`](Self::share_of_reads).
    pub(crate) fn admits_read(
        &self,
        request: &PendingRequest,
        to: EndpointKey,
        share: f64,
        cluster: &Cluster,
    ) -> bool {
        let capacity = capacity(to, cluster);
        capacity >= 1.0 || self.admits_share(request, to, share * capacity, cluster)
    }

    /// Whether a primary that may be warming up may get this request, at most once.
    pub(crate) fn admits_to_primary(
        &self,
        request: &PendingRequest,
        to: EndpointKey,
        cluster: &Cluster,
    ) -> bool {
        let capacity = capacity(to, cluster);
        let limit = cluster.settings().overload_limit.unwrap_or(f64::INFINITY);
        let share = limit * PRIMARY_SHARE_OF_LIMIT * capacity;
        capacity >= 1.0 || self.admits_share(request, to, share, cluster)
    }

    fn admits_share(&self, request: &PendingRequest, to: EndpointKey, share: f64, cluster: &Cluster) -> bool {
        let is_sampled = request.context().sampling_value < share && !request.has_tried(to);
        is_sampled && self.budget(to, cluster).has_token()
    }

    /// Share of a group's reads that an endpoint in slow start may get, in multiples of its present
    /// capacity: a part of its overload limit, over what the endpoints of the group get of reads on the
    /// mean.
    pub(crate) fn share_of_reads(&self, group: &Group, cluster: &Cluster) -> f64 {
        let Some(limit) = cluster.settings().overload_limit else { return MAX_READ_SHARE };
        let reads = group_capacity(group, cluster).max(1.0) * self.reads_in_traffic;
        (limit * READ_SHARE_OF_LIMIT / reads).min(MAX_READ_SHARE)
    }

    /// Spends the budget of an endpoint on a request that is sent to it, if it is warming up. The trial of an
    /// ejected primary needs no budget, but uses it.
    pub(crate) fn charge_budget(&mut self, to: EndpointKey, cluster: &Cluster) {
        if capacity(to, cluster) >= 1.0 {
            return;
        }
        let mut budget = self.budget(to, cluster);
        budget.overdraw();
        if self.budgets.len() <= to {
            self.budgets.resize(to + 1, TokenBucket::full(INITIAL_BUDGET));
        }
        self.budgets[to] = budget;
    }

    /// The budget of an endpoint, refilled until now; [`charge_budget`](Self::charge_budget) stores it. It is refilled by
    /// its overload limit, of which the pooler has the part that it usually has of the group's traffic.
    fn budget(&self, endpoint: EndpointKey, cluster: &Cluster) -> TokenBucket {
        let settings = cluster.settings();
        let limit = settings.overload_limit.map_or(MAX_OVERLOAD_LIMIT, |limit| limit.min(MAX_OVERLOAD_LIMIT));
        let usual_rate = self.usual_endpoint_rate(cluster.endpoint(endpoint).listing().group(), cluster);
        let per_second = limit * BUDGET_SHARE_OF_LIMIT * capacity(endpoint, cluster) * usual_rate;
        let most = 1.0 + per_second * settings.overload_window.as_secs() * BURST_SHARE;
        let mut budget = self.budgets.get(endpoint).copied().unwrap_or(TokenBucket::full(INITIAL_BUDGET));
        budget.refill_at(per_second, most, cluster.now());
        budget
    }

    /// The requests per second that an endpoint of a group usually gets from this pooler at its full
    /// capacity, as the traffic of the group shows: an equal part of it, or all that needs the primary.
    fn usual_endpoint_rate(&self, group_id: u32, cluster: &Cluster) -> f64 {
        let Some(group) = cluster.group(group_id) else { return 0.0 };
        let Some(traffic) = self.traffic.get(&group_id) else { return 0.0 };
        let equal_part = 1.0 / group_capacity(group, cluster).max(1.0);
        let part = equal_part.max(1.0 - self.reads_in_traffic);
        part * traffic.usual_rate.per_second(cluster.now(), USUAL_RATE_TIME)
    }
}

/// The present capacity of an endpoint, as a share of its full one.
fn capacity(endpoint: EndpointKey, cluster: &Cluster) -> f64 {
    let uptime = cluster.endpoint(endpoint).listing().min_uptime(cluster.clock(), cluster.now());
    uptime.map_or(1.0, |uptime| cluster.settings().capacity_at_uptime(uptime))
}

fn group_capacity(group: &Group, cluster: &Cluster) -> f64 {
    cluster.usable_endpoints(group).map(|endpoint| capacity(endpoint, cluster)).sum()
}

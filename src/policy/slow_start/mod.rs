//! Slow start: limits the traffic of endpoints that are warming up.
//!
//! An endpoint that has just started has only a share of its full capacity. It collapses if its load exceeds
//! a multiple of its current capacity (the overload limit) throughout the overload window. Poolers do not
//! communicate, so each one limits its own traffic in two ways:
//!
//! - Sampling: each request has a random number that is drawn once, and only requests whose number is below a
//!   share may be sent to the endpoint. This bounds the combined traffic even of hundreds of poolers.
//! - A budget for each endpoint, which is earned at the baseline traffic that this pooler would send to the
//!   endpoint, times the overload limit and the current capacity. It also applies in a traffic burst, in
//!   which the sampled share alone would be too much.
//!
//! A queue that has filled while its group had no primary is let out gradually, see
//! [`SlowStart::queue_release_share`].

mod budget;
mod event_rate;

use std::collections::BTreeMap;

use fastrand::Rng;

use crate::policy::cluster::{Cluster, EndpointKey, Group};
use crate::policy::request::PendingRequest;
use crate::time::{LocalInstant, Span};
use budget::SlowStartBudget;
use event_rate::EventRate;

/// Largest share of the reads of its group for an endpoint in slow start, in multiples of its capacity.
const MAX_READ_SHARE: f64 = 1.0;
/// Share of the overload limit that reads may use. The rest is a margin, because reads differ in their cost.
const READ_SHARE_OF_LIMIT: f64 = 0.8;
/// Share of the overload limit for requests that need the primary, while the primary is in slow start.
const PRIMARY_SHARE_OF_LIMIT: f64 = 0.5;
/// Share of the overload limit for all requests together, in a burst. The capacity grows during the burst.
const BUDGET_SHARE_OF_LIMIT: f64 = 0.85;
/// Overload limit from which refill rates are computed if the settings have none, or a higher one.
const MAX_OVERLOAD_LIMIT: f64 = 1e6;
/// Lifetime of a token, as a share of the overload window: what all poolers together may hold in reserve,
/// beside what they earn in a window.
const TOKEN_LIFETIME_SHARE: f64 = 0.15;
/// Time constant of the baseline request rate: far longer than a burst.
const BASELINE_TIME_CONSTANT: Span = Span::from_secs(60.0);
/// Requests in a burst count towards the baseline rate at no more than this multiple of it, so that the
/// baseline follows lasting growth of the traffic within minutes.
const MAX_BASELINE_GROWTH: f64 = 1.1;
/// Weight of a new sample in the read fraction. The fraction changes slowly: it covers about fifty requests.
const READ_FRACTION_SAMPLE_WEIGHT: f64 = 0.02;

/// Rates of the requests received for a group.
struct GroupTraffic {
    current_rate: EventRate,
    baseline_rate: EventRate,
    /// The baseline rate of an equal share of the requests for each endpoint that was usable at the time.
    baseline_share_rate: EventRate,
}

impl GroupTraffic {
    /// Starts to count the requests for a group that has become known.
    fn starting_at(now: LocalInstant) -> GroupTraffic {
        let rate = EventRate::starting_at(now);
        GroupTraffic { current_rate: rate, baseline_rate: rate, baseline_share_rate: rate }
    }

    /// Counts a request. The rates are computed before the request is added, because including it would make
    /// them too high where requests are rare.
    fn record(&mut self, usable_endpoints: usize, now: LocalInstant, overload_window: Span) {
        let current = self.current_rate.per_second(now, overload_window);
        let baseline = self.baseline_rate.per_second(now, BASELINE_TIME_CONSTANT);
        let is_burst = current > baseline * MAX_BASELINE_GROWTH;
        let weight = if is_burst { baseline * MAX_BASELINE_GROWTH / current } else { 1.0 };
        self.current_rate.record(1.0, now, overload_window);
        self.baseline_rate.record(weight, now, BASELINE_TIME_CONSTANT);
        let share = weight / usable_endpoints.max(1) as f64;
        self.baseline_share_rate.record(share, now, BASELINE_TIME_CONSTANT);
    }
}

/// Budgets of endpoints in slow start, and the traffic statistics from which they are computed.
pub(crate) struct SlowStart {
    /// Moving average of the fraction of requests that a replica may answer.
    read_fraction: f64,
    traffic: BTreeMap<u32, GroupTraffic>,
    /// Budgets of the endpoints that have started since this pooler knows them.
    budgets: BTreeMap<EndpointKey, SlowStartBudget>,
}

impl SlowStart {
    pub(crate) fn new() -> SlowStart {
        SlowStart { read_fraction: 1.0, traffic: BTreeMap::new(), budgets: BTreeMap::new() }
    }

    /// Adds a received request to the traffic statistics of its group.
    pub(crate) fn record_request(&mut self, group: u32, needs_primary: bool, cluster: &Cluster) {
        let is_read = f64::from(u8::from(!needs_primary));
        self.read_fraction += READ_FRACTION_SAMPLE_WEIGHT * (is_read - self.read_fraction);
        let (now, overload_window) = (cluster.now(), cluster.settings().overload_window);
        let members = cluster.group(group);
        let usable_endpoints = members.map_or(0, |members| cluster.usable_endpoints(members).count());
        if let Some(traffic) = self.traffic.get_mut(&group) {
            traffic.record(usable_endpoints, now, overload_window);
        }
    }

    /// Starts the traffic statistics of groups that have become known, and removes those of groups that no
    /// longer exist.
    pub(crate) fn update_groups(&mut self, cluster: &Cluster) {
        self.traffic.retain(|group, _| cluster.group(*group).is_some());
        for group in cluster.endpoints().group_ids() {
            self.traffic.entry(group).or_insert_with(|| GroupTraffic::starting_at(cluster.now()));
        }
    }

    /// Starts the budget of an endpoint that was added or has restarted, if it is in slow start.
    pub(crate) fn start_budget(&mut self, endpoint: EndpointKey, cluster: &Cluster, rng: &mut Rng) {
        self.budgets.remove(&endpoint);
        if capacity(endpoint, cluster) < 1.0 {
            self.budgets.insert(endpoint, SlowStartBudget::new(cluster.now(), rng));
        }
    }

    /// Returns `true` if slow start admits a read to an endpoint. An endpoint in slow start gets the same
    /// request at most once. `share` is the [`read_share`](Self::read_share) of its group.
    pub(crate) fn admits_read(
        &self,
        request: &PendingRequest,
        to: EndpointKey,
        share: f64,
        cluster: &Cluster,
    ) -> bool {
        let capacity = capacity(to, cluster);
        if capacity >= 1.0 {
            return true;
        }
        is_sampled(request, to, share * capacity) && self.has_budget(to, SlowStartBudget::has_token, cluster)
    }

    /// Returns `true` if slow start admits a request that needs the primary to an endpoint. An endpoint in
    /// slow start gets the same request at most once.
    pub(crate) fn admits_primary_request(
        &self,
        request: &PendingRequest,
        to: EndpointKey,
        cluster: &Cluster,
    ) -> bool {
        let capacity = capacity(to, cluster);
        if capacity >= 1.0 {
            return true;
        }
        let limit = cluster.settings().overload_limit.unwrap_or(f64::INFINITY);
        let share = limit * PRIMARY_SHARE_OF_LIMIT * capacity;
        is_sampled(request, to, share) && self.has_budget(to, SlowStartBudget::has_or_lends_token, cluster)
    }

    /// Returns the share of the requests queued for the primary that may be sent to it now, if `elapsed` has
    /// passed since the last of them were. All poolers learn of a new primary at about the same time, so that
    /// what has been queued for seconds must not be sent at once while the primary is in slow start. As long
    /// as this pooler has tokens, these limit it instead.
    pub(crate) fn queue_release_share(
        &self,
        primary: EndpointKey,
        elapsed: Span,
        queue_time: Span,
        cluster: &Cluster,
    ) -> f64 {
        if capacity(primary, cluster) >= 1.0
            || queue_time <= Span::ZERO
            || self.has_budget(primary, SlowStartBudget::has_token, cluster)
        {
            return 1.0;
        }
        elapsed / queue_time
    }

    /// Returns the share of the reads of a group that an endpoint in slow start may get, in multiples of its
    /// current capacity: a part of its overload limit, divided by the capacity of the group and by the read
    /// fraction.
    pub(crate) fn read_share(&self, group: &Group, cluster: &Cluster) -> f64 {
        let Some(limit) = cluster.settings().overload_limit else { return MAX_READ_SHARE };
        let reads = group_capacity(group, cluster).max(1.0) * self.read_fraction;
        (limit * READ_SHARE_OF_LIMIT / reads).min(MAX_READ_SHARE)
    }

    /// Charges a request to the budget of the endpoint that it is sent to, if the endpoint is in slow start.
    pub(crate) fn charge_budget(&mut self, to: EndpointKey, cluster: &Cluster) {
        if capacity(to, cluster) >= 1.0 {
            return;
        }
        if let Some(mut budget) = self.budget(to, cluster) {
            budget.withdraw();
            self.budgets.insert(to, budget);
        }
    }

    /// Returns `true` if an endpoint has a budget that permits a request, according to `permits`.
    fn has_budget(
        &self,
        endpoint: EndpointKey,
        permits: fn(&SlowStartBudget) -> bool,
        cluster: &Cluster,
    ) -> bool {
        self.budget(endpoint, cluster).is_some_and(|budget| permits(&budget))
    }

    /// Returns the budget of an endpoint, updated to now; [`charge_budget`](Self::charge_budget) stores it.
    /// The rate is this pooler's baseline traffic for the endpoint, times a share of the overload limit and
    /// the current capacity.
    fn budget(&self, endpoint: EndpointKey, cluster: &Cluster) -> Option<SlowStartBudget> {
        let settings = cluster.settings();
        let limit = settings.overload_limit.map_or(MAX_OVERLOAD_LIMIT, |limit| limit.min(MAX_OVERLOAD_LIMIT));
        let baseline_rate =
            self.baseline_endpoint_rate(cluster.endpoint(endpoint).listing().group(), cluster);
        let per_second = limit * BUDGET_SHARE_OF_LIMIT * capacity(endpoint, cluster) * baseline_rate;
        let mut budget = *self.budgets.get(&endpoint)?;
        budget.update(per_second, settings.overload_window * TOKEN_LIFETIME_SHARE, cluster.now());
        Some(budget)
    }

    /// Returns the requests per second that an endpoint at its full capacity gets from this pooler at the
    /// baseline traffic of its group: an equal share of all requests, or all requests that need the primary,
    /// whichever is more. The share is that of the baseline, since the loss of an endpoint does not raise the
    /// capacity of the others.
    fn baseline_endpoint_rate(&self, group: u32, cluster: &Cluster) -> f64 {
        let Some(traffic) = self.traffic.get(&group) else { return 0.0 };
        let per_second = |rate: &EventRate| rate.per_second(cluster.now(), BASELINE_TIME_CONSTANT);
        let at_primary = (1.0 - self.read_fraction) * per_second(&traffic.baseline_rate);
        at_primary.max(per_second(&traffic.baseline_share_rate))
    }
}

/// Returns `true` if a request is among a share of all requests, and was not sent to the endpoint before.
fn is_sampled(request: &PendingRequest, to: EndpointKey, share: f64) -> bool {
    request.context().sampling_value < share && !request.has_tried(to)
}

/// Returns the current capacity of an endpoint, as a share of its full capacity.
fn capacity(endpoint: EndpointKey, cluster: &Cluster) -> f64 {
    let uptime = cluster.endpoint(endpoint).listing().min_uptime(cluster.clock(), cluster.now());
    uptime.map_or(1.0, |uptime| cluster.settings().capacity_at_uptime(uptime))
}

fn group_capacity(group: &Group, cluster: &Cluster) -> f64 {
    cluster.usable_endpoints(group).map(|endpoint| capacity(endpoint, cluster)).sum()
}

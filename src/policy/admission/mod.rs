//! Admission control: load shedding by predicted latency, and tenant quotas.
//!
//! A request is admitted to an endpoint if its predicted latency is at most a share of its latency objective.
//! The share grows with the priority of the request, so that requests of low priority are rejected first
//! under overload. The prediction scales the recent latency of the class by the load of the endpoint.

mod latency;

use crate::policy::cluster::{Cluster, EndpointKey};
use crate::policy::request::{PendingRequest, QuotaStatus};
use crate::policy::token_bucket::TokenBucket;
use crate::settings::{RequestClass, Settings};
use crate::time::{LocalInstant, Span};
pub(crate) use latency::LatencyEstimator;

/// Share of the latency objective that the predicted latency may take at the lowest priority.
const MIN_OBJECTIVE_SHARE: f64 = 0.45;
/// Share of the latency objective that the predicted latency may take at the highest priority.
const MAX_OBJECTIVE_SHARE: f64 = 0.75;
/// Number of requests in flight at an endpoint, over all poolers, up to which the predicted latency is
/// ignored.
const UNCONDITIONAL_IN_FLIGHT: f64 = 8.0;
/// Smallest burst allowed to a tenant. With many poolers, the share of one pooler in the quota can be less
/// than one request per second.
const MIN_TENANT_BURST: f64 = 2.0;
/// Load shedding is logged again if no request was shed during this time.
const SHEDDING_LOG_INTERVAL: Span = Span::from_secs(1.0);
/// Initial latency estimate of a class, as a share of its latency objective.
const INITIAL_LATENCY_SHARE: f64 = 0.25;
/// Weight of a new sample in the latency of a class: the estimate covers about ten answers.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;
/// Lower limit of the latency from which a priority is computed: faster classes count as equally fast.
const MIN_PRIORITY_LATENCY: Span = Span::from_secs(1e-3);
/// Lower limit of the highest priority, which avoids a division by zero if all classes have priority 0.
const MIN_HIGHEST_PRIORITY: f64 = 1e-9;

/// Latency estimates by class, and tenant quotas.
pub(crate) struct Admission {
    /// Latency of successful attempts, indexed by class.
    latencies: Vec<LatencyEstimator>,
    /// This pooler's share of each quota, indexed by tenant; `None` for tenants without a limit.
    tenant_quotas: Vec<Option<TokenBucket>>,
    /// Load shedding is not logged before this time.
    shedding_log_muted_until: Option<LocalInstant>,
}

impl Admission {
    pub(crate) fn new(settings: &Settings) -> Admission {
        let poolers = f64::from(settings.pooler_count);
        let initial_latency =
            |class: &RequestClass| LatencyEstimator::new(class.latency_objective * INITIAL_LATENCY_SHARE);
        let bucket = |quota: &Option<f64>| {
            quota.map(|per_second| TokenBucket::with_refill_rate(per_second / poolers, MIN_TENANT_BURST))
        };
        Admission {
            latencies: settings.classes.iter().map(initial_latency).collect(),
            tenant_quotas: settings.tenant_quotas.iter().map(bucket).collect(),
            shedding_log_muted_until: None,
        }
    }

    /// Charges a request to the quota of its tenant. A tenant that is not in the settings is unlimited.
    pub(crate) fn charge_quota(&mut self, tenant: usize, now: LocalInstant) -> QuotaStatus {
        let quota = self.tenant_quotas.get_mut(tenant).and_then(Option::as_mut);
        if quota.is_none_or(|quota| quota.refill(now).withdraw_saturating()) {
            QuotaStatus::Within
        } else {
            QuotaStatus::Exceeded
        }
    }

    pub(crate) fn class_latency(&self, class: usize) -> &LatencyEstimator {
        &self.latencies[class]
    }

    /// Adds the latency of a successful attempt to the estimate of its class.
    pub(crate) fn record_latency(&mut self, class: usize, latency: Span) {
        self.latencies[class].record(latency, LATENCY_SAMPLE_WEIGHT);
    }

    /// Predicts the latency of one more request of a class at an endpoint.
    pub(crate) fn predicted_latency(&self, to: EndpointKey, class: usize, cluster: &Cluster) -> Span {
        let class_mean = self.latencies[class].mean();
        cluster.endpoint(to).load().predict_latency(class_mean, cluster.now())
    }

    /// Returns `true` if an endpoint is predicted to answer a request in time, or the prediction is ignored
    /// (see [`admits_unconditionally`]). The latency objective is multiplied by `objective_factor`; a factor
    /// below 1 reserves capacity for other requests.
    pub(crate) fn admits(
        &self,
        request: &PendingRequest,
        to: EndpointKey,
        objective_factor: f64,
        cluster: &Cluster,
    ) -> bool {
        // A late request is measured by its deadline, but gets no more time than the latency objective of its
        // class: in a longer queue it would delay requests that are still in time.
        let is_late = cluster.now() >= request.context().objective_expires_at;
        let ends_at =
            if is_late { request.context().deadline } else { request.context().objective_expires_at };
        let time_left = ends_at - cluster.now();
        let objective = time_left.min(cluster.class(request.class()).latency_objective) * objective_factor;
        let priority = self.relative_priority(request, cluster);
        let share = MIN_OBJECTIVE_SHARE + (MAX_OBJECTIVE_SHARE - MIN_OBJECTIVE_SHARE) * priority;
        let predicted = self.predicted_latency(to, request.class(), cluster);
        predicted <= objective * share || admits_unconditionally(to, predicted, cluster)
    }

    /// Returns the priority relative to the class of the highest priority, reduced for requests beyond the
    /// quota of their tenant.
    fn relative_priority(&self, request: &PendingRequest, cluster: &Cluster) -> f64 {
        let settings = cluster.settings();
        let classes = settings.classes.iter().zip(&self.latencies);
        let priorities = classes.map(|(class, latency)| priority(class, latency));
        let highest = priorities.fold(MIN_HIGHEST_PRIORITY, f64::max);
        let own = priority(cluster.class(request.class()), &self.latencies[request.class()]) / highest;
        match request.context().quota_status {
            QuotaStatus::Within => own,
            QuotaStatus::Exceeded => own * settings.over_quota_weight,
        }
    }

    /// Records that a request was shed. Returns `true` if that should be logged.
    pub(crate) fn record_shedding(&mut self, now: LocalInstant) -> bool {
        let should_log = self.shedding_log_muted_until.is_none_or(|until| now >= until);
        self.shedding_log_muted_until = Some(now + SHEDDING_LOG_INTERVAL);
        should_log
    }
}

/// Returns `true` if a request is admitted regardless of its predicted latency, so that the estimates can
/// recover: while this pooler's requests in flight at the endpoint, this one included, do not exceed its
/// share of [`UNCONDITIONAL_IN_FLIGHT`], and otherwise at the rate that this share would sustain at the
/// predicted latency.
fn admits_unconditionally(to: EndpointKey, predicted: Span, cluster: &Cluster) -> bool {
    let load = cluster.endpoint(to).load();
    let pooler_share = UNCONDITIONAL_IN_FLIGHT / f64::from(cluster.settings().pooler_count);
    let is_within_share = f64::from(load.in_flight_and_abandoned(cluster.now()) + 1) <= pooler_share;
    is_within_share
        || load.last_sent_at().is_none_or(|sent_at| cluster.now() - sent_at > predicted / pooler_share)
}

/// Returns the priority weight divided by the square root of the latency. Of classes of equal weight, the
/// faster one is preferred, but not in proportion to its speed.
fn priority(class: &RequestClass, latency: &LatencyEstimator) -> f64 {
    class.priority_weight / latency.mean().max(MIN_PRIORITY_LATENCY).as_secs().sqrt()
}

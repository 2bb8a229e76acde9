//! Admission: load shedding by predicted latency, and the quotas of tenants.
//!
//! A request is admitted to an endpoint if its predicted latency takes no more than a share of its latency
//! objective. The share is larger for requests of higher priority, so that under overload the others are
//! rejected first. The prediction is the recent latency of the class times the load of the endpoint.

mod latency;

use crate::policy::cluster::{Cluster, EndpointKey};
use crate::policy::request::{PendingRequest, QuotaStatus};
use crate::policy::token_bucket::TokenBucket;
use crate::settings::{RequestClass, Settings};
use crate::time::{LocalInstant, Span};
pub(crate) use latency::LatencyEstimator;

/// Share of the latency objective that the predicted latency may take, for the lowest priority ...
const MIN_OBJECTIVE_SHARE: f64 = 0.45;
/// ... and for the class of the highest priority.
const MAX_OBJECTIVE_SHARE: f64 = 0.75;
/// Requests in flight at an endpoint, from all poolers together, that are admitted in any case.
const ALWAYS_ADMITTED: f64 = 8.0;
/// Smallest burst of a tenant: with many poolers, one second of its quota is less than one request.
const MIN_TENANT_BURST: f64 = 2.0;
/// Load shedding is logged again once it has paused for this long.
const SHEDDING_LOG_INTERVAL: Span = Span::from_secs(1.0);
/// Initial estimate of a class's latency, as a share of its objective.
const INITIAL_LATENCY_SHARE: f64 = 0.25;
/// Weight of a new sample in the latency of a class, which so covers about ten answers.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;
/// Shortest latency that lowers a priority: below it, classes count as equally quick.
const MIN_PRIORITY_LATENCY: Span = Span::from_secs(1e-3);
/// Lowest priority that others are compared with, in case every class has none.
const MIN_HIGHEST_PRIORITY: f64 = 1e-9;

/// The latencies of the classes and the quotas of the tenants.
pub(crate) struct Admission {
    /// Latency of successful attempts, by class.
    latencies: Vec<LatencyEstimator>,
    /// This pooler's part of each quota; none for tenants without a limit.
    tenant_quotas: Vec<Option<TokenBucket>>,
    /// Load shedding is not logged again before then.
    shedding_logged_until: Option<LocalInstant>,
}

impl Admission {
    /// Estimates to begin with, and full quotas.
    pub(crate) fn new(settings: &Settings) -> Admission {
        let poolers = f64::from(settings.pooler_count);
        let initial_latency =
            |class: &RequestClass| LatencyEstimator::new(class.latency_objective * INITIAL_LATENCY_SHARE);
        let bucket = |quota: &Option<f64>| {
            quota.map(|per_second| TokenBucket::earning(per_second / poolers, MIN_TENANT_BURST))
        };
        Admission {
            latencies: settings.classes.iter().map(initial_latency).collect(),
            tenant_quotas: settings.tenant_quotas.iter().map(bucket).collect(),
            shedding_logged_until: None,
        }
    }

    /// Charges a request to the quota of its tenant.
    pub(crate) fn charge_quota(&mut self, tenant: usize, now: LocalInstant) -> QuotaStatus {
        let quota = self.tenant_quotas.get_mut(tenant).and_then(Option::as_mut);
        if quota.is_none_or(|quota| quota.refill(now).withdraw_up_to_one()) {
            QuotaStatus::Within
        } else {
            QuotaStatus::Exceeded
        }
    }

    /// The latency of a class.
    pub(crate) fn class_latency(&self, class: usize) -> &LatencyEstimator {
        &self.latencies[class]
    }

    /// Takes in the latency of a successful attempt.
    pub(crate) fn record_latency(&mut self, class: usize, latency: Span) {
        self.latencies[class].record(latency, LATENCY_SAMPLE_WEIGHT);
    }

    /// Expected latency of one more request of a class at an endpoint.
    pub(crate) fn predicted_latency(&self, to: EndpointKey, class: usize, cluster: &Cluster) -> Span {
        let class_mean = self.latencies[class].mean();
        cluster.endpoint(to).load().predict_latency(class_mean, cluster.now())
    }

    /// Whether an endpoint can answer a request in time. `objective_factor` is the part of the latency
    /// objective that is counted with: less than 1 keeps capacity for other requests.
    pub(crate) fn admits(
        &self,
        request: &PendingRequest,
        to: EndpointKey,
        objective_factor: f64,
        cluster: &Cluster,
    ) -> bool {
        // A late request must not wait in a longer queue: it would delay the requests that are still in time.
        let is_late = cluster.now() >= request.context().objective_expires_at;
        let ends_at =
            if is_late { request.context().deadline } else { request.context().objective_expires_at };
        let time_left = ends_at - cluster.now();
        let objective = time_left.min(cluster.class(request.class()).latency_objective) * objective_factor;
        let priority = self.relative_priority(request, cluster);
        let share = MIN_OBJECTIVE_SHARE + (MAX_OBJECTIVE_SHARE - MIN_OBJECTIVE_SHARE) * priority;
        let predicted = self.predicted_latency(to, request.class(), cluster);
        predicted <= objective * share || always_admits(to, predicted, cluster)
    }

    /// Priority relative to the class with the highest one; lower beyond the tenant's quota.
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

    /// Notes that load is shed. Returns whether that is to be logged.
    pub(crate) fn record_shedding(&mut self, now: LocalInstant) -> bool {
        let is_logged = self.shedding_logged_until.is_none_or(|until| now >= until);
        self.shedding_logged_until = Some(now + SHEDDING_LOG_INTERVAL);
        is_logged
    }
}

/// Some requests are admitted whatever the prediction, so that estimates can recover: while the pooler has
/// few in flight there, and one in each time that its part of [`ALWAYS_ADMITTED`] takes.
fn always_admits(to: EndpointKey, predicted: Span, cluster: &Cluster) -> bool {
    let load = cluster.endpoint(to).load();
    let own_share = ALWAYS_ADMITTED / f64::from(cluster.settings().pooler_count);
    let has_few = f64::from(load.total(cluster.now()) + 1) <= own_share;
    has_few || load.last_sent_at().is_none_or(|sent_at| cluster.now() - sent_at > predicted / own_share)
}

/// Weight over the root of the latency: of equal weights the quicker class is preferred, but not strictly.
fn priority(class: &RequestClass, latency: &LatencyEstimator) -> f64 {
    class.priority_weight / latency.mean().max(MIN_PRIORITY_LATENCY).as_secs().sqrt()
}

//! Admission: load shedding by predicted latency, tenant quotas and Retry-After.

use super::{NoRoute, Policy, Route};
use crate::interface::{Action, StateChange};
use crate::settings::RequestClass;
use crate::state::{EndpointKey, LatencyEstimator, PendingRequest, RequestKey};
use crate::time::Span;

/// Share of the latency objective that the predicted latency may take, for the lowest priority ...
const MIN_OBJECTIVE_SHARE: f64 = 0.45;
/// ... and for the class of the highest priority.
const MAX_OBJECTIVE_SHARE: f64 = 0.75;
/// Requests in flight at an endpoint, from all poolers together, that are admitted in any case.
const ALWAYS_ADMITTED: f64 = 8.0;
/// Retry-After of a rejection, as a share of the objective: short, so that the retry still falls within it.
const RETRY_AFTER_SHARE: f64 = 0.12;
/// Smallest burst of a tenant: with many poolers, one second of its quota is less than one request.
pub(super) const MIN_TENANT_BURST: f64 = 2.0;
/// Load shedding is logged again once it has paused for this long (seconds).
const SHEDDING_LOG_INTERVAL: Span = Span::from_secs(1.0);

impl Policy {
    /// Expected latency of one more request, from the recent latency of its class and the endpoint's load.
    pub(super) fn predicted_latency(&self, endpoint: EndpointKey, class: usize) -> Span {
        let load = &self.endpoints[endpoint].load;
        let load_factor = (f64::from(load.total(self.now)) + 1.0) / (load.usual + 1.0);
        self.latency[class].mean * load.latency_ratio.max(0.5) * load_factor.max(1.0)
    }

    /// Rejects a request that cannot be answered within this share of its objective, low priorities first.
    pub(super) fn admit(&self, request: &PendingRequest, to: EndpointKey, objective_share: f64) -> Route {
        // A late request must not wait in a longer queue: it would delay the requests that are still in time.
        let is_late = self.now >= request.objective_at;
        let time_left = if is_late { request.deadline } else { request.objective_at } - self.now;
        let objective = time_left.min(self.class(request.class).latency_objective) * objective_share;
        let priority = self.relative_priority(request);
        let share = MIN_OBJECTIVE_SHARE + (MAX_OBJECTIVE_SHARE - MIN_OBJECTIVE_SHARE) * priority;
        let predicted = self.predicted_latency(to, request.class);
        let is_admitted = predicted <= objective * share || self.always_admits(to, predicted);
        is_admitted.then_some(to).ok_or(NoRoute::Reject)
    }

    /// Priority relative to the class with the highest one; lower beyond the tenant's quota.
    fn relative_priority(&self, request: &PendingRequest) -> f64 {
        let classes = self.settings.classes.iter().zip(&self.latency);
        let highest = classes.map(|(class, latency)| priority(class, latency)).fold(1e-9, f64::max);
        let own = priority(self.class(request.class), &self.latency[request.class]) / highest;
        own * if request.over_quota { self.settings.over_quota_weight } else { 1.0 }
    }

    /// Some requests are admitted whatever the prediction, so that estimates can recover: few per pooler.
    fn always_admits(&self, endpoint: EndpointKey, predicted: Span) -> bool {
        let load = &self.endpoints[endpoint].load;
        let own_share = ALWAYS_ADMITTED / f64::from(self.settings.pooler_count);
        let has_few = f64::from(load.total(self.now) + 1) <= own_share;
        has_few || self.now - load.last_sent_at > predicted / own_share
    }

    pub(super) fn shed(&mut self, key: RequestKey) {
        if self.shedding_until.is_none_or(|until| self.now >= until) {
            self.actions.push(Action::Log(StateChange::SheddingLoad));
        }
        self.shedding_until = Some(self.now + SHEDDING_LOG_INTERVAL);
        self.reject_or_fail(key);
    }

    /// Gives up a request: the final answer is a rejection where a retry by the client is harmless.
    pub(super) fn reject_or_fail(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else { return };
        let (class, id) = (self.class(request.class), request.id.clone());
        if class.clients_may_retry() || request.may_have_run_since().is_none() {
            let is_late = self.now >= request.objective_at - self.settings.tick;
            let is_useless = is_late && class.late_weight == 0.0;
            let soon = class.latency_objective * RETRY_AFTER_SHARE;
            let wait = if is_useless { class.deadline } else { soon };
            let wait = (wait * (0.5 + self.rng.f64())).min(self.settings.max_retry_after);
            let retry_after = self.settings.send_retry_after.then_some(wait);
            self.actions.push(Action::Reject { id, retry_after });
        } else {
            self.actions.push(Action::Fail { id });
        }
        self.requests.finish(key);
    }
}

/// Weight over the root of the latency: of equal weights the quicker class is preferred, but not strictly.
fn priority(class: &RequestClass, latency: &LatencyEstimator) -> f64 {
    class.priority_weight / latency.mean.as_secs().max(1e-3).sqrt()
}

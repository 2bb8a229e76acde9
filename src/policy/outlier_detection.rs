//! Outlier detection: failure scores, ejection, trial requests and reinstatement.

use super::Policy;
use crate::interface::{Action, StateChange};
use crate::state::{EndpointKey, OutlierDetector};
use crate::time::{LocalInstant, Span};
use fastrand::Rng;

/// Failure score at which an endpoint is ejected: two plain failures or one dead process.
pub(super) const EJECTION_SCORE: f64 = 2.0;
pub(super) const FAILURE: f64 = 1.0;
/// Weight of a failure that may be due to a single connection: a second one soon after ejects.
pub(super) const CONNECTION_LOST: f64 = 0.55 * EJECTION_SCORE;
/// Weight of a connection that broke under a request.
pub(super) const CONNECTION_RESET: f64 = 0.25 * EJECTION_SCORE;
/// Half-life of the failure score, in multiples of the connect timeout.
const SCORE_HALF_LIFE: f64 = 8.0;
/// Duration of the first ejection, in multiples of the connect timeout; doubles with each relapse ...
const FIRST_EJECTION: f64 = 2.0;
/// ... up to this multiple, so that a recovered endpoint is reinstated within a few seconds.
pub(super) const MAX_EJECTION: f64 = 12.0;
const MAX_COUNTED_EJECTIONS: i32 = 5;

impl OutlierDetector {
    /// Adds a failure to the score. Returns whether it ejects the endpoint. `unit` is the connect timeout.
    pub(crate) fn record_failure(
        &mut self,
        weight: f64,
        now: LocalInstant,
        unit: Span,
        rng: &mut Rng,
    ) -> bool {
        let half_lives = (now - self.score_updated_at) / (unit * SCORE_HALF_LIFE);
        self.failure_score = self.failure_score * 0.5f64.powf(half_lives) + weight;
        self.score_updated_at = now;
        if self.failure_score < EJECTION_SCORE || self.is_ejected && now < self.ejected_until {
            return false;
        }
        // One successful trial does not clear an endpoint that fails now and then: a relapse lasts longer.
        let is_relapse = self.is_ejected || now - self.reinstated_at < unit * MAX_EJECTION;
        let earlier = if is_relapse { self.consecutive_ejections } else { 0 };
        self.consecutive_ejections = (earlier + 1).min(MAX_COUNTED_EJECTIONS);
        let doublings = f64::from(1 << (self.consecutive_ejections - 1));
        let duration = (FIRST_EJECTION * doublings).min(MAX_EJECTION) * unit;
        self.ejected_until = now + duration * (0.75 + 0.5 * rng.f64());
        !std::mem::replace(&mut self.is_ejected, true)
    }

    /// Notes that a request was served. Returns whether that reinstates the endpoint.
    pub(crate) fn record_success(&mut self, now: LocalInstant) -> bool {
        self.failure_score *= 0.5;
        let is_reinstated = std::mem::take(&mut self.is_ejected);
        if is_reinstated {
            self.failure_score = 0.0;
            self.reinstated_at = now;
        }
        is_reinstated
    }

    /// Whether the endpoint is ejected and may have the one request that tries it.
    pub(crate) fn is_trial_due(&self, now: LocalInstant) -> bool {
        self.is_ejected && now >= self.ejected_until && !self.trial_in_flight
    }
}

impl Policy {
    pub(super) fn record_failure(&mut self, endpoint: EndpointKey, weight: f64) {
        let endpoint = &mut self.endpoints[endpoint];
        if endpoint.health.record_failure(weight, self.now, self.settings.connect_timeout, &mut self.rng) {
            self.actions.push(Action::Log(StateChange::Ejected(endpoint.id.clone())));
        }
    }

    pub(super) fn record_success(&mut self, endpoint: EndpointKey) {
        let endpoint = &mut self.endpoints[endpoint];
        if endpoint.health.record_success(self.now) {
            endpoint.load.latency_ratio = 1.0;
            self.actions.push(Action::Log(StateChange::Reinstated(endpoint.id.clone())));
        }
    }
}

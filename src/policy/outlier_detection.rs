//! Outlier detection: failure scores, ejection, trial requests and reinstatement.

use super::Policy;
use crate::interface::{Action, StateChange};
use crate::state::EndpointKey;

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

impl Policy {
    /// Adds a failure to an endpoint's score, which may eject it.
    pub(super) fn record_failure(&mut self, endpoint: EndpointKey, weight: f64) {
        let (now, unit) = (self.now, self.settings.connect_timeout);
        let endpoint = &mut self.endpoints[endpoint];
        let health = &mut endpoint.health;
        let half_lives = (now - health.score_updated_at) / (unit * SCORE_HALF_LIFE);
        health.failure_score = health.failure_score * 0.5f64.powf(half_lives) + weight;
        health.score_updated_at = now;
        if health.failure_score < EJECTION_SCORE || health.ejected && now < health.ejected_until {
            return;
        }
        // One successful trial does not clear an endpoint that fails now and then: a relapse lasts longer.
        let is_relapse = health.ejected || now - health.reinstated_at < unit * MAX_EJECTION;
        let earlier = if is_relapse { health.consecutive_ejections } else { 0 };
        health.consecutive_ejections = (earlier + 1).min(MAX_COUNTED_EJECTIONS);
        let doublings = f64::from(1 << (health.consecutive_ejections - 1));
        let duration = (FIRST_EJECTION * doublings).min(MAX_EJECTION) * unit;
        health.ejected_until = now + duration * (0.75 + 0.5 * self.rng.f64());
        if !std::mem::replace(&mut health.ejected, true) {
            self.actions.push(Action::Log(StateChange::Ejected(endpoint.id.clone())));
        }
    }

    /// Notes that an endpoint served a request, which reinstates it.
    pub(super) fn record_success(&mut self, endpoint: EndpointKey) {
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.health.failure_score *= 0.5;
        if std::mem::take(&mut endpoint.health.ejected) {
            endpoint.health.failure_score = 0.0;
            endpoint.health.reinstated_at = self.now;
            endpoint.load.latency_ratio = 1.0;
            self.actions.push(Action::Log(StateChange::Reinstated(endpoint.id.clone())));
        }
    }

    pub(super) fn is_healthy(&self, endpoint: EndpointKey) -> bool {
        !self.endpoints[endpoint].health.ejected
    }

    /// Whether an ejected endpoint may have the one request that tries it.
    pub(super) fn trial_due(&self, endpoint: EndpointKey) -> bool {
        let health = &self.endpoints[endpoint].health;
        health.ejected && self.now >= health.ejected_until && !health.trial_in_flight
    }
}

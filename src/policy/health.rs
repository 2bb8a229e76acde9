//! The health of endpoints: what the policy does about health checks and silent endpoints.

use crate::interface::{Action, EndpointId, LoadReport, Outcome};
use crate::policy::cluster::EndpointKey;
use crate::policy::endpoint::evidence;
use crate::policy::Policy;

impl Policy {
    /// Takes in the end of a health check.
    pub(crate) fn health_checked(&mut self, id: &EndpointId, outcome: Outcome, report: &LoadReport) {
        let Some(endpoint) = self.cluster.endpoints().key(id) else { return };
        self.health_checks.finished(endpoint);
        match outcome {
            // Not recorded as a success: an endpoint that hangs still answers health checks.
            Outcome::Success => self.cluster.observe_report(endpoint, report),
            // Endpoints limit the rate of health checks: a rejection is no failure.
            Outcome::Overloaded | Outcome::NotSent => {}
            Outcome::Error
            | Outcome::Timeout
            | Outcome::ConnectFailed
            | Outcome::ConnectionReset
            | Outcome::Cancelled
            | Outcome::Ineligible
            | Outcome::InvalidRequest => self.record_failure(endpoint, evidence::FAILURE),
        }
        self.update_primary(self.cluster.endpoint(endpoint).listing().group());
    }

    /// Counts the silence of an endpoint, at which so many attempts are late, as a failure.
    pub(crate) fn record_silence(&mut self, endpoint: EndpointKey, late_attempts: u32) {
        let weight = evidence::weight_of_silence(self.cluster.is_primary(endpoint), late_attempts);
        self.record_failure(endpoint, weight);
    }

    fn record_failure(&mut self, endpoint: EndpointKey, weight: f64) {
        let now = self.cluster.now();
        let connect_timeout = self.cluster.settings().connect_timeout;
        let endpoint = self.cluster.endpoint_mut(endpoint);
        let change = endpoint.record_failure(weight, now, connect_timeout, &mut self.rng);
        self.actions.extend(change.map(Action::Log));
    }
}

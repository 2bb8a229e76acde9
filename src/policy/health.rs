//! Health of endpoints: how the policy evaluates health checks and unresponsive endpoints.

use crate::interface::{Action, EndpointId, LoadReport, Outcome};
use crate::policy::cluster::EndpointKey;
use crate::policy::endpoint::evidence;
use crate::policy::Policy;

impl Policy {
    /// Handles the end of a health check.
    pub(crate) fn health_check_finished(&mut self, id: &EndpointId, outcome: Outcome, report: &LoadReport) {
        let Some(endpoint) = self.cluster.endpoints().key(id) else { return };
        self.health_checks.record_finished(endpoint);
        match outcome {
            // Not recorded as a success, since an endpoint that hangs still answers health checks.
            Outcome::Success => self.cluster.update_from_report(endpoint, report),
            // Not recorded as a failure, since endpoints limit the rate of health checks.
            Outcome::Overloaded | Outcome::NotSent => {}
            Outcome::Error
            | Outcome::Timeout
            | Outcome::ConnectFailed
            | Outcome::ConnectionReset
            | Outcome::Cancelled
            | Outcome::Ineligible
            | Outcome::InvalidRequest => self.record_failure(endpoint, evidence::FAILURE_WEIGHT),
        }
        self.update_primary(self.cluster.endpoint(endpoint).listing().group());
    }

    /// Records a failure of an unresponsive endpoint. `late_attempts` is the number of late attempts at it.
    pub(crate) fn record_unresponsive_endpoint(&mut self, endpoint: EndpointKey, late_attempts: u32) {
        let weight = evidence::unresponsive_endpoint_weight(self.cluster.is_primary(endpoint), late_attempts);
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

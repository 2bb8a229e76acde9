//! Health checks, which query endpoints for their role and log position: scheduling and budget.

use crate::policy::cluster::{Cluster, EndpointKey};
use crate::policy::freshness;
use crate::policy::token_bucket::TokenBucket;
use crate::time::LocalInstant;

/// Health checks that each request adds to the budget.
const CHECKS_PER_REQUEST: f64 = 0.3;
/// Largest burst of health checks. It is limited because all poolers search for a lost primary at the same
/// time.
const MAX_CHECKS: f64 = 20.0;

/// Health-check state of one endpoint.
#[derive(Clone, Copy, Default)]
struct EndpointChecks {
    is_in_flight: bool,
    last_sent_at: Option<LocalInstant>,
}

/// Health-check state of all endpoints, and the budget that they share.
pub(crate) struct HealthChecks {
    budget: TokenBucket,
    by_endpoint: Vec<EndpointChecks>,
}

impl HealthChecks {
    pub(crate) fn new() -> HealthChecks {
        HealthChecks { budget: TokenBucket::full(MAX_CHECKS), by_endpoint: Vec::new() }
    }

    /// Adds the deposit of one request to the budget.
    pub(crate) fn deposit(&mut self) {
        self.budget.deposit(CHECKS_PER_REQUEST);
    }

    /// Returns `true` if a health check should refresh the log position of an endpoint now.
    pub(crate) fn is_refresh_due(&self, endpoint: EndpointKey, cluster: &Cluster) -> bool {
        let last_sent_at = self.by_endpoint.get(endpoint).and_then(|checks| checks.last_sent_at);
        let is_due = last_sent_at.is_none_or(|at| cluster.now() - at > cluster.shortest_staleness_bound());
        is_due && freshness::needs_position_refresh(cluster.endpoint(endpoint), cluster)
    }

    /// Starts a health check if the endpoint accepts requests, no other check of it is in flight, and the
    /// budget allows one. Returns `true` if a check was started.
    pub(crate) fn try_start(&mut self, endpoint: EndpointKey, cluster: &Cluster) -> bool {
        if !self.budget.has_token() || !cluster.accepts_requests(endpoint) {
            return false;
        }
        let checks = self.checks_mut(endpoint);
        if checks.is_in_flight {
            return false;
        }
        *checks = EndpointChecks { is_in_flight: true, last_sent_at: Some(cluster.now()) };
        self.budget.withdraw_saturating();
        true
    }

    /// Records that the health check of an endpoint has ended.
    pub(crate) fn record_finished(&mut self, endpoint: EndpointKey) {
        self.checks_mut(endpoint).is_in_flight = false;
    }

    /// Resets the state of a key, which a removed endpoint may have used before.
    pub(crate) fn reset(&mut self, endpoint: EndpointKey) {
        *self.checks_mut(endpoint) = EndpointChecks::default();
    }

    fn checks_mut(&mut self, endpoint: EndpointKey) -> &mut EndpointChecks {
        if self.by_endpoint.len() <= endpoint {
            self.by_endpoint.resize(endpoint + 1, EndpointChecks::default());
        }
        &mut self.by_endpoint[endpoint]
    }
}

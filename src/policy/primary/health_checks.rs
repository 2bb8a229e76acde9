//! Health checks: which endpoints are asked for their role and log position, and how many at most.

use crate::policy::cluster::{Cluster, EndpointKey};
use crate::policy::freshness;
use crate::policy::token_bucket::TokenBucket;
use crate::time::LocalInstant;

/// Health-check tokens that each request deposits.
const CHECKS_PER_REQUEST: f64 = 0.3;
/// Most health checks at once: all poolers search for a lost primary at the same moment.
const MAX_CHECKS: f64 = 20.0;

/// The health checks of one endpoint.
#[derive(Clone, Copy, Default)]
struct EndpointChecks {
    is_in_flight: bool,
    last_sent_at: Option<LocalInstant>,
}

/// The health checks of all endpoints, and their budget.
pub(crate) struct HealthChecks {
    budget: TokenBucket,
    by_endpoint: Vec<EndpointChecks>,
}

impl HealthChecks {
    /// A full budget.
    pub(crate) fn new() -> HealthChecks {
        HealthChecks { budget: TokenBucket::full(MAX_CHECKS), by_endpoint: Vec::new() }
    }

    /// Adds what one request earns.
    pub(crate) fn deposit(&mut self) {
        self.budget.deposit(CHECKS_PER_REQUEST);
    }

    /// Whether the log position of an endpoint is to be refreshed by a health check.
    pub(crate) fn is_refresh_due(&self, endpoint: EndpointKey, cluster: &Cluster) -> bool {
        let last_sent_at = self.by_endpoint.get(endpoint).and_then(|checks| checks.last_sent_at);
        let is_due = last_sent_at.is_none_or(|at| cluster.now() - at > cluster.shortest_staleness_bound());
        is_due && freshness::needs_refresh(cluster.endpoint(endpoint), cluster)
    }

    /// Notes that a health check is sent, if the budget allows one and none of this endpoint is in flight.
    /// Returns whether it is.
    pub(crate) fn try_start(&mut self, endpoint: EndpointKey, cluster: &Cluster) -> bool {
        if !self.budget.has_token() || !cluster.accepts_requests(endpoint) {
            return false;
        }
        let checks = self.of(endpoint);
        if checks.is_in_flight {
            return false;
        }
        *checks = EndpointChecks { is_in_flight: true, last_sent_at: Some(cluster.now()) };
        self.budget.withdraw_up_to_one();
        true
    }

    /// Notes that a health check has ended.
    pub(crate) fn finished(&mut self, endpoint: EndpointKey) {
        self.of(endpoint).is_in_flight = false;
    }

    /// Forgets the health checks of the endpoint that had this key before.
    pub(crate) fn endpoint_added(&mut self, endpoint: EndpointKey) {
        *self.of(endpoint) = EndpointChecks::default();
    }

    fn of(&mut self, endpoint: EndpointKey) -> &mut EndpointChecks {
        if self.by_endpoint.len() <= endpoint {
            self.by_endpoint.resize(endpoint + 1, EndpointChecks::default());
        }
        &mut self.by_endpoint[endpoint]
    }
}

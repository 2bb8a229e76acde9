//! The search for a lost primary, and health checks of replicas that were silent.

use super::outlier_detection::{FAILURE, MAX_EJECTION};
use super::Policy;
use crate::interface::{Action, EndpointId, LoadReport, Outcome};
use crate::state::{EndpointKey, PendingRequest, RequestKey};
use crate::time::LogPosition;

/// Health-check tokens earned by each request, and their limit: all poolers search at the same moment.
pub(super) const HEALTH_CHECKS_PER_REQUEST: f64 = 0.3;
pub(super) const MAX_HEALTH_CHECKS: f64 = 20.0;
/// Interval between two steps of the search, in multiples of the connect timeout.
const SEARCH_INTERVAL: f64 = 0.8;
/// Age at which a local replica's log position is refreshed, as a share of the shortest staleness bound.
const REFRESH_AGE: f64 = 0.7;

impl Policy {
    /// Continues the search for a group's primary, and refreshes the log positions of its replicas.
    pub(super) fn search_primary(&mut self, group_id: u32) {
        let Some(group) = self.endpoints.groups.get_mut(&group_id) else { return };
        let is_due = group.searching_since.is_some() && self.now >= group.next_search_at;
        if is_due {
            let interval = self.settings.connect_timeout * SEARCH_INTERVAL;
            group.next_search_at = self.now + interval * (0.5 + self.rng.f64());
        }
        let is_searching = is_due && !group.queued.is_empty();
        let is_used = self.now - group.last_request_at < self.settings.connect_timeout * MAX_EJECTION;
        if self.settings.health_checks {
            for endpoint in group.endpoints.clone() {
                if is_searching || is_used && self.needs_refresh(endpoint) {
                    self.start_health_check(endpoint);
                }
            }
        } else if is_searching {
            self.send_discovery_write(group_id);
        }
    }

    /// Whether a log position is about to be too old for reads, or unknown and no read may find it out.
    fn needs_refresh(&self, key: EndpointKey) -> bool {
        let endpoint = &self.endpoints[key];
        let max_age = self.shortest_staleness * REFRESH_AGE;
        let is_aging = self.is_local(key) && self.now - endpoint.log_position_at > max_age;
        let is_unknown = !self.settings.stale_reads.is_checked()
            && endpoint.log_position == LogPosition::from_secs(f64::NEG_INFINITY);
        (is_aging || is_unknown) && self.now - endpoint.last_health_check_at > self.shortest_staleness
    }

    fn start_health_check(&mut self, endpoint: EndpointKey) {
        let is_allowed = self.health_check_budget.has_token() && self.accepts_requests(endpoint);
        let endpoint = &mut self.endpoints[endpoint];
        if is_allowed && !std::mem::replace(&mut endpoint.health_check_in_flight, true) {
            self.health_check_budget.withdraw();
            endpoint.last_health_check_at = self.now;
            self.actions.push(Action::HealthCheck { endpoint: endpoint.id.clone() });
        }
    }

    pub(super) fn health_checked(&mut self, id: &EndpointId, outcome: Outcome, report: &LoadReport) {
        let Some(endpoint) = self.endpoints.key(id) else { return };
        self.endpoints[endpoint].health_check_in_flight = false;
        match outcome {
            // Not recorded as a success: an endpoint that hangs still answers health checks.
            Outcome::Success => self.observe_report(endpoint, report),
            // Endpoints limit the rate of health checks: a rejection is no failure.
            Outcome::Overloaded | Outcome::NotSent => {}
            _ => self.record_failure(endpoint, FAILURE),
        }
        self.elect_primary(self.endpoints[endpoint].group);
    }

    /// Searches with a queued write: an endpoint that is not the primary rejects it without executing it.
    fn send_discovery_write(&mut self, group_id: u32) {
        let Some(group) = self.endpoints.groups.get(&group_id) else { return };
        let last_write = group.discovery_write.and_then(|key| self.requests.get(key));
        if last_write.is_some_and(PendingRequest::in_flight) {
            return;
        }
        let is_unsent_write = |request: &&PendingRequest| {
            let is_unsent = request.may_have_run_since().is_none() && self.may_attempt(request);
            let is_pending = !request.finished && self.now + self.settings.tick < request.deadline;
            is_pending && is_unsent && self.class(request.class).is_write()
        };
        let write = |key: &RequestKey| Some((*key, self.requests.get(*key).filter(is_unsent_write)?));
        let Some((key, request)) = group.queued.iter().find_map(write) else { return };
        let is_candidate = |&endpoint: &EndpointKey| {
            let is_usable = self.accepts_requests(endpoint) && self.is_healthy(endpoint);
            is_usable && !request.tried(endpoint) && self.slow_start_admits_to_primary(request, endpoint)
        };
        let position = |endpoint: &EndpointKey| self.endpoints[*endpoint].log_position;
        let candidates = group.endpoints.iter().copied().filter(is_candidate);
        let Some(target) = candidates.max_by_key(position) else { return };
        let Some(group) = self.endpoints.groups.get_mut(&group_id) else { return };
        group.start_discovery(key);
        self.send(key, target);
    }
}

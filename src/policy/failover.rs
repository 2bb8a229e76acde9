//! Failover: the election of a group's primary, the search for a lost one, and the requests that wait for it.

use crate::interface::{Action, StateChange};
use crate::policy::endpoint::outlier_detection::MAX_EJECTION_TIME;
use crate::policy::primary::{self, search};
use crate::policy::Policy;

/// A group counts as in use for this time after a request for it, in multiples of the connect timeout.
const GROUP_IN_USE_FOR: f64 = MAX_EJECTION_TIME;

impl Policy {
    /// Makes the endpoint with the newest claim the group's primary, and dispatches queued requests.
    pub(crate) fn update_primary(&mut self, group_id: u32) {
        let Some(group) = self.cluster.group(group_id) else { return };
        let primary = primary::elect(group, &self.cluster);
        if primary != group.primary() {
            let id = primary.map(|endpoint| self.cluster.endpoint(endpoint).id().clone());
            let change = StateChange::PrimaryChanged { group: group_id, primary: id };
            self.actions.push(Action::Log(change));
        }
        let is_ready = primary.is_some_and(|endpoint| self.cluster.is_healthy(endpoint));
        let now = self.cluster.now();
        if let Some(group) = self.cluster.endpoints_mut().group_mut(group_id) {
            group.set_primary(primary, is_ready, now);
        }
        self.dispatch_queued(group_id);
    }

    fn dispatch_queued(&mut self, group_id: u32) {
        let Some(group) = self.cluster.endpoints_mut().group_mut(group_id) else { return };
        let primary = group.primary();
        let mut waiting = Vec::new();
        for key in group.take_queue() {
            let Some(request) = self.requests.unfinished_mut(key) else { continue };
            if primary::must_wait(request, primary, &self.cluster) {
                waiting.push(key);
            } else {
                request.leave_queue();
                self.dispatch(key);
            }
        }
        if let Some(group) = self.cluster.endpoints_mut().group_mut(group_id) {
            group.requeue(waiting);
        }
    }

    /// Continues the search for a group's primary, and refreshes the log positions of its replicas.
    pub(crate) fn search_primary(&mut self, group_id: u32) {
        let now = self.cluster.now();
        let connect_timeout = self.cluster.settings().connect_timeout;
        let Some(group) = self.cluster.endpoints_mut().group_mut(group_id) else { return };
        let is_due = group.search_mut().step_if_due(now, connect_timeout, &mut self.rng);
        let is_searching = is_due && !group.queue().is_empty();
        if self.cluster.settings().health_checks {
            self.check_group(group_id, is_searching);
        } else if is_searching {
            self.send_discovery_write(group_id);
        }
    }

    /// Sends health checks to the endpoints of a group: to all in search of the primary, otherwise where a
    /// log position has to be refreshed.
    fn check_group(&mut self, group_id: u32, is_searching: bool) {
        let Some(group) = self.cluster.group(group_id) else { return };
        let in_use_for = self.cluster.settings().connect_timeout * GROUP_IN_USE_FOR;
        let is_in_use = self.cluster.now() - group.last_request_at() < in_use_for;
        for &endpoint in group.members() {
            let is_due =
                is_searching || is_in_use && self.health_checks.is_refresh_due(endpoint, &self.cluster);
            if is_due && self.health_checks.try_start(endpoint, &self.cluster) {
                let endpoint = self.cluster.endpoint(endpoint).id().clone();
                self.actions.push(Action::HealthCheck { endpoint });
            }
        }
    }

    fn send_discovery_write(&mut self, group_id: u32) {
        let Some(group) = self.cluster.group(group_id) else { return };
        let write = search::discovery_write(group, &self.requests, &self.slow_start, &self.cluster);
        let Some(write) = write else { return };
        if let Some(group) = self.cluster.endpoints_mut().group_mut(group_id) {
            group.start_discovery(write.request);
        }
        self.send(write.request, write.endpoint);
    }
}

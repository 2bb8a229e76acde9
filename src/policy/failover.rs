//! Failover: tracks the primary of each group, searches for a lost one, and dispatches the requests that were
//! queued meanwhile.

use crate::interface::{Action, StateChange};
use crate::policy::cluster::EndpointKey;
use crate::policy::dispatch::QUEUE_TIME_SHARE;
use crate::policy::endpoint::outlier_detection::MAX_EJECTION_TIME;
use crate::policy::primary::{self, search};
use crate::policy::request::RequestKey;
use crate::policy::Policy;
use crate::time::Span;

/// Time without requests after which a group counts as idle, in multiples of the connect timeout. The log
/// positions of idle groups are not refreshed.
const GROUP_IDLE_TIMEOUT: f64 = MAX_EJECTION_TIME;

impl Policy {
    /// Sets the primary of a group to the usable endpoint with the newest claim, and dispatches queued
    /// requests.
    pub(crate) fn update_primary(&mut self, group_id: u32) {
        let Some(group) = self.cluster.group(group_id) else { return };
        let primary = primary::newest_claimant(group, &self.cluster);
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
        let now = self.cluster.now();
        let Some(group) = self.cluster.endpoints_mut().group_mut(group_id) else { return };
        let primary = group.primary();
        let elapsed = group.record_queue_dispatch(now);
        let mut still_queued = Vec::new();
        for key in group.take_queue() {
            let release_share = self.queue_release_share(key, primary, elapsed);
            let is_held_back = release_share < 1.0 && self.rng.f64() >= release_share;
            let Some(request) = self.requests.unfinished_mut(key) else { continue };
            if is_held_back || primary::must_stay_queued(request, primary, &self.cluster) {
                still_queued.push(key);
            } else {
                request.leave_queue();
                self.dispatch(key);
            }
        }
        if let Some(group) = self.cluster.endpoints_mut().group_mut(group_id) {
            group.requeue(still_queued);
        }
    }

    /// Returns the share of the requests like this one that slow start lets out of the queue now. Reads that
    /// a replica may answer need not wait for the primary.
    fn queue_release_share(&self, key: RequestKey, primary: Option<EndpointKey>, elapsed: Span) -> f64 {
        let (Some(request), Some(primary)) = (self.requests.get(key), primary) else { return 1.0 };
        let class = self.cluster.class(request.class());
        if !class.needs_primary() {
            return 1.0;
        }
        let queue_time = class.deadline * QUEUE_TIME_SHARE;
        self.slow_start.queue_release_share(primary, elapsed, queue_time, &self.cluster)
    }

    /// Takes the next step of the search for a lost primary if one is due and requests are queued. Where
    /// health checks are allowed, also refreshes log positions of the group.
    pub(crate) fn continue_primary_search(&mut self, group_id: u32) {
        let now = self.cluster.now();
        let connect_timeout = self.cluster.settings().connect_timeout;
        let Some(group) = self.cluster.endpoints_mut().group_mut(group_id) else { return };
        let is_due = group.search_mut().step_if_due(now, connect_timeout, &mut self.rng);
        let is_searching = is_due && !group.queue().is_empty();
        if self.cluster.settings().health_checks {
            self.send_health_checks(group_id, is_searching);
        } else if is_searching {
            self.send_search_write(group_id);
        }
    }

    /// Sends health checks to the endpoints of a group: to all of them during the search for its primary,
    /// otherwise only to those whose log position has to be refreshed.
    fn send_health_checks(&mut self, group_id: u32, is_searching: bool) {
        let Some(group) = self.cluster.group(group_id) else { return };
        let idle_timeout = self.cluster.settings().connect_timeout * GROUP_IDLE_TIMEOUT;
        let is_active = self.cluster.now() - group.last_request_at() < idle_timeout;
        for &endpoint in group.members() {
            let is_due =
                is_searching || is_active && self.health_checks.is_refresh_due(endpoint, &self.cluster);
            if is_due && self.health_checks.try_start(endpoint, &self.cluster) {
                let endpoint = self.cluster.endpoint(endpoint).id().clone();
                self.actions.push(Action::HealthCheck { endpoint });
            }
        }
    }

    fn send_search_write(&mut self, group_id: u32) {
        let Some(group) = self.cluster.group(group_id) else { return };
        let write = search::next_search_write(group, &self.requests, &self.slow_start, &self.cluster);
        let Some(write) = write else { return };
        if let Some(group) = self.cluster.endpoints_mut().group_mut(group_id) {
            group.dequeue_search_write(write.request);
        }
        self.send(write.request, write.endpoint);
    }
}

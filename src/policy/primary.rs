//! Which endpoint is a group's primary, by dated claims, and the requests that wait for it.

use super::Policy;
use crate::interface::{Action, LoadReport, Role, StateChange};
use crate::state::{ClusterClock, EndpointKey, EndpointState, RoleClaim};
use crate::time::{LocalInstant, Span};

/// Assumed age of the roles in the endpoint list, as a share of the watch gap.
const LISTED_ROLE_AGE: f64 = 0.5;
/// Queued requests are dispatched while the primary has fewer requests in flight than this.
const MAX_IN_FLIGHT_WHEN_DEQUEUING: u32 = 6;

impl EndpointState {
    /// Takes in a reported log position, which never goes back, and a reported role. A role in an answer is
    /// as of now; one in a load report, whose age is unknown, is as of its log position.
    pub(crate) fn observe(
        &mut self,
        report: &LoadReport,
        is_answer: bool,
        clock: &ClusterClock,
        now: LocalInstant,
    ) {
        let position = report.log_position.filter(|position| clock.is_credible(*position, now));
        // A claim with a position below the known one was written earlier: it may be no primary by now.
        let is_outdated = position.is_some_and(|p| p < self.log_position);
        if let Some(position) = position.filter(|p| *p > self.log_position) {
            self.log_position = position;
            self.log_position_at = now;
        }
        let Some(role) = report.role.filter(|role| *role == Role::Replica || !is_outdated) else { return };
        let reported_at = || {
            position
                .map_or(LocalInstant::from_secs(f64::NEG_INFINITY), |position| clock.to_local(position, now))
        };
        let at = if is_answer { now } else { reported_at() };
        if self.role.is_none_or(|known| at >= known.at) {
            self.role = Some(RoleClaim { role, at });
        }
    }

    /// Date of the newest claim that it is the primary, by itself or by a list with roles of that age.
    pub(crate) fn primary_claim(&self, list_age: Span) -> Option<LocalInstant> {
        let listed = (self.listed_role == Role::Primary).then_some(self.listed_role_at - list_age);
        match self.role {
            Some(RoleClaim { role: Role::Primary, at }) => Some(listed.map_or(at, |listed| listed.max(at))),
            Some(RoleClaim { role: Role::Replica, at }) => listed.filter(|listed| *listed > at),
            None => listed,
        }
    }
}

impl Policy {
    /// Makes the endpoint with the newest claim the group's primary, and dispatches queued requests.
    pub(super) fn elect_primary(&mut self, group_id: u32) {
        let Some(group) = self.endpoints.groups.get(&group_id) else { return };
        let list_age = self.settings.max_watch_gap * LISTED_ROLE_AGE;
        let claim = |e: EndpointKey| Some((self.endpoints[e].primary_claim(list_age)?, e));
        let claims = self.usable_endpoints(group).filter_map(claim);
        let primary = claims.max_by_key(|(claimed_at, _)| *claimed_at).map(|(_, endpoint)| endpoint);
        if primary != group.primary {
            let primary = primary.map(|endpoint| self.endpoints[endpoint].id.clone());
            self.actions.push(Action::Log(StateChange::PrimaryChanged { group: group_id, primary }));
        }
        let is_ready = primary.is_some_and(|endpoint| self.is_healthy(endpoint));
        let Some(group) = self.endpoints.groups.get_mut(&group_id) else { return };
        group.set_primary(primary, is_ready, self.now);
        self.dispatch_queued(group_id);
    }

    /// Dispatches queued requests; while the primary is busy, only those that are late.
    fn dispatch_queued(&mut self, group_id: u32) {
        let Some(group) = self.endpoints.groups.get_mut(&group_id) else { return };
        let (primary, queued) = (group.primary, std::mem::take(&mut group.queued));
        let mut waiting = Vec::new();
        for key in queued {
            let is_busy = |p: EndpointKey| self.endpoints[p].load.in_flight >= MAX_IN_FLIGHT_WHEN_DEQUEUING;
            let Some(request) = self.requests.unfinished_mut(key) else { continue };
            if primary.is_some_and(is_busy) && request.objective_at > self.now {
                waiting.push(key);
            } else {
                request.queued = false;
                self.dispatch(key);
            }
        }
        if let Some(group) = self.endpoints.groups.get_mut(&group_id) {
            group.requeue(waiting);
        }
    }
}

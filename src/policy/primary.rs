//! Which endpoint is a group's primary, by dated claims, and the requests that wait for it.

use super::Policy;
use crate::interface::{Action, StateChange};
use crate::state::EndpointKey;

/// Assumed age of the roles in the endpoint list, as a share of the watch gap.
const LISTED_ROLE_AGE: f64 = 0.5;
/// Queued requests are dispatched while the primary has fewer requests in flight than this.
const MAX_IN_FLIGHT_WHEN_DEQUEUING: u32 = 6;

impl Policy {
    /// Makes the endpoint with the newest claim the group's primary, and dispatches queued requests.
    pub(super) fn elect_primary(&mut self, group_id: u32) {
        let Some(group) = self.endpoints.groups.get(&group_id) else { return };
        let usable = group.endpoints.iter().copied().filter(|&endpoint| self.accepts_requests(endpoint));
        let list_age = self.settings.max_watch_gap * LISTED_ROLE_AGE;
        let claims = usable.filter_map(|e| Some((self.endpoints[e].primary_claim(list_age)?, e)));
        let primary = claims.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, endpoint)| endpoint);
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

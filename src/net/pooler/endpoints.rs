//! Handles endpoint list updates and watch failures.

use std::time::Duration;

use super::Pooler;
use crate::endpoint_list::ListedEndpoint;
use crate::interface::{self, Endpoint, EndpointStatus, UpdateKind};
use crate::net::reactor::span_of;
use crate::net::Context;

impl Pooler {
    /// Reports to the policy that the watch has failed.
    pub(super) fn on_watch_failed(&mut self, context: &mut Context) {
        context.counters.watch_failures += 1;
        self.notify_policy(interface::Event::WatchFailed, context);
    }

    /// Reports to the policy that the discovery service has begun to answer.
    pub(super) fn on_watch_answered(&mut self, answer_time: Duration, context: &mut Context) {
        let answer_time = span_of(answer_time);
        self.notify_policy(interface::Event::WatchAnswered { answer_time }, context);
    }

    /// Applies an update of the endpoint list to the backend and the policy.
    pub(super) fn on_endpoints_updated(
        &mut self,
        kind: UpdateKind,
        endpoints: Vec<ListedEndpoint>,
        context: &mut Context,
    ) {
        context.counters.endpoint_updates += 1;
        self.backend.update_endpoints(kind, &endpoints, context);
        let any_serving = endpoints.iter().any(|listed| listed.status == EndpointStatus::Serving);
        let endpoints = endpoints.into_iter().map(|listed| self.policy_endpoint(listed)).collect();
        self.notify_policy(interface::Event::EndpointsUpdated { kind, endpoints }, context);
        if any_serving {
            self.frontend.set_ready(context);
        }
    }

    /// Converts an entry of the endpoint list to the policy's representation.
    fn policy_endpoint(&self, listed: ListedEndpoint) -> Endpoint {
        let ListedEndpoint { name, zone, group, status, started_at, role, .. } = listed;
        // For the policy, a start time before 1970 means long ago; the pool compares it like any other.
        let started_at = started_at.filter(|at| at.as_secs() > 0.0);
        Endpoint { id: name, zone: self.zone_index(&zone), group, status, started_at, role }
    }

    /// Returns the index of a zone. Zones that the settings do not name share the index after the last, which
    /// is never the zone of the pooler.
    fn zone_index(&self, name: &str) -> u32 {
        let known = self.zones.iter().position(|zone| zone == name);
        known.unwrap_or(self.zones.len()) as u32
    }
}

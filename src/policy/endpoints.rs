//! The endpoint list: its watch, its updates, and which endpoints may be used.

use super::Policy;
use crate::interface::{Action, Endpoint, EndpointStatus, StateChange, UpdateKind};
use crate::state::{EndpointKey, Group};
use crate::time::Span;

/// Longest mean backoff between calls (seconds): the list must be current 6 s after discovery is back.
const MAX_WATCH_BACKOFF: Span = Span::from_secs(0.8);
/// A call without any answer is repeated after this time (seconds).
const WATCH_CALL_TIMEOUT: Span = Span::from_secs(4.0);
const MAX_COUNTED_FAILURES: i32 = 8;
/// A removed endpoint is forgotten after this multiple of the watch gap, far beyond every deadline.
pub(super) const FORGET_AFTER: f64 = 3.0;

impl Policy {
    pub(super) fn reopen_watch(&mut self) {
        if self.settings.watch_endpoints && !self.watch.is_open && self.now >= self.watch.retry_at {
            self.watch.retry_at = self.now + WATCH_CALL_TIMEOUT;
            self.actions.push(Action::Watch);
        }
    }

    /// The current list stays in force; the watch is reopened after an exponential backoff with jitter.
    fn watch_failed(&mut self) {
        let failures = self.watch.failed(MAX_COUNTED_FAILURES);
        if failures == 1 {
            self.actions.push(Action::Log(StateChange::WatchLost));
        }
        let backoff = self.settings.max_watch_gap / 64.0 * f64::from(1 << failures);
        self.watch.retry_at = self.now + backoff.min(MAX_WATCH_BACKOFF) * (0.5 + 0.75 * self.rng.f64());
    }

    pub(super) fn endpoints_updated(&mut self, kind: UpdateKind, entries: &[Endpoint]) {
        if kind == UpdateKind::WatchFailed {
            return self.watch_failed();
        }
        if kind == UpdateKind::Cached {
            // After a restart no writes are remembered: any session may have written until now.
            self.unknown_writes_until = Some(self.now);
        } else if self.watch.succeeded() {
            self.actions.push(Action::Log(StateChange::WatchRestored));
        }
        for started_at in entries.iter().filter_map(|entry| entry.started_at) {
            self.clock.observe_past_time(started_at, self.now);
        }
        self.endpoints.apply(kind, entries, self.now);
        for group in self.endpoints.group_ids() {
            self.elect_primary(group);
        }
    }

    pub(super) fn usable_endpoints<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = EndpointKey> + 'a {
        group.endpoints.iter().copied().filter(|endpoint| self.accepts_requests(*endpoint))
    }

    /// Whether new requests may be sent to an endpoint. A drain is binding as soon as it is announced.
    pub(super) fn accepts_requests(&self, endpoint: EndpointKey) -> bool {
        let endpoint = &self.endpoints[endpoint];
        match endpoint.status {
            EndpointStatus::Serving => true,
            EndpointStatus::Draining => false,
            EndpointStatus::Removed => self.settings.removal_is_advisory && !endpoint.drain_announced,
        }
    }
}

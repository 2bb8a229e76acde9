//! The entry of an endpoint in the endpoint list.

use crate::interface::{Endpoint, EndpointStatus, Role, UpdateKind};
use crate::policy::cluster::ClusterClock;
use crate::time::{ClusterInstant, LocalInstant, Span};

/// A start time of an endpoint, as the endpoint list reports it.
#[derive(Clone, Copy)]
struct ListedStart {
    started_at: ClusterInstant,
    /// When the list first reported this start.
    listed_at: LocalInstant,
}

/// Whether an update of the endpoint list shows that an endpoint has restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Restart {
    NotDetected,
    /// The list reports a later start than before, or the first one: slow start applies, and the health state
    /// is reset.
    Detected,
}

/// The entry of an endpoint in the endpoint list, and when it changed.
#[derive(Default)]
pub(crate) struct Listing {
    zone: u32,
    group: u32,
    status: EndpointStatus,
    /// Whether it was listed as draining. This applies even where removal is only advisory.
    drain_announced: bool,
    start: Option<ListedStart>,
    /// When it was last listed with a status other than removed.
    last_listed_at: LocalInstant,
    /// Since when the list has named it as the primary; `None` if the list does not.
    primary_since: Option<LocalInstant>,
}

impl Listing {
    /// Creates the listing of an endpoint of which only zone and group are known.
    pub(crate) fn new(zone: u32, group: u32) -> Listing {
        Listing { zone, group, ..Listing::default() }
    }

    /// Applies an entry of the endpoint list, except for its group.
    pub(crate) fn apply_entry(&mut self, kind: UpdateKind, entry: &Endpoint, now: LocalInstant) -> Restart {
        self.zone = entry.zone;
        self.apply_role(kind, entry.role, now);
        self.apply_status(entry.status);
        self.apply_start(entry.started_at, now)
    }

    fn apply_role(&mut self, kind: UpdateKind, role: Role, now: LocalInstant) {
        let known_since = self.primary_since.filter(|_| kind != UpdateKind::Cached);
        self.primary_since = match role {
            Role::Primary => Some(known_since.unwrap_or(now)),
            Role::Replica => None,
        };
    }

    fn apply_status(&mut self, status: EndpointStatus) {
        self.drain_announced = match status {
            EndpointStatus::Serving => false,
            EndpointStatus::Draining => true,
            EndpointStatus::Removed => self.drain_announced,
        };
        self.status = status;
    }

    fn apply_start(&mut self, started_at: Option<ClusterInstant>, now: LocalInstant) -> Restart {
        let known = self.start.map(|start| start.started_at);
        let Some(started_at) = started_at.filter(|started_at| Some(*started_at) > known) else {
            return Restart::NotDetected;
        };
        self.start = Some(ListedStart { started_at, listed_at: now });
        Restart::Detected
    }

    /// Sets the status to removed, since a complete list does not contain the endpoint.
    pub(crate) fn mark_removed(&mut self) {
        self.status = EndpointStatus::Removed;
    }

    /// Records that the current list contains the endpoint.
    pub(crate) fn mark_listed(&mut self, now: LocalInstant) {
        self.last_listed_at = now;
    }

    /// Moves the endpoint to a group. Returns its previous group.
    pub(crate) fn move_to_group(&mut self, group: u32) -> u32 {
        std::mem::replace(&mut self.group, group)
    }

    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    pub(crate) fn group(&self) -> u32 {
        self.group
    }

    pub(crate) fn status(&self) -> EndpointStatus {
        self.status
    }

    /// Returns `true` if the list has announced that the endpoint is draining.
    pub(crate) fn is_drain_announced(&self) -> bool {
        self.drain_announced
    }

    /// Returns when the endpoint was last listed with a status other than removed.
    pub(crate) fn last_listed_at(&self) -> LocalInstant {
        self.last_listed_at
    }

    /// Returns since when the list has named the endpoint as the primary; `None` if the list does not.
    pub(crate) fn primary_since(&self) -> Option<LocalInstant> {
        self.primary_since
    }

    /// Returns the minimum time for which the endpoint has been up, or `None` if the list does not say when
    /// it started.
    pub(crate) fn min_uptime(&self, clock: &ClusterClock, now: LocalInstant) -> Option<Span> {
        let start = self.start?;
        let since_listed = now - start.listed_at;
        let by_clock = clock.earliest(now).map(|earliest| earliest - start.started_at);
        Some(by_clock.map_or(since_listed, |uptime| uptime.max(since_listed)))
    }
}

#[cfg(test)]
mod tests;

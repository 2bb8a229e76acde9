//! The role and the log position that an endpoint reports about itself.

use crate::interface::{LoadReport, Role};
use crate::policy::cluster::ClusterClock;
use crate::time::{LocalInstant, LogPosition, Span};

/// The highest log position that an endpoint has reported.
#[derive(Clone, Copy)]
struct ReportedPosition {
    position: LogPosition,
    reported_at: LocalInstant,
}

/// A role that an endpoint has reported, and its date. A claim without a date counts as older than any dated
/// claim.
#[derive(Clone, Copy)]
struct RoleClaim {
    role: Role,
    at: Option<LocalInstant>,
}

/// A claim that an endpoint is the primary. Of several claims, the newest one is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PrimaryClaim {
    /// The date of the claim; `None` counts as older than any dated claim.
    at: Option<LocalInstant>,
}

impl PrimaryClaim {
    /// Returns `true` if the claim is dated earlier than `other`.
    pub(crate) fn is_older_than(&self, other: &PrimaryClaim) -> bool {
        match (self.at, other.at) {
            (Some(own), Some(other)) => own < other,
            (None, Some(_)) => true,
            (_, None) => false,
        }
    }
}

#[cfg(test)]
impl PrimaryClaim {
    /// Creates a claim that is dated `at`.
    pub(crate) fn at(at: LocalInstant) -> PrimaryClaim {
        PrimaryClaim { at: Some(at) }
    }
}

/// The age of a report that an endpoint made about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportAge {
    /// The report came with a response and is up to date.
    Current,
    /// The report was written at some earlier time; its role is dated by its log position.
    Unknown,
}

/// The replication state of an endpoint, according to its own reports.
#[derive(Default)]
pub(crate) struct Replication {
    role: Option<RoleClaim>,
    reported: Option<ReportedPosition>,
    /// Until when the endpoint is assumed to lag behind, because it has rejected a read.
    stale_until: Option<LocalInstant>,
}

impl Replication {
    /// Applies a reported log position, which never decreases, and a reported role. A role in a response is
    /// dated now; one in a load report, whose age is unknown, is dated by its log position.
    pub(crate) fn update_from_report(
        &mut self,
        report: &LoadReport,
        age: ReportAge,
        clock: &ClusterClock,
        now: LocalInstant,
    ) {
        let position = report.log_position.filter(|position| clock.is_plausible(*position, now));
        // A report with a position below the known one is older: the endpoint may have lost its role since.
        let is_outdated = position.is_some_and(|position| Some(position) < self.log_position());
        if let Some(position) = position.filter(|position| Some(*position) > self.log_position()) {
            self.reported = Some(ReportedPosition { position, reported_at: now });
        }
        let Some(role) = report.role.filter(|role| *role == Role::Replica || !is_outdated) else { return };
        let at = match age {
            ReportAge::Current => Some(now),
            ReportAge::Unknown => position.map(|position| clock.to_local_instant(position, now)),
        };
        if self.role.is_none_or(|known| at >= known.at) {
            self.role = Some(RoleClaim { role, at });
        }
    }

    /// Returns the newest claim that the endpoint is the primary: its own, or that of an endpoint list whose
    /// roles are dated `listed_at`.
    pub(crate) fn primary_claim(&self, listed_at: Option<LocalInstant>) -> Option<PrimaryClaim> {
        let listed = listed_at.map(|listed_at| PrimaryClaim { at: Some(listed_at) });
        let Some(own) = self.role else { return listed };
        let claim = PrimaryClaim { at: own.at };
        let newer_listed = listed.filter(|listed| claim.is_older_than(listed));
        match own.role {
            Role::Primary => newer_listed.or(Some(claim)),
            Role::Replica => newer_listed,
        }
    }

    /// Records that the endpoint has rejected a read and is assumed to lag behind until the given time.
    pub(crate) fn mark_stale_until(&mut self, until: LocalInstant) {
        self.stale_until = Some(until);
    }

    /// Returns `true` if the endpoint is assumed to lag behind because it has rejected a read.
    pub(crate) fn is_marked_stale(&self, now: LocalInstant) -> bool {
        self.stale_until.is_some_and(|until| now < until)
    }

    /// Returns the highest log position that the endpoint has reported.
    pub(crate) fn log_position(&self) -> Option<LogPosition> {
        self.reported.map(|reported| reported.position)
    }

    /// Returns when the endpoint first reported its log position. Later reports of the same position do not
    /// change this time.
    pub(crate) fn log_position_reported_at(&self) -> Option<LocalInstant> {
        self.reported.map(|reported| reported.reported_at)
    }

    /// Returns the replication lag of the endpoint at the time when it reported its log position.
    pub(crate) fn lag_at_report(&self, clock: &ClusterClock) -> Option<Span> {
        let reported = self.reported?;
        Some(clock.estimate(reported.reported_at) - reported.position)
    }
}

#[cfg(test)]
mod tests;

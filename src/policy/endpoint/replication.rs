//! The role and the log position of an endpoint, as it reports them itself.

use crate::interface::{LoadReport, Role};
use crate::policy::cluster::ClusterClock;
use crate::time::{LocalInstant, LogPosition, Span};

/// The highest log position that an endpoint has reported.
#[derive(Clone, Copy)]
struct ReportedPosition {
    position: LogPosition,
    reported_at: LocalInstant,
}

/// A role that an endpoint claimed, dated by the time that it speaks of; a claim without a date is older than
/// any other.
#[derive(Clone, Copy)]
struct RoleClaim {
    role: Role,
    at: Option<LocalInstant>,
}

/// A claim that an endpoint is the primary; the newest one is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PrimaryClaim {
    /// The time that it speaks of; unknown for a claim that is older than any other.
    at: Option<LocalInstant>,
}

impl PrimaryClaim {
    /// Whether it speaks of an earlier time than another claim.
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
    /// A claim of this time.
    pub(crate) fn at(at: LocalInstant) -> PrimaryClaim {
        PrimaryClaim { at: Some(at) }
    }
}

/// How old a report of an endpoint about itself is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportAge {
    /// It came with an answer and speaks of the present.
    Current,
    /// It was written some time ago, at its log position.
    Unknown,
}

/// What an endpoint has reported of its replication.
#[derive(Default)]
pub(crate) struct Replication {
    role: Option<RoleClaim>,
    reported: Option<ReportedPosition>,
    /// Until then it is taken to be behind, since it has rejected a read.
    stale_until: Option<LocalInstant>,
}

impl Replication {
    /// Takes in a reported log position, which never goes back, and a reported role. A role in an answer is
    /// as of now; one in a load report, whose age is unknown, is as of its log position.
    pub(crate) fn observe(
        &mut self,
        report: &LoadReport,
        age: ReportAge,
        clock: &ClusterClock,
        now: LocalInstant,
    ) {
        let position = report.log_position.filter(|position| clock.is_plausible(*position, now));
        // A claim with a position below the known one was written earlier: it may be no primary by now.
        let is_outdated = position.is_some_and(|position| Some(position) < self.log_position());
        if let Some(position) = position.filter(|position| Some(*position) > self.log_position()) {
            self.reported = Some(ReportedPosition { position, reported_at: now });
        }
        let Some(role) = report.role.filter(|role| *role == Role::Replica || !is_outdated) else { return };
        let at = match age {
            ReportAge::Current => Some(now),
            ReportAge::Unknown => position.map(|position| clock.to_local(position, now)),
        };
        if self.role.is_none_or(|known| at >= known.at) {
            self.role = Some(RoleClaim { role, at });
        }
    }

    /// The newest claim that it is the primary: its own, or that of a list whose roles are as of `listed_at`.
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

    /// Notes that it has rejected a read, and is taken to be behind until then.
    pub(crate) fn mark_stale_until(&mut self, until: LocalInstant) {
        self.stale_until = Some(until);
    }

    /// Whether it is taken to be behind, since it has rejected a read.
    pub(crate) fn is_marked_stale(&self, now: LocalInstant) -> bool {
        self.stale_until.is_some_and(|until| now < until)
    }

    /// The highest log position that it has reported.
    pub(crate) fn log_position(&self) -> Option<LogPosition> {
        self.reported.map(|reported| reported.position)
    }

    /// When it first reported its present log position. A later report of the same position does not change
    /// it.
    pub(crate) fn reported_at(&self) -> Option<LocalInstant> {
        self.reported.map(|reported| reported.reported_at)
    }

    /// How far it was behind when it reported its log position.
    pub(crate) fn lag(&self, clock: &ClusterClock) -> Option<Span> {
        let reported = self.reported?;
        Some(clock.estimate(reported.reported_at) - reported.position)
    }
}

#[cfg(test)]
mod tests;

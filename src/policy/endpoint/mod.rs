//! What is known of one endpoint: its entry in the endpoint list, its role and log position, its health and
//! its load.

pub(crate) mod evidence;
mod load;
pub(crate) mod outlier_detection;

use fastrand::Rng;

use crate::interface::{
    Endpoint, EndpointId, EndpointStatus, LoadReport, Outcome, Role, StateChange, UpdateKind,
};
use crate::policy::cluster::ClusterClock;
use crate::time::{ClusterInstant, LocalInstant, LogPosition, Span};
use evidence::{Evidence, HealthEvidence};
pub(crate) use load::EndpointLoad;
use outlier_detection::OutlierDetector;

/// A start of an endpoint, as the endpoint list tells it.
#[derive(Clone, Copy)]
struct ListedStart {
    started_at: ClusterInstant,
    /// When the list first told it.
    listed_at: LocalInstant,
}

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

/// How old a report of an endpoint about itself is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportAge {
    /// It came with an answer and speaks of the present.
    Current,
    /// It was written some time ago, at its log position.
    Unknown,
}

/// Everything that is known of one endpoint.
#[derive(Default)]
pub(crate) struct EndpointState {
    id: EndpointId,
    zone: u32,
    group: u32,
    status: EndpointStatus,
    /// It was listed as draining: binding even where removal is only advisory.
    drain_announced: bool,
    start: Option<ListedStart>,
    /// When it was last listed as anything but removed.
    last_listed_at: LocalInstant,
    /// Since when the list has named it as the primary, if it does.
    listed_primary_since: Option<LocalInstant>,
    /// What the endpoint itself said of its role.
    role: Option<RoleClaim>,
    reported: Option<ReportedPosition>,
    /// Until then it is taken to be behind, since it has rejected a read.
    stale_until: Option<LocalInstant>,
    last_response_at: Option<LocalInstant>,
    /// When the latest of the attempts was sent that it has served.
    latest_served_sent_at: Option<LocalInstant>,
    health: OutlierDetector,
    load: EndpointLoad,
}

impl EndpointState {
    /// An endpoint of which nothing is known but its place.
    pub(crate) fn new(id: EndpointId, zone: u32, group: u32) -> EndpointState {
        EndpointState { id, zone, group, ..EndpointState::default() }
    }

    /// Takes over an entry of the endpoint list. Returns whether the endpoint has restarted: its health
    /// begins anew then.
    pub(crate) fn apply(&mut self, kind: UpdateKind, entry: &Endpoint, now: LocalInstant) -> bool {
        self.zone = entry.zone;
        self.apply_role(kind, entry.role, now);
        self.apply_status(entry.status);
        self.apply_start(entry.started_at, now)
    }

    fn apply_role(&mut self, kind: UpdateKind, role: Role, now: LocalInstant) {
        let known_since = self.listed_primary_since.filter(|_| kind != UpdateKind::Cached);
        self.listed_primary_since = match role {
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

    fn apply_start(&mut self, started_at: Option<ClusterInstant>, now: LocalInstant) -> bool {
        let known = self.start.map(|start| start.started_at);
        let Some(started_at) = started_at.filter(|started_at| Some(*started_at) > known) else {
            return false;
        };
        self.start = Some(ListedStart { started_at, listed_at: now });
        self.health.reset();
        true
    }

    /// Notes that a complete list does not name the endpoint.
    pub(crate) fn mark_removed(&mut self) {
        self.status = EndpointStatus::Removed;
    }

    /// Notes that the list in force names the endpoint.
    pub(crate) fn mark_listed(&mut self, now: LocalInstant) {
        self.last_listed_at = now;
    }

    /// Moves the endpoint to a group. Returns the group that it was in.
    pub(crate) fn move_to_group(&mut self, group: u32) -> u32 {
        std::mem::replace(&mut self.group, group)
    }

    /// Takes in a reported log position, which never goes back, and a reported role. A role in an answer is
    /// as of now; one in a load report, whose age is unknown, is as of its log position.
    pub(crate) fn observe(
        &mut self,
        report: &LoadReport,
        age: ReportAge,
        clock: &ClusterClock,
        now: LocalInstant,
    ) {
        let position = report.log_position.filter(|position| clock.is_credible(*position, now));
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

    /// The newest claim that it is the primary, by itself or by a list whose roles are of that age.
    pub(crate) fn primary_claim(&self, list_age: Span) -> Option<PrimaryClaim> {
        let listed = self.listed_primary_since.map(|since| since - list_age);
        let own = self.role.filter(|claim| claim.role == Role::Primary);
        let denied_at = self.role.filter(|claim| claim.role == Role::Replica).map(|claim| claim.at);
        match own {
            Some(claim) => Some(PrimaryClaim { at: claim.at.max(listed) }),
            None => {
                let valid = listed.filter(|listed| denied_at.is_none_or(|denied| Some(*listed) > denied));
                valid.map(|listed| PrimaryClaim { at: Some(listed) })
            }
        }
    }

    /// Notes that an attempt was sent.
    pub(crate) fn attempt_sent(&mut self, now: LocalInstant) {
        self.health.request_sent();
        self.load.attempt_sent(now);
    }

    /// Notes that an attempt ended in this way.
    pub(crate) fn attempt_ended(&mut self, outcome: Outcome, now: LocalInstant) {
        self.health.request_ended();
        self.load.attempt_ended(now);
        if outcome.is_response() {
            self.last_response_at = Some(now);
        }
    }

    /// Takes in what an outcome has shown. Returns the change of state that follows, if any.
    pub(crate) fn apply_evidence(
        &mut self,
        evidence: &Evidence,
        now: LocalInstant,
        connect_timeout: Span,
        rng: &mut Rng,
    ) -> Option<StateChange> {
        if let Some(sample) = evidence.latency {
            self.load.sample_latency(sample.latency, sample.class_mean);
        }
        if let Some(until) = evidence.counts_as_load_until {
            self.load.count_abandoned(until);
        }
        if evidence.stale_until.is_some() {
            self.stale_until = evidence.stale_until;
        }
        match evidence.health {
            HealthEvidence::Unknown => None,
            HealthEvidence::Served { sent_at } => self.record_success(sent_at, now),
            HealthEvidence::Failed { weight } => self.record_failure(weight, now, connect_timeout, rng),
            HealthEvidence::ConnectFailed { weight } => {
                self.health.record_connect_failure(now);
                let weight = weight?;
                self.record_failure(weight, now, connect_timeout, rng)
            }
        }
    }

    fn record_success(&mut self, sent_at: LocalInstant, now: LocalInstant) -> Option<StateChange> {
        self.latest_served_sent_at = self.latest_served_sent_at.max(Some(sent_at));
        if !self.health.record_success(now) {
            return None;
        }
        self.load.forget_latency();
        Some(StateChange::Reinstated(self.id.clone()))
    }

    /// Counts a failure of this weight. Returns the ejection that follows, if any.
    pub(crate) fn record_failure(
        &mut self,
        weight: f64,
        now: LocalInstant,
        connect_timeout: Span,
        rng: &mut Rng,
    ) -> Option<StateChange> {
        let is_ejected = self.health.record_failure(weight, now, connect_timeout, rng);
        is_ejected.then(|| StateChange::Ejected(self.id.clone()))
    }

    /// Its identifier.
    pub(crate) fn id(&self) -> &EndpointId {
        &self.id
    }

    /// The zone that it is in.
    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    /// The group that it belongs to.
    pub(crate) fn group(&self) -> u32 {
        self.group
    }

    /// Its status in the endpoint list.
    pub(crate) fn status(&self) -> EndpointStatus {
        self.status
    }

    /// Whether the list has announced that it drains.
    pub(crate) fn is_drain_announced(&self) -> bool {
        self.drain_announced
    }

    /// Its outlier detector.
    pub(crate) fn health(&self) -> &OutlierDetector {
        &self.health
    }

    /// Its load.
    pub(crate) fn load(&self) -> &EndpointLoad {
        &self.load
    }

    /// The highest log position that it has reported.
    pub(crate) fn log_position(&self) -> Option<LogPosition> {
        self.reported.map(|reported| reported.position)
    }

    /// When it reported its log position.
    pub(crate) fn log_position_reported_at(&self) -> Option<LocalInstant> {
        self.reported.map(|reported| reported.reported_at)
    }

    /// Whether it is taken to be behind, since it has rejected a read.
    pub(crate) fn is_known_stale(&self, now: LocalInstant) -> bool {
        self.stale_until.is_some_and(|until| now < until)
    }

    /// For how long it has been up at least, if it was started lately enough for the list to tell.
    pub(crate) fn min_uptime(&self, clock: &ClusterClock, now: LocalInstant) -> Option<Span> {
        let start = self.start?;
        let since_listed = now - start.listed_at;
        let by_clock = clock.earliest(now).map(|earliest| earliest - start.started_at);
        Some(by_clock.map_or(since_listed, |uptime| uptime.max(since_listed)))
    }

    /// How far it was behind when it reported its log position.
    pub(crate) fn lag(&self, clock: &ClusterClock) -> Option<Span> {
        let reported = self.reported?;
        Some(clock.likely(reported.reported_at) - reported.position)
    }

    /// When it last answered.
    pub(crate) fn last_response_at(&self) -> Option<LocalInstant> {
        self.last_response_at
    }

    /// Whether it has answered nothing since this time.
    pub(crate) fn is_silent_since(&self, time: LocalInstant) -> bool {
        self.last_response_at.is_none_or(|answered_at| answered_at < time)
    }

    /// When the latest of the attempts was sent that it has served.
    pub(crate) fn latest_served_sent_at(&self) -> Option<LocalInstant> {
        self.latest_served_sent_at
    }

    /// Whether it was removed, and neither listed nor used since this time.
    pub(crate) fn is_removed_since(&self, horizon: LocalInstant) -> bool {
        let last_used = self.load.last_sent_at().max(Some(self.last_listed_at));
        let is_idle = self.load.in_flight() == 0 && last_used < Some(horizon);
        self.status == EndpointStatus::Removed && is_idle
    }
}

/// A claim that an endpoint is the primary; the newest one is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PrimaryClaim {
    /// The time that it speaks of; unknown for a claim that is older than any other.
    at: Option<LocalInstant>,
}

#[cfg(test)]
mod tests;

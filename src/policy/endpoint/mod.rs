//! What is known of one endpoint: its entry in the endpoint list, its role and log position, its health and
//! its load.

pub(crate) mod evidence;
mod listing;
mod load;
pub(crate) mod outlier_detection;
mod replication;

use fastrand::Rng;

use crate::interface::{Endpoint, EndpointId, EndpointStatus, LoadReport, Outcome, StateChange, UpdateKind};
use crate::policy::cluster::ClusterClock;
use crate::time::{LocalInstant, Span};
use evidence::{Evidence, HealthEvidence};
pub(crate) use listing::{Listing, Restart};
pub(crate) use load::EndpointLoad;
use outlier_detection::OutlierDetector;
pub(crate) use replication::{PrimaryClaim, Replication, ReportAge};

/// Everything that is known of one endpoint.
#[derive(Default)]
pub(crate) struct EndpointState {
    id: EndpointId,
    listing: Listing,
    replication: Replication,
    health: OutlierDetector,
    load: EndpointLoad,
    last_response_at: Option<LocalInstant>,
    /// When the latest of the attempts was sent that it has served.
    latest_served_sent_at: Option<LocalInstant>,
}

impl EndpointState {
    /// An endpoint of which nothing is known but its place.
    pub(crate) fn new(id: EndpointId, zone: u32, group: u32) -> EndpointState {
        EndpointState { id, listing: Listing::new(zone, group), ..EndpointState::default() }
    }

    /// Takes over an entry of the endpoint list. A restart resets the health of the endpoint.
    pub(crate) fn apply(&mut self, kind: UpdateKind, entry: &Endpoint, now: LocalInstant) -> Restart {
        let restart = self.listing.apply(kind, entry, now);
        if restart == Restart::Restarted {
            self.health.reset();
        }
        restart
    }

    /// Takes in what the endpoint has reported about itself.
    pub(crate) fn observe(
        &mut self,
        report: &LoadReport,
        age: ReportAge,
        clock: &ClusterClock,
        now: LocalInstant,
    ) {
        self.replication.observe(report, age, clock, now);
    }

    /// The newest claim that it is the primary, by itself or by a list whose roles are of that age.
    pub(crate) fn primary_claim(&self, list_age: Span) -> Option<PrimaryClaim> {
        let listed_at = self.listing.primary_since().map(|since| since - list_age);
        self.replication.primary_claim(listed_at)
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
        if let Some(until) = evidence.stale_until {
            self.replication.mark_stale_until(until);
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

    /// Its entry in the endpoint list.
    pub(crate) fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Its entry in the endpoint list, to be changed.
    pub(crate) fn listing_mut(&mut self) -> &mut Listing {
        &mut self.listing
    }

    /// Its role and its log position.
    pub(crate) fn replication(&self) -> &Replication {
        &self.replication
    }

    /// Its outlier detector.
    pub(crate) fn health(&self) -> &OutlierDetector {
        &self.health
    }

    /// Its load.
    pub(crate) fn load(&self) -> &EndpointLoad {
        &self.load
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
        let last_used = self.load.last_sent_at().max(Some(self.listing.last_listed_at()));
        let is_idle = self.load.in_flight() == 0 && last_used < Some(horizon);
        self.listing.status() == EndpointStatus::Removed && is_idle
    }
}

#[cfg(test)]
mod tests;

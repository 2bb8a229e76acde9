//! State of one endpoint: its entry in the endpoint list, its role and log position, its health and its load.

pub(crate) mod evidence;
mod listing;
mod load;
pub(crate) mod outlier_detection;
mod replication;

use fastrand::Rng;

use crate::interface::{Endpoint, EndpointId, EndpointStatus, Outcome, StateChange, UpdateKind};
use crate::time::{LocalInstant, Span};
use evidence::{Evidence, HealthEvidence};
pub(crate) use listing::{Listing, Restart};
pub(crate) use load::EndpointLoad;
use outlier_detection::OutlierDetector;
pub(crate) use replication::{PrimaryClaim, Replication, ReportAge};

/// The state that the policy keeps for one endpoint.
#[derive(Default)]
pub(crate) struct EndpointState {
    id: EndpointId,
    listing: Listing,
    replication: Replication,
    health: OutlierDetector,
    load: EndpointLoad,
    last_response_at: Option<LocalInstant>,
    /// When the newest attempt that the endpoint has served was sent.
    newest_served_attempt_sent_at: Option<LocalInstant>,
}

impl EndpointState {
    /// Creates the state of a new endpoint, of which only zone and group are known.
    pub(crate) fn new(id: EndpointId, zone: u32, group: u32) -> EndpointState {
        EndpointState { id, listing: Listing::new(zone, group), ..EndpointState::default() }
    }

    /// Applies an entry of the endpoint list. Resets the health of the endpoint if it has restarted.
    pub(crate) fn apply_list_entry(
        &mut self,
        kind: UpdateKind,
        entry: &Endpoint,
        now: LocalInstant,
    ) -> Restart {
        let restart = self.listing.apply_entry(kind, entry, now);
        if restart == Restart::Detected {
            self.health.reset();
        }
        restart
    }

    /// Returns the newest claim that this endpoint is the primary, made by the endpoint itself or by the
    /// endpoint list. The roles in the list are assumed to be `list_age` old.
    pub(crate) fn primary_claim(&self, list_age: Span) -> Option<PrimaryClaim> {
        let listed_at = self.listing.primary_since().map(|since| since - list_age);
        self.replication.primary_claim(listed_at)
    }

    /// Records that an attempt was sent.
    pub(crate) fn record_attempt_sent(&mut self, now: LocalInstant) {
        self.health.record_request_sent();
        self.load.record_attempt_sent(now);
    }

    /// Records that an attempt ended with this outcome.
    pub(crate) fn record_attempt_ended(&mut self, outcome: Outcome, now: LocalInstant) {
        self.health.record_request_ended();
        self.load.record_attempt_ended(now);
        if outcome.is_response() {
            self.last_response_at = Some(now);
        }
    }

    /// Applies the evidence of an outcome. Returns the resulting ejection or reinstatement, if any.
    pub(crate) fn apply_evidence(
        &mut self,
        evidence: &Evidence,
        now: LocalInstant,
        connect_timeout: Span,
        rng: &mut Rng,
    ) -> Option<StateChange> {
        if let Some(sample) = evidence.latency {
            self.load.record_latency(sample.latency, sample.class_mean);
        }
        if let Some(until) = evidence.counts_as_load_until {
            self.load.add_abandoned_attempt(until);
        }
        if let Some(until) = evidence.stale_until {
            self.replication.mark_stale_until(until);
        }
        match evidence.health {
            HealthEvidence::Inconclusive => None,
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
        self.newest_served_attempt_sent_at = self.newest_served_attempt_sent_at.max(Some(sent_at));
        if !self.health.record_success(now) {
            return None;
        }
        self.load.reset_latency_ratio();
        Some(StateChange::Reinstated(self.id.clone()))
    }

    /// Adds a failure of this weight to the failure score. Returns the resulting ejection, if any.
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

    pub(crate) fn id(&self) -> &EndpointId {
        &self.id
    }

    /// Returns the entry of the endpoint in the endpoint list.
    pub(crate) fn listing(&self) -> &Listing {
        &self.listing
    }

    pub(crate) fn listing_mut(&mut self) -> &mut Listing {
        &mut self.listing
    }

    /// Returns the role and the log position of the endpoint.
    pub(crate) fn replication(&self) -> &Replication {
        &self.replication
    }

    pub(crate) fn replication_mut(&mut self) -> &mut Replication {
        &mut self.replication
    }

    pub(crate) fn health(&self) -> &OutlierDetector {
        &self.health
    }

    pub(crate) fn load(&self) -> &EndpointLoad {
        &self.load
    }

    /// Returns when the last response of any kind arrived.
    pub(crate) fn last_response_at(&self) -> Option<LocalInstant> {
        self.last_response_at
    }

    /// Returns `true` if the endpoint has not responded at or after `time`.
    pub(crate) fn has_not_responded_since(&self, time: LocalInstant) -> bool {
        self.last_response_at.is_none_or(|answered_at| answered_at < time)
    }

    /// Returns when the newest attempt that the endpoint has served was sent.
    pub(crate) fn newest_served_attempt_sent_at(&self) -> Option<LocalInstant> {
        self.newest_served_attempt_sent_at
    }

    /// Returns `true` if the endpoint was removed from the list, has no attempt in flight, and was last
    /// listed and used before `horizon`.
    pub(crate) fn may_be_purged(&self, horizon: LocalInstant) -> bool {
        let last_used = self.load.last_sent_at().max(Some(self.listing.last_listed_at()));
        let is_idle = self.load.in_flight() == 0 && last_used < Some(horizon);
        self.listing.status() == EndpointStatus::Removed && is_idle
    }
}

#[cfg(test)]
mod tests;

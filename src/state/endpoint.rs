//! An endpoint, as far as this pooler knows it.

use super::{ClusterClock, SlowStartBudget};
use crate::interface::{Endpoint, EndpointId, EndpointStatus, Outcome, Role, UpdateKind};
use crate::time::{ClusterInstant, LocalInstant, LogPosition, Span};

const NEVER: LocalInstant = LocalInstant::from_secs(f64::NEG_INFINITY);

/// Everything that is known of one endpoint.
#[derive(Default)]
pub(crate) struct EndpointState {
    pub id: EndpointId,
    pub zone: u32,
    pub group: u32,
    pub status: EndpointStatus,
    /// It was listed as draining: binding even where removal is only advisory.
    pub drain_announced: bool,
    /// When it last started; `None` for long ago.
    pub started_at: Option<ClusterInstant>,
    /// When that start was first listed.
    pub start_listed_at: LocalInstant,
    /// When it was last listed as anything but removed.
    pub last_listed_at: LocalInstant,
    pub listed_role: Role,
    /// When the list last changed what it says of the role.
    pub listed_role_at: LocalInstant,
    /// What the endpoint itself said of its role.
    pub role: Option<RoleClaim>,
    /// The highest log position that it reported.
    pub log_position: LogPosition,
    /// When it reported that position.
    pub log_position_at: LocalInstant,
    /// Until then it gets no read unless its log position is known to be recent enough.
    pub stale_until: LocalInstant,
    /// When the last answer came.
    pub last_response_at: LocalInstant,
    /// When the latest of the attempts was sent that it has served.
    pub latest_served_send_at: LocalInstant,
    pub health: OutlierDetector,
    pub load: EndpointLoad,
    /// What it may still get while it is in slow start.
    pub slow_start: SlowStartBudget,
    pub health_check_in_flight: bool,
    pub last_health_check_at: LocalInstant,
}

/// A role that an endpoint claimed, dated by the time that it speaks of.
#[derive(Clone, Copy)]
pub(crate) struct RoleClaim {
    pub role: Role,
    pub at: LocalInstant,
}

/// The evidence for and against ejecting an endpoint. What follows from it is decided by the policy.
#[derive(Clone, Debug)]
pub(crate) struct OutlierDetector {
    /// Weight of the failures so far; decays with time.
    pub failure_score: f64,
    pub score_updated_at: LocalInstant,
    pub is_ejected: bool,
    /// From when on one request may try it.
    pub ejected_until: LocalInstant,
    /// Ejections in a row, counting relapses.
    pub consecutive_ejections: i32,
    pub reinstated_at: LocalInstant,
    /// The one request that tries an ejected endpoint is in flight.
    pub trial_in_flight: bool,
    /// When a connection to it last failed.
    pub connect_failed_at: LocalInstant,
}

impl Default for OutlierDetector {
    fn default() -> Self {
        OutlierDetector {
            failure_score: 0.0,
            score_updated_at: LocalInstant::EPOCH,
            is_ejected: false,
            ejected_until: LocalInstant::EPOCH,
            consecutive_ejections: 0,
            reinstated_at: NEVER,
            trial_in_flight: false,
            connect_failed_at: NEVER,
        }
    }
}

/// The requests that this pooler has in flight at an endpoint, and how fast it answers.
pub(crate) struct EndpointLoad {
    pub in_flight: u32,
    /// Abandoned attempts that may still be executed: they count as load until these times.
    pub abandoned: Vec<LocalInstant>,
    /// Running mean of the requests in flight when one more was sent.
    pub usual: f64,
    /// Running mean of the latency over what the class takes elsewhere.
    pub latency_ratio: f64,
    pub last_sent_at: LocalInstant,
}

impl EndpointLoad {
    /// Takes a measured latency over that of its class into the running mean, with this weight.
    pub fn sample_latency_ratio(&mut self, ratio: f64, weight: f64) {
        self.latency_ratio += weight * (ratio - self.latency_ratio);
    }

    /// Requests in flight, abandoned ones included.
    pub fn total(&self, now: LocalInstant) -> u32 {
        let abandoned = self.abandoned.iter().filter(|until| **until > now).count();
        self.in_flight + abandoned as u32
    }
}

impl Default for EndpointLoad {
    fn default() -> Self {
        EndpointLoad {
            in_flight: 0,
            abandoned: Vec::new(),
            usual: 0.0,
            latency_ratio: 1.0,
            last_sent_at: NEVER,
        }
    }
}

impl EndpointState {
    /// An endpoint of which nothing is known but its place.
    pub fn new(id: EndpointId, zone: u32, group: u32) -> EndpointState {
        EndpointState {
            id,
            zone,
            group,
            start_listed_at: NEVER,
            log_position: LogPosition::from_secs(f64::NEG_INFINITY),
            log_position_at: NEVER,
            last_response_at: NEVER,
            latest_served_send_at: NEVER,
            last_health_check_at: NEVER,
            ..EndpointState::default()
        }
    }

    /// Takes over an entry of the endpoint list. After a restart its health begins anew and it warms up.
    pub fn apply(&mut self, kind: UpdateKind, entry: &Endpoint, now: LocalInstant) {
        self.zone = entry.zone;
        if entry.started_at > self.started_at {
            self.started_at = entry.started_at;
            self.start_listed_at = now;
            self.slow_start = SlowStartBudget::default();
            self.health.failure_score = 0.0;
            self.health.ejected_until = LocalInstant::EPOCH;
            self.health.is_ejected = false;
        }
        if entry.role != self.listed_role || kind == UpdateKind::Cached {
            self.listed_role = entry.role;
            self.listed_role_at = now;
        }
        self.drain_announced = match entry.status {
            EndpointStatus::Serving => false,
            EndpointStatus::Draining => true,
            EndpointStatus::Removed => self.drain_announced,
        };
        self.status = entry.status;
    }

    /// For how long it has been up at least, if it was started lately enough for the list to tell.
    pub fn min_uptime(&self, clock: &ClusterClock, now: LocalInstant) -> Option<Span> {
        let started_at = self.started_at?;
        Some((clock.earliest(now) - started_at).max(now - self.start_listed_at))
    }

    /// How far it was behind when it reported its log position.
    pub fn lag(&self, clock: &ClusterClock) -> Span {
        clock.likely(self.log_position_at) - self.log_position
    }

    /// Whether it has answered nothing since this time.
    pub fn is_silent_since(&self, time: LocalInstant) -> bool {
        self.last_response_at < time
    }

    /// Whether it was removed, and neither listed nor used since this time.
    pub fn is_removed_since(&self, horizon: LocalInstant) -> bool {
        let last_used = self.load.last_sent_at.max(self.last_listed_at);
        let is_idle = self.load.in_flight == 0 && last_used < horizon;
        self.status == EndpointStatus::Removed && is_idle
    }

    /// Notes that an attempt was sent; the usual load takes in the present one with this weight.
    pub fn attempt_sent(&mut self, now: LocalInstant, weight: f64) {
        self.health.trial_in_flight |= self.health.is_ejected;
        self.load.usual += weight * (f64::from(self.load.in_flight) - self.load.usual);
        self.load.in_flight += 1;
        self.load.last_sent_at = now;
    }

    /// Notes that an attempt ended in this way.
    pub fn attempt_ended(&mut self, outcome: Outcome, now: LocalInstant) {
        self.health.trial_in_flight = false;
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        self.load.abandoned.retain(|until| *until > now);
        if outcome.is_response() {
            self.last_response_at = now;
        }
    }
}

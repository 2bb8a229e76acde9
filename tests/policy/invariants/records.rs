//! The state of endpoints, requests and attempts that the checker keeps.

use std::sync::Arc;

use pg_pooler::interface::{EndpointStatus, Outcome};

/// What the policy has been told about an endpoint.
#[derive(Default)]
pub struct EndpointRecord {
    pub group: u32,
    pub status: EndpointStatus,
    /// Whether a drain was announced and no later entry has revoked it.
    pub draining: bool,
    /// The highest log position that it reported.
    pub log_position: Option<f64>,
}

/// One attempt of a request.
pub struct AttemptRecord {
    pub sent_at: f64,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl AttemptRecord {
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns `true` if it may have been executed, or may still be because it is in flight.
    pub fn may_be_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.proves_not_executed())
    }
}

/// A request that the policy has received.
pub struct RequestRecord {
    pub class: usize,
    pub group: u32,
    pub arrived_at: f64,
    /// When its client stops waiting, or the deadline of its class if that is earlier.
    pub deadline: f64,
    pub session: Option<Arc<str>>,
    /// The log position that an endpoint must have applied to serve it if it is a session read.
    pub session_position: f64,
    pub attempts: Vec<AttemptRecord>,
    /// Number of final answers, from the policy or from an endpoint.
    pub final_answers: usize,
    pub disconnected: bool,
}

impl RequestRecord {
    /// Returns `true` if it was answered, or needs no answer because its client has disconnected.
    pub fn is_finished(&self) -> bool {
        self.final_answers > 0 || self.disconnected
    }

    /// Returns when the first attempt was sent that may have been executed, or may still be.
    pub fn possibly_executed_since(&self) -> Option<f64> {
        let attempts = self.attempts.iter().filter(|attempt| attempt.may_be_executed());
        attempts.map(|attempt| attempt.sent_at).reduce(f64::min)
    }
}

//! What the checker keeps of the endpoints, the requests and their attempts.

use std::sync::Arc;

use pg_pooler::interface::{EndpointStatus, Outcome};

/// What the policy was told of an endpoint.
#[derive(Default)]
pub struct EndpointRecord {
    pub group: u32,
    pub status: EndpointStatus,
    /// Whether a drain was announced that no later entry has revoked.
    pub draining: bool,
    /// The latest log position that it reported.
    pub log_position: Option<f64>,
}

/// One attempt of a request.
pub struct AttemptRecord {
    pub sent_at: f64,
    /// How it ended; none while it is in flight.
    pub outcome: Option<Outcome>,
}

impl AttemptRecord {
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub fn may_be_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.proves_not_executed())
    }
}

/// A request that the policy has received.
pub struct RequestRecord {
    pub class: usize,
    pub group: u32,
    pub arrived_at: f64,
    /// When its client, or its class, stops waiting.
    pub deadline: f64,
    pub session: Option<Arc<str>>,
    /// The log position that a session read needs.
    pub session_position: f64,
    pub attempts: Vec<AttemptRecord>,
    /// Final answers, from the policy or from an endpoint.
    pub final_answers: usize,
    pub disconnected: bool,
}

impl RequestRecord {
    pub fn is_finished(&self) -> bool {
        self.final_answers > 0 || self.disconnected
    }

    /// When the first attempt was sent that may have been executed, or may yet be.
    pub fn possibly_executed_since(&self) -> Option<f64> {
        let attempts = self.attempts.iter().filter(|attempt| attempt.may_be_executed());
        attempts.map(|attempt| attempt.sent_at).reduce(f64::min)
    }
}

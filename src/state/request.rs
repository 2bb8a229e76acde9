//! A request that is not finished, and its attempts.

use std::sync::Arc;

use super::EndpointKey;
use crate::interface::{Outcome, Request, RequestId};
use crate::time::{LocalInstant, LogPosition};

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub endpoint: EndpointKey,
    pub sent_at: LocalInstant,
    pub in_flight: bool,
    /// It was withdrawn; its end may still be due.
    pub cancelled: bool,
    /// The silence of its endpoint has been counted as a failure.
    pub silence_counted: bool,
    /// It never reached its endpoint.
    pub not_sent: bool,
    /// It ended in a way that leaves open whether it was executed.
    pub may_have_run: bool,
}

impl Attempt {
    /// An attempt that has just been sent.
    pub fn new(endpoint: EndpointKey, sent_at: LocalInstant) -> Attempt {
        Attempt {
            endpoint,
            sent_at,
            in_flight: true,
            cancelled: false,
            silence_counted: false,
            not_sent: false,
            may_have_run: false,
        }
    }
}

/// A request that is not finished, or still has attempts in flight.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub id: RequestId,
    pub class: usize,
    pub group: u32,
    /// When its latency objective is over.
    pub objective_at: LocalInstant,
    pub deadline: LocalInstant,
    /// Until then it may wait without having reached any endpoint.
    pub queue_until: LocalInstant,
    /// Log position that a session read has to see.
    pub session_token: LogPosition,
    pub over_quota: bool,
    pub session: Option<Arc<str>>,
    /// Drawn once from 0 to 1: decides where only a share of all requests may go.
    pub sampling_draw: f64,
    pub attempts: Vec<Attempt>,
    /// It waits in its group's queue.
    pub queued: bool,
    /// It has had its final answer, or its client has left.
    pub finished: bool,
}

impl PendingRequest {
    /// A request that has just been received; its times are filled in by the policy.
    pub fn new(request: Request) -> PendingRequest {
        PendingRequest {
            id: request.id,
            class: request.class,
            group: request.group,
            objective_at: LocalInstant::EPOCH,
            deadline: LocalInstant::EPOCH,
            queue_until: LocalInstant::EPOCH,
            session_token: LogPosition::from_secs(f64::NEG_INFINITY),
            over_quota: false,
            session: request.session,
            sampling_draw: 0.0,
            attempts: Vec::new(),
            queued: false,
            finished: false,
        }
    }

    /// Marks an attempt as ended; a copy of it, unless there is none or it had ended before.
    pub fn close_attempt(&mut self, number: usize, outcome: Outcome) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(number).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.not_sent = matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent);
        attempt.may_have_run = !outcome.proves_not_executed() && outcome != Outcome::Success;
        Some(attempt.clone())
    }

    /// How many attempts are in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// Whether an attempt is in flight.
    pub fn in_flight(&self) -> bool {
        self.attempts_in_flight() > 0
    }

    /// Whether an attempt was made at this endpoint.
    pub fn tried(&self, endpoint: EndpointKey) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }

    /// Whether it has reached no endpoint, as far as is known.
    pub fn untried(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.not_sent)
    }

    /// Until when an answer is useful: the deadline, or the latency objective if late answers earn nothing.
    pub fn useful_until(&self, earns_late: bool) -> LocalInstant {
        if earns_late {
            self.deadline
        } else {
            self.objective_at
        }
    }

    /// When the first attempt was sent that may have been executed, or is in flight and may yet be.
    pub fn may_have_run_since(&self) -> Option<LocalInstant> {
        let risky = self.attempts.iter().filter(|attempt| attempt.in_flight || attempt.may_have_run);
        risky.map(|attempt| attempt.sent_at).min()
    }
}

//! Requests that are not finished, and their attempts.

mod attempt;
mod table;

use std::sync::Arc;

use crate::interface::{Outcome, Request, RequestId};
use crate::policy::cluster::EndpointKey;
use crate::policy::freshness::RequiredPosition;
use crate::settings::RequestClass;
use crate::time::LocalInstant;
pub(crate) use attempt::Attempt;
pub(crate) use table::{AttemptInFlight, EndedAttempt, RequestKey, RequestTable};

/// Whether a request is within the quota of its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaStatus {
    /// It is, or its tenant has no quota.
    Within,
    /// It is beyond: its priority is lower.
    Exceeded,
}

/// What the policy has found out about a request when it was received.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    /// When its latency objective is over.
    pub(crate) objective_expires_at: LocalInstant,
    /// When its client stops waiting.
    pub(crate) deadline: LocalInstant,
    /// Until then it may wait without having reached any endpoint.
    pub(crate) queue_until: LocalInstant,
    /// The log position that it has to see as a session read.
    pub(crate) session_token: RequiredPosition,
    /// Whether it is within the quota of its tenant.
    pub(crate) quota_status: QuotaStatus,
    /// Drawn once from 0 to 1: decides where only a share of all requests may go.
    pub(crate) sampling_value: f64,
}

/// Whether a request waits in the queue of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueueState {
    NotQueued,
    Queued,
}

/// Whether a request still needs a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerState {
    Due,
    /// It has had its final answer, or its client has disconnected.
    Finished,
}

/// A request that is not finished, or still has attempts in flight.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    id: RequestId,
    class: usize,
    group: u32,
    session: Option<Arc<str>>,
    context: RequestContext,
    attempts: Vec<Attempt>,
    queue: QueueState,
    answer: AnswerState,
}

impl PendingRequest {
    /// A request that has just been received.
    pub(crate) fn new(request: Request, context: RequestContext) -> PendingRequest {
        PendingRequest {
            id: request.id,
            class: request.class,
            group: request.group,
            session: request.session,
            context,
            attempts: Vec::new(),
            queue: QueueState::NotQueued,
            answer: AnswerState::Due,
        }
    }

    /// Its identifier.
    pub(crate) fn id(&self) -> &RequestId {
        &self.id
    }

    /// Its class.
    pub(crate) fn class(&self) -> usize {
        self.class
    }

    /// The group that holds its data.
    pub(crate) fn group(&self) -> u32 {
        self.group
    }

    /// Its session, if it belongs to one.
    pub(crate) fn session(&self) -> Option<&Arc<str>> {
        self.session.as_ref()
    }

    /// What was found out about it when it was received.
    pub(crate) fn context(&self) -> &RequestContext {
        &self.context
    }

    /// Its attempts, in the order in which they were sent.
    pub(crate) fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// One of its attempts, to be changed.
    pub(crate) fn attempt_mut(&mut self, number: usize) -> Option<&mut Attempt> {
        self.attempts.get_mut(number)
    }

    /// Adds an attempt that has just been sent; the request waits in no queue any more.
    pub(crate) fn add_attempt(&mut self, attempt: Attempt) {
        self.queue = QueueState::NotQueued;
        self.attempts.push(attempt);
    }

    /// Marks an attempt as ended. Returns a copy of it as it was while in flight, unless there is none or it
    /// had ended before.
    pub(crate) fn end_attempt(&mut self, number: usize, outcome: Outcome) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(number).filter(|attempt| attempt.is_in_flight())?;
        let in_flight = attempt.clone();
        attempt.end(outcome);
        Some(in_flight)
    }

    /// How many attempts are in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight()).count()
    }

    /// Whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether an attempt was made at this endpoint.
    pub(crate) fn has_tried(&self, endpoint: EndpointKey) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint() == endpoint)
    }

    /// Whether it has reached no endpoint, as far as is known.
    pub(crate) fn has_reached_no_endpoint(&self) -> bool {
        self.attempts.iter().all(Attempt::never_reached_endpoint)
    }

    /// When the first attempt was sent that may have been executed, or is in flight and may yet be.
    pub(crate) fn may_have_run_since(&self) -> Option<LocalInstant> {
        let attempts = self.attempts.iter().filter(|attempt| attempt.may_take_effect());
        attempts.map(Attempt::sent_at).min()
    }

    /// Until when an answer is of use: the deadline, or the latency objective if a late answer earns nothing.
    pub(crate) fn useful_until(&self, class: &RequestClass) -> LocalInstant {
        if class.late_weight > 0.0 {
            self.context.deadline
        } else {
            self.context.objective_expires_at
        }
    }

    /// Puts it into a queue. Returns whether it was in none.
    pub(crate) fn enter_queue(&mut self) -> bool {
        std::mem::replace(&mut self.queue, QueueState::Queued) == QueueState::NotQueued
    }

    /// Takes it out of its queue.
    pub(crate) fn leave_queue(&mut self) {
        self.queue = QueueState::NotQueued;
    }

    /// Notes that it needs no final answer any more.
    pub(crate) fn finish(&mut self) {
        self.answer = AnswerState::Finished;
    }

    /// Whether it needs no final answer any more.
    pub(crate) fn is_finished(&self) -> bool {
        self.answer == AnswerState::Finished
    }
}

#[cfg(test)]
pub(crate) mod tests;

//! The requests in progress and their attempts.

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

/// Whether a request was within the quota of its tenant when it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaStatus {
    /// Within the quota, or the tenant has none.
    Within,
    /// Over the quota: admission control gives the request a lower priority.
    Exceeded,
}

/// Properties of a request that are determined once, when it is received.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    /// When the latency objective expires.
    pub(crate) objective_expires_at: LocalInstant,
    /// When the client stops waiting for an answer.
    pub(crate) deadline: LocalInstant,
    /// When the request is given up if it has reached no endpoint by then.
    pub(crate) queue_deadline: LocalInstant,
    /// For a session read, the log position that an endpoint must have reached to serve it.
    pub(crate) session_token: RequiredPosition,
    pub(crate) quota_status: QuotaStatus,
    /// Random number from 0 to 1. A rule that admits a share of all requests admits those whose number is
    /// below that share.
    pub(crate) sampling_value: f64,
}

/// Whether a request is in the queue of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueueState {
    NotQueued,
    Queued,
}

/// Whether a request still needs a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerState {
    Pending,
    /// The final answer was given, a response has started, or the client has disconnected.
    Finished,
}

/// A request without a final answer, or with attempts still in flight.
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
    /// Creates the state of a newly received request, which has no attempts yet.
    pub(crate) fn new(request: Request, context: RequestContext) -> PendingRequest {
        PendingRequest {
            id: request.id,
            class: request.class,
            group: request.group,
            session: request.session,
            context,
            attempts: Vec::new(),
            queue: QueueState::NotQueued,
            answer: AnswerState::Pending,
        }
    }

    pub(crate) fn id(&self) -> &RequestId {
        &self.id
    }

    /// Returns the index of the class in the settings.
    pub(crate) fn class(&self) -> usize {
        self.class
    }

    /// Returns the group that holds the data.
    pub(crate) fn group(&self) -> u32 {
        self.group
    }

    pub(crate) fn session(&self) -> Option<&Arc<str>> {
        self.session.as_ref()
    }

    pub(crate) fn context(&self) -> &RequestContext {
        &self.context
    }

    /// Returns all attempts in the order in which they were sent, including those that have ended.
    pub(crate) fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    pub(crate) fn attempt_mut(&mut self, number: usize) -> Option<&mut Attempt> {
        self.attempts.get_mut(number)
    }

    /// Adds an attempt that was just sent, and marks the request as not queued.
    pub(crate) fn add_attempt(&mut self, attempt: Attempt) {
        self.queue = QueueState::NotQueued;
        self.attempts.push(attempt);
    }

    /// Marks an attempt as ended. Returns a copy of its state before the end, or `None` if there is no such
    /// attempt in flight.
    pub(crate) fn end_attempt(&mut self, number: usize, outcome: Outcome) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(number).filter(|attempt| attempt.is_in_flight())?;
        let in_flight = attempt.clone();
        attempt.end(outcome);
        Some(in_flight)
    }

    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight()).count()
    }

    /// Returns `true` if any attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns `true` if an attempt was made at `endpoint`, regardless of its outcome.
    pub(crate) fn has_tried(&self, endpoint: EndpointKey) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint() == endpoint)
    }

    /// Returns `true` if all attempts have ended without reaching an endpoint, or if none was made yet.
    pub(crate) fn has_reached_no_endpoint(&self) -> bool {
        self.attempts.iter().all(Attempt::never_reached_endpoint)
    }

    /// Returns when the earliest attempt was sent that may have been executed or is still in flight.
    pub(crate) fn possibly_executed_since(&self) -> Option<LocalInstant> {
        let attempts = self.attempts.iter().filter(|attempt| attempt.may_be_executed());
        attempts.map(Attempt::sent_at).min()
    }

    /// Returns the time after which an answer is useless: the deadline, or the end of the latency objective
    /// if the class gives late answers no weight.
    pub(crate) fn useful_until(&self, class: &RequestClass) -> LocalInstant {
        if class.late_weight > 0.0 {
            self.context.deadline
        } else {
            self.context.objective_expires_at
        }
    }

    /// Marks the request as queued. Returns `true` if it was not queued before.
    pub(crate) fn enter_queue(&mut self) -> bool {
        std::mem::replace(&mut self.queue, QueueState::Queued) == QueueState::NotQueued
    }

    /// Marks the request as not queued.
    pub(crate) fn leave_queue(&mut self) {
        self.queue = QueueState::NotQueued;
    }

    /// Records that the final answer was given or is no longer needed.
    pub(crate) fn finish(&mut self) {
        self.answer = AnswerState::Finished;
    }

    /// Returns `true` if the final answer was given or is no longer needed.
    pub(crate) fn is_finished(&self) -> bool {
        self.answer == AnswerState::Finished
    }
}

#[cfg(test)]
pub(crate) mod tests;

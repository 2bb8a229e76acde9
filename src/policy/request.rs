//! A request that is not finished, and its attempts.

use std::sync::Arc;

use super::admission::QuotaUse;
use super::endpoint_table::EndpointKey;
use super::freshness::RequiredPosition;
use crate::interface::{Outcome, Request, RequestId};
use crate::settings::RequestClass;
use crate::time::LocalInstant;

/// What has become of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    /// It is in flight.
    Waiting,
    /// It is in flight, and the silence of its endpoint has been counted as a failure.
    SilenceCounted,
    /// It was cancelled; its end may still be due.
    Cancelled,
    /// It was cancelled after the silence of its endpoint had been counted.
    CancelledAfterSilence,
    /// It ended and never reached its endpoint.
    NotSent,
    /// It ended, and it is not known whether it was executed.
    MayHaveRun,
    /// It ended with an answer that says whether it was executed.
    Answered,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    endpoint: EndpointKey,
    sent_at: LocalInstant,
    state: AttemptState,
}

impl Attempt {
    /// An attempt that has just been sent.
    pub(super) fn new(endpoint: EndpointKey, sent_at: LocalInstant) -> Attempt {
        Attempt { endpoint, sent_at, state: AttemptState::Waiting }
    }

    /// Where it was sent.
    pub(super) fn endpoint(&self) -> EndpointKey {
        self.endpoint
    }

    /// When it was sent.
    pub(super) fn sent_at(&self) -> LocalInstant {
        self.sent_at
    }

    /// Whether it has not ended.
    pub(super) fn is_in_flight(&self) -> bool {
        match self.state {
            AttemptState::Waiting
            | AttemptState::SilenceCounted
            | AttemptState::Cancelled
            | AttemptState::CancelledAfterSilence => true,
            AttemptState::NotSent | AttemptState::MayHaveRun | AttemptState::Answered => false,
        }
    }

    /// Whether it was cancelled while in flight.
    pub(super) fn is_cancelled(&self) -> bool {
        matches!(self.state, AttemptState::Cancelled | AttemptState::CancelledAfterSilence)
    }

    /// Whether the silence of its endpoint has been counted as a failure.
    pub(super) fn is_silence_counted(&self) -> bool {
        matches!(self.state, AttemptState::SilenceCounted | AttemptState::CancelledAfterSilence)
    }

    /// Notes that the silence of its endpoint has been counted as a failure.
    pub(super) fn count_silence(&mut self) {
        self.state = match self.state {
            AttemptState::Waiting => AttemptState::SilenceCounted,
            AttemptState::Cancelled => AttemptState::CancelledAfterSilence,
            unchanged => unchanged,
        };
    }

    /// Notes that it was cancelled.
    pub(super) fn cancel(&mut self) {
        self.state = match self.state {
            AttemptState::Waiting => AttemptState::Cancelled,
            AttemptState::SilenceCounted => AttemptState::CancelledAfterSilence,
            unchanged => unchanged,
        };
    }

    fn end(&mut self, outcome: Outcome) {
        self.state = match outcome {
            Outcome::ConnectFailed | Outcome::NotSent => AttemptState::NotSent,
            Outcome::Error | Outcome::Timeout | Outcome::ConnectionReset | Outcome::Cancelled => {
                AttemptState::MayHaveRun
            }
            Outcome::Success | Outcome::Overloaded | Outcome::Ineligible | Outcome::InvalidRequest => {
                AttemptState::Answered
            }
        };
    }

    fn never_reached_endpoint(&self) -> bool {
        self.state == AttemptState::NotSent
    }

    /// Whether it may have been executed, or may yet be.
    fn may_take_effect(&self) -> bool {
        self.is_in_flight() || self.state == AttemptState::MayHaveRun
    }
}

/// What the policy has found out about a request when it was received.
#[derive(Clone, Debug)]
pub(super) struct RequestTerms {
    /// When its latency objective is over.
    pub(super) objective_at: LocalInstant,
    /// When its client stops waiting.
    pub(super) deadline: LocalInstant,
    /// Until then it may wait without having reached any endpoint.
    pub(super) queue_until: LocalInstant,
    /// The log position that it has to see as a session read.
    pub(super) session_token: RequiredPosition,
    /// Whether it is within the quota of its tenant.
    pub(super) quota_use: QuotaUse,
    /// Drawn once from 0 to 1: decides where only a share of all requests may go.
    pub(super) sampling_draw: f64,
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
pub(super) struct PendingRequest {
    id: RequestId,
    class: usize,
    group: u32,
    session: Option<Arc<str>>,
    terms: RequestTerms,
    attempts: Vec<Attempt>,
    queue: QueueState,
    answer: AnswerState,
}

impl PendingRequest {
    /// A request that has just been received.
    pub(super) fn new(request: Request, terms: RequestTerms) -> PendingRequest {
        PendingRequest {
            id: request.id,
            class: request.class,
            group: request.group,
            session: request.session,
            terms,
            attempts: Vec::new(),
            queue: QueueState::NotQueued,
            answer: AnswerState::Due,
        }
    }

    /// Its identifier.
    pub(super) fn id(&self) -> &RequestId {
        &self.id
    }

    /// Its class.
    pub(super) fn class(&self) -> usize {
        self.class
    }

    /// The group that holds its data.
    pub(super) fn group(&self) -> u32 {
        self.group
    }

    /// Its session, if it belongs to one.
    pub(super) fn session(&self) -> Option<&Arc<str>> {
        self.session.as_ref()
    }

    /// When its latency objective is over.
    pub(super) fn objective_at(&self) -> LocalInstant {
        self.terms.objective_at
    }

    /// When its client stops waiting.
    pub(super) fn deadline(&self) -> LocalInstant {
        self.terms.deadline
    }

    /// Until then it may wait without having reached any endpoint.
    pub(super) fn queue_until(&self) -> LocalInstant {
        self.terms.queue_until
    }

    /// The log position that it has to see as a session read.
    pub(super) fn session_token(&self) -> RequiredPosition {
        self.terms.session_token
    }

    /// Whether it is within the quota of its tenant.
    pub(super) fn quota_use(&self) -> QuotaUse {
        self.terms.quota_use
    }

    /// A number from 0 to 1 that decides where only a share of all requests may go.
    pub(super) fn sampling_draw(&self) -> f64 {
        self.terms.sampling_draw
    }

    /// Its attempts, in the order in which they were sent.
    pub(super) fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// One of its attempts, to be changed.
    pub(super) fn attempt_mut(&mut self, number: usize) -> Option<&mut Attempt> {
        self.attempts.get_mut(number)
    }

    /// Adds an attempt that has just been sent; the request waits in no queue any more.
    pub(super) fn add_attempt(&mut self, attempt: Attempt) {
        self.queue = QueueState::NotQueued;
        self.attempts.push(attempt);
    }

    /// Marks an attempt as ended. Returns a copy of it as it was while in flight, unless there is none or it
    /// had ended before.
    pub(super) fn end_attempt(&mut self, number: usize, outcome: Outcome) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(number).filter(|attempt| attempt.is_in_flight())?;
        let in_flight = attempt.clone();
        attempt.end(outcome);
        Some(in_flight)
    }

    /// How many attempts are in flight.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight()).count()
    }

    /// Whether an attempt is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether an attempt was made at this endpoint.
    pub(super) fn has_tried(&self, endpoint: EndpointKey) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }

    /// Whether it has reached no endpoint, as far as is known.
    pub(super) fn has_reached_no_endpoint(&self) -> bool {
        self.attempts.iter().all(Attempt::never_reached_endpoint)
    }

    /// When the first attempt was sent that may have been executed, or is in flight and may yet be.
    pub(super) fn may_have_run_since(&self) -> Option<LocalInstant> {
        let attempts = self.attempts.iter().filter(|attempt| attempt.may_take_effect());
        attempts.map(Attempt::sent_at).min()
    }

    /// Until when an answer is of use: the deadline, or the latency objective if a late answer earns nothing.
    pub(super) fn useful_until(&self, class: &RequestClass) -> LocalInstant {
        if class.late_weight > 0.0 {
            self.deadline()
        } else {
            self.objective_at()
        }
    }

    /// Puts it into a queue. Returns whether it was in none.
    pub(super) fn enter_queue(&mut self) -> bool {
        std::mem::replace(&mut self.queue, QueueState::Queued) == QueueState::NotQueued
    }

    /// Takes it out of its queue.
    pub(super) fn leave_queue(&mut self) {
        self.queue = QueueState::NotQueued;
    }

    /// Notes that it needs no final answer any more.
    pub(super) fn finish(&mut self) {
        self.answer = AnswerState::Finished;
    }

    /// Whether it needs no final answer any more.
    pub(super) fn is_finished(&self) -> bool {
        self.answer == AnswerState::Finished
    }
}

#[cfg(test)]
pub(super) mod tests;

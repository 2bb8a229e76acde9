//! The state of a single attempt.

use crate::interface::Outcome;
use crate::policy::cluster::EndpointKey;
use crate::time::LocalInstant;

/// The state of an attempt, with what is known about its execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    InFlight,
    /// In flight, and counted as a failure because its endpoint is unresponsive.
    CountedAsFailure,
    /// Cancelled by the pooler; its result has not been reported yet.
    Cancelled,
    /// Both cancelled and counted as a failure.
    CancelledAndCounted,
    /// Ended without having reached its endpoint.
    NotSent,
    /// Ended; the request may have been executed.
    PossiblyExecuted,
    /// Ended with an answer that tells whether the request was executed.
    Answered,
}

/// One attempt of a request, at one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    endpoint: EndpointKey,
    sent_at: LocalInstant,
    state: AttemptState,
}

impl Attempt {
    pub(crate) fn new(endpoint: EndpointKey, sent_at: LocalInstant) -> Attempt {
        Attempt { endpoint, sent_at, state: AttemptState::InFlight }
    }

    pub(crate) fn endpoint(&self) -> EndpointKey {
        self.endpoint
    }

    pub(crate) fn sent_at(&self) -> LocalInstant {
        self.sent_at
    }

    /// Returns `true` if the result has not been reported yet, even if the attempt was cancelled.
    pub(crate) fn is_in_flight(&self) -> bool {
        match self.state {
            AttemptState::InFlight
            | AttemptState::CountedAsFailure
            | AttemptState::Cancelled
            | AttemptState::CancelledAndCounted => true,
            AttemptState::NotSent | AttemptState::PossiblyExecuted | AttemptState::Answered => false,
        }
    }

    /// Returns `true` if the pooler has cancelled the attempt and its result has not been reported yet.
    pub(crate) fn is_cancelled(&self) -> bool {
        matches!(self.state, AttemptState::Cancelled | AttemptState::CancelledAndCounted)
    }

    /// Returns `true` if the attempt is in flight and was counted as a failure of its endpoint.
    pub(crate) fn is_counted_as_failure(&self) -> bool {
        matches!(self.state, AttemptState::CountedAsFailure | AttemptState::CancelledAndCounted)
    }

    /// Marks the attempt as counted as a failure of its endpoint, so that it is counted only once.
    pub(crate) fn mark_counted_as_failure(&mut self) {
        self.state = match self.state {
            AttemptState::InFlight => AttemptState::CountedAsFailure,
            AttemptState::Cancelled => AttemptState::CancelledAndCounted,
            unchanged => unchanged,
        };
    }

    /// Marks the attempt as cancelled. It stays in flight until its result is reported.
    pub(crate) fn cancel(&mut self) {
        self.state = match self.state {
            AttemptState::InFlight => AttemptState::Cancelled,
            AttemptState::CountedAsFailure => AttemptState::CancelledAndCounted,
            unchanged => unchanged,
        };
    }

    /// Records the outcome with which the attempt ended.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        self.state = match outcome {
            Outcome::ConnectFailed | Outcome::NotSent => AttemptState::NotSent,
            Outcome::Error | Outcome::Timeout | Outcome::ConnectionReset | Outcome::Cancelled => {
                AttemptState::PossiblyExecuted
            }
            Outcome::Success | Outcome::Overloaded | Outcome::Ineligible | Outcome::InvalidRequest => {
                AttemptState::Answered
            }
        };
    }

    pub(crate) fn never_reached_endpoint(&self) -> bool {
        self.state == AttemptState::NotSent
    }

    /// Returns `true` if the attempt may have been executed or is still in flight.
    pub(crate) fn may_be_executed(&self) -> bool {
        self.is_in_flight() || self.state == AttemptState::PossiblyExecuted
    }
}

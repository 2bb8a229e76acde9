//! The state of a single attempt.

use crate::interface::Outcome;
use crate::policy::cluster::EndpointKey;
use crate::time::LocalInstant;

/// The state of an attempt, with what is known about its execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    InFlight,
    /// In flight; that its endpoint has stopped answering was recorded as a failure.
    CountedAsFailure,
    /// Cancelled by the pooler; its result has not been reported yet.
    Cancelled,
    /// Both of the above: cancelled, and the silence of its endpoint was recorded as a failure.
    CancelledAndCounted,
    /// Ended without having reached its endpoint.
    NotSent,
    /// Ended without proof whether the request was executed.
    PossiblyExecuted,
    /// Ended with an answer that tells whether the request was executed.
    Answered,
}

/// A request sent to an endpoint once.
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

    /// Whether its result has not been reported yet; a cancelled attempt counts until then.
    pub(crate) fn is_in_flight(&self) -> bool {
        match self.state {
            AttemptState::InFlight
            | AttemptState::CountedAsFailure
            | AttemptState::Cancelled
            | AttemptState::CancelledAndCounted => true,
            AttemptState::NotSent | AttemptState::PossiblyExecuted | AttemptState::Answered => false,
        }
    }

    /// Whether the pooler has cancelled it and its result has not been reported yet.
    pub(crate) fn is_cancelled(&self) -> bool {
        matches!(self.state, AttemptState::Cancelled | AttemptState::CancelledAndCounted)
    }

    /// Whether it is in flight and the silence of its endpoint was already recorded as a failure.
    pub(crate) fn is_counted_as_failure(&self) -> bool {
        matches!(self.state, AttemptState::CountedAsFailure | AttemptState::CancelledAndCounted)
    }

    /// Records that the silence of its endpoint was counted as a failure, so that it is counted only once.
    pub(crate) fn mark_counted_as_failure(&mut self) {
        self.state = match self.state {
            AttemptState::InFlight => AttemptState::CountedAsFailure,
            AttemptState::Cancelled => AttemptState::CancelledAndCounted,
            unchanged => unchanged,
        };
    }

    /// Marks it as cancelled. It stays in flight until its result is reported.
    pub(crate) fn cancel(&mut self) {
        self.state = match self.state {
            AttemptState::InFlight => AttemptState::Cancelled,
            AttemptState::CountedAsFailure => AttemptState::CancelledAndCounted,
            unchanged => unchanged,
        };
    }

    /// Records the outcome with which it ended.
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

    /// Whether it may have been executed, or may still be because it is in flight.
    pub(crate) fn may_be_executed(&self) -> bool {
        self.is_in_flight() || self.state == AttemptState::PossiblyExecuted
    }
}

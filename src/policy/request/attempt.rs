//! One attempt of a request.

use crate::interface::Outcome;
use crate::policy::cluster::EndpointKey;
use crate::time::LocalInstant;

/// What has become of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    /// It is in flight.
    InFlight,
    /// It is in flight, and the silence of its endpoint has been counted as a failure.
    SilenceCounted,
    /// It was cancelled; its end may still be due.
    Cancelled,
    /// It was cancelled after the silence of its endpoint had been counted.
    CancelledAfterSilence,
    /// It ended and never reached its endpoint.
    NotSent,
    /// It ended, and it is not known whether it was executed.
    PossiblyExecuted,
    /// It ended with an answer that says whether it was executed.
    Answered,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    endpoint: EndpointKey,
    sent_at: LocalInstant,
    state: AttemptState,
}

impl Attempt {
    /// An attempt that has just been sent.
    pub(crate) fn new(endpoint: EndpointKey, sent_at: LocalInstant) -> Attempt {
        Attempt { endpoint, sent_at, state: AttemptState::InFlight }
    }

    /// Where it was sent.
    pub(crate) fn endpoint(&self) -> EndpointKey {
        self.endpoint
    }

    /// When it was sent.
    pub(crate) fn sent_at(&self) -> LocalInstant {
        self.sent_at
    }

    /// Whether it has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        match self.state {
            AttemptState::InFlight
            | AttemptState::SilenceCounted
            | AttemptState::Cancelled
            | AttemptState::CancelledAfterSilence => true,
            AttemptState::NotSent | AttemptState::PossiblyExecuted | AttemptState::Answered => false,
        }
    }

    /// Whether it was cancelled while in flight.
    pub(crate) fn is_cancelled(&self) -> bool {
        matches!(self.state, AttemptState::Cancelled | AttemptState::CancelledAfterSilence)
    }

    /// Whether the silence of its endpoint has been counted as a failure.
    pub(crate) fn is_silence_counted(&self) -> bool {
        matches!(self.state, AttemptState::SilenceCounted | AttemptState::CancelledAfterSilence)
    }

    /// Notes that the silence of its endpoint has been counted as a failure.
    pub(crate) fn count_silence(&mut self) {
        self.state = match self.state {
            AttemptState::InFlight => AttemptState::SilenceCounted,
            AttemptState::Cancelled => AttemptState::CancelledAfterSilence,
            unchanged => unchanged,
        };
    }

    /// Notes that it was cancelled.
    pub(crate) fn cancel(&mut self) {
        self.state = match self.state {
            AttemptState::InFlight => AttemptState::Cancelled,
            AttemptState::SilenceCounted => AttemptState::CancelledAfterSilence,
            unchanged => unchanged,
        };
    }

    /// Notes that it has ended in this way.
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

    /// Whether it has ended without having reached its endpoint.
    pub(crate) fn never_reached_endpoint(&self) -> bool {
        self.state == AttemptState::NotSent
    }

    /// Whether it may have been executed, or may yet be.
    pub(crate) fn may_be_executed(&self) -> bool {
        self.is_in_flight() || self.state == AttemptState::PossiblyExecuted
    }
}

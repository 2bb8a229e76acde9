//! The protocol state of a client connection, with its legal transitions.
//!
//! | Transition | From | To |
//! | --- | --- | --- |
//! | [`start_session`](ProtocolState::start_session) | `Startup` | `Idle` |
//! | [`start_query`](ProtocolState::start_query) | `Idle` | `Busy` |
//! | [`finish_query`](ProtocolState::finish_query) | `Busy` | `Idle` |
//! | [`await_endpoints`](ProtocolState::await_endpoints) | `Idle` | `AwaitingEndpoints` |
//! | [`finish_empty_query`](ProtocolState::finish_empty_query) | `Idle`, `AwaitingEndpoints` | `Idle` |
//! | [`skip_to_sync`](ProtocolState::skip_to_sync) | `Idle` | `SkippingToSync` |
//! | [`sync`](ProtocolState::sync) | `Idle`, `SkippingToSync` | `Idle` |
//! | [`start_closing`](ProtocolState::start_closing) | all of the above but `Busy` | `Closing` |
//! | [`half_close`](ProtocolState::half_close) | `Closing` | `HalfClosed` |

/// What a connection does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The client is to send its startup message.
    Startup,
    /// The client may send the next query.
    Idle,
    /// A message of the extended protocol was rejected: messages are ignored up to the next Sync.
    SkippingToSync,
    /// An empty query waits for a response until there is an endpoint.
    AwaitingEndpoints,
    /// A query waits for its response.
    Busy,
    /// The connection is being closed: input is discarded, pending output is still sent.
    Closing,
    /// All output is sent and the sending direction is shut down. The client is to close its side.
    HalfClosed,
}

impl Phase {
    /// Returns whether the next message of the client is to be read.
    pub(super) fn is_reading(self) -> bool {
        matches!(self, Phase::Startup | Phase::Idle | Phase::SkippingToSync)
    }

    /// Returns whether the connection is being closed.
    pub(super) fn is_closing(self) -> bool {
        matches!(self, Phase::Closing | Phase::HalfClosed)
    }
}

/// The phase of a connection, and whether its client has used it. Debug builds panic on an illegal
/// transition.
#[derive(Debug)]
pub(super) struct ProtocolState {
    phase: Phase,
    has_queried: bool,
}

impl ProtocolState {
    /// The state of a newly accepted connection.
    pub(super) fn new() -> ProtocolState {
        ProtocolState { phase: Phase::Startup, has_queried: false }
    }

    /// Returns the present phase.
    pub(super) fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether a query of the client was passed on for execution or an empty one was answered. A
    /// query that was rejected before that and an empty one that waits for an endpoint do not count.
    pub(super) fn has_queried(&self) -> bool {
        self.has_queried
    }

    /// The client has sent its startup message.
    pub(super) fn start_session(&mut self) {
        self.change(&[Phase::Startup], Phase::Idle);
    }

    /// A query is passed on for execution.
    pub(super) fn start_query(&mut self) {
        self.change(&[Phase::Idle], Phase::Busy);
        self.has_queried = true;
    }

    /// The running query gets its response.
    pub(super) fn finish_query(&mut self) {
        self.change(&[Phase::Busy], Phase::Idle);
    }

    /// An empty query has to wait for an endpoint.
    pub(super) fn await_endpoints(&mut self) {
        self.change(&[Phase::Idle], Phase::AwaitingEndpoints);
    }

    /// An empty query gets its response.
    pub(super) fn finish_empty_query(&mut self) {
        self.change(&[Phase::Idle, Phase::AwaitingEndpoints], Phase::Idle);
        self.has_queried = true;
    }

    /// A message of the extended protocol is rejected.
    pub(super) fn skip_to_sync(&mut self) {
        self.change(&[Phase::Idle], Phase::SkippingToSync);
    }

    /// The client has sent a Sync message.
    pub(super) fn sync(&mut self) {
        self.change(&[Phase::Idle, Phase::SkippingToSync], Phase::Idle);
    }

    /// The connection is to be closed once all output is sent.
    pub(super) fn start_closing(&mut self) {
        let open = [Phase::Startup, Phase::Idle, Phase::SkippingToSync, Phase::AwaitingEndpoints];
        self.change(&open, Phase::Closing);
    }

    /// All output of a closing connection is sent and its sending direction is shut down.
    pub(super) fn half_close(&mut self) {
        self.change(&[Phase::Closing], Phase::HalfClosed);
    }

    fn change(&mut self, from: &[Phase], to: Phase) {
        debug_assert!(from.contains(&self.phase), "{:?} cannot become {to:?}", self.phase);
        self.phase = to;
    }
}

#[cfg(test)]
mod tests;

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

/// The phase of the protocol that a connection is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The client must send its startup message.
    Startup,
    /// The client may send the next query.
    Idle,
    /// A message of the extended protocol was rejected. Messages are ignored up to the next Sync.
    SkippingToSync,
    /// An empty query waits for its response until an endpoint is available.
    AwaitingEndpoints,
    /// A query waits for its response.
    Busy,
    /// The connection is being closed. Input is discarded, but pending output is still sent.
    Closing,
    /// All output is sent and the sending direction is shut down. The client must close its side.
    HalfClosed,
}

impl Phase {
    /// Returns `true` if the next message of the client may be processed.
    pub(super) fn is_reading(self) -> bool {
        matches!(self, Phase::Startup | Phase::Idle | Phase::SkippingToSync)
    }

    /// Returns `true` if the connection is being closed.
    pub(super) fn is_closing(self) -> bool {
        matches!(self, Phase::Closing | Phase::HalfClosed)
    }
}

/// The phase of a connection, and whether its client has sent a query. Debug builds panic on an illegal
/// transition.
#[derive(Debug)]
pub(super) struct ProtocolState {
    phase: Phase,
    has_queried: bool,
}

impl ProtocolState {
    /// Returns the state of a newly accepted connection.
    pub(super) fn new() -> ProtocolState {
        ProtocolState { phase: Phase::Startup, has_queried: false }
    }

    /// Returns the current phase.
    pub(super) fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns `true` if a query of the client was passed on for execution or an empty query was answered. A
    /// query that was rejected instead of being passed on does not count, nor does an empty query that waits
    /// for an endpoint.
    pub(super) fn has_queried(&self) -> bool {
        self.has_queried
    }

    /// Records that the client has sent its startup message.
    pub(super) fn start_session(&mut self) {
        self.transition(&[Phase::Startup], Phase::Idle);
    }

    /// Records that a query is passed on for execution.
    pub(super) fn start_query(&mut self) {
        self.transition(&[Phase::Idle], Phase::Busy);
        self.has_queried = true;
    }

    /// Records the response to the running query.
    pub(super) fn finish_query(&mut self) {
        self.transition(&[Phase::Busy], Phase::Idle);
    }

    /// Records that an empty query must wait for an endpoint.
    pub(super) fn await_endpoints(&mut self) {
        self.transition(&[Phase::Idle], Phase::AwaitingEndpoints);
    }

    /// Records the response to an empty query.
    pub(super) fn finish_empty_query(&mut self) {
        self.transition(&[Phase::Idle, Phase::AwaitingEndpoints], Phase::Idle);
        self.has_queried = true;
    }

    /// Records that a message of the extended protocol is rejected.
    pub(super) fn skip_to_sync(&mut self) {
        self.transition(&[Phase::Idle], Phase::SkippingToSync);
    }

    /// Records that the client has sent a Sync message.
    pub(super) fn sync(&mut self) {
        self.transition(&[Phase::Idle, Phase::SkippingToSync], Phase::Idle);
    }

    /// Records that the connection is to be closed once all output is sent.
    pub(super) fn start_closing(&mut self) {
        let open = [Phase::Startup, Phase::Idle, Phase::SkippingToSync, Phase::AwaitingEndpoints];
        self.transition(&open, Phase::Closing);
    }

    /// Records that all output of a closing connection is sent and its sending direction is shut down.
    pub(super) fn half_close(&mut self) {
        self.transition(&[Phase::Closing], Phase::HalfClosed);
    }

    fn transition(&mut self, from: &[Phase], to: Phase) {
        debug_assert!(from.contains(&self.phase), "{:?} cannot become {to:?}", self.phase);
        self.phase = to;
    }
}

#[cfg(test)]
mod tests;

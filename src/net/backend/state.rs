//! The states of a connection, and how the exchange of each state ends when the connection fails.

use std::time::{Duration, Instant};

use super::exchange::Exchange;
use super::reply::Reply;
use crate::interface::Outcome;

/// What a connection does at present.
pub(super) enum State {
    /// The TCP connection is being established.
    Connecting(Exchange),
    /// The startup message is queued or sent and the session is not ready yet.
    Starting(Exchange),
    /// The connection is ready for a query.
    Idle,
    /// A query is queued or sent and its reply has not ended yet.
    Busy {
        /// The exchange that the query belongs to.
        exchange: Exchange,
        /// What has been received of the reply.
        reply: Reply,
        /// Whether the reply has begun, so that the connect timeout applies to the rest of it.
        reply_started: bool,
    },
}

/// Whether a query, and whatever was queued before it, is completely written to the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteStatus {
    /// Some of it is still in the output buffer.
    Pending,
    /// All of it is written.
    Written,
}

/// How an exchange ends when a state has lasted too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Expiry {
    /// The reply has begun but not ended, which makes it malformed.
    ReplyStalled,
    /// The exchange has this outcome.
    Failed(Outcome),
}

impl State {
    /// The state at the start of an exchange, before its query is sent.
    pub fn busy(exchange: Exchange) -> State {
        State::Busy { exchange, reply: Reply::default(), reply_started: false }
    }

    /// Whether the connection waits for an exchange.
    pub fn is_idle(&self) -> bool {
        matches!(self, State::Idle)
    }

    /// Whether a query is queued or sent.
    pub fn is_busy(&self) -> bool {
        matches!(self, State::Busy { .. })
    }

    /// Whether the session is being started.
    pub fn is_starting(&self) -> bool {
        matches!(self, State::Starting(_))
    }

    /// Becomes idle. Returns the exchange, if there was one, with what has been received of its reply.
    pub fn take_exchange(&mut self) -> Option<(Exchange, Reply)> {
        match std::mem::replace(self, State::Idle) {
            State::Connecting(exchange) | State::Starting(exchange) => Some((exchange, Reply::default())),
            State::Busy { exchange, reply, .. } => Some((exchange, reply)),
            State::Idle => None,
        }
    }

    /// How the exchange ends when the connection has ended. Before the last byte of a query is sent the query
    /// cannot have been executed; after that it may have been, unless the reply says otherwise.
    pub fn outcome_of_lost_connection(&self, query: WriteStatus) -> Outcome {
        match self {
            State::Connecting(_) | State::Starting(_) => Outcome::ConnectFailed,
            State::Busy { .. } if query == WriteStatus::Pending => Outcome::ConnectFailed,
            State::Busy { reply, .. } => reply.outcome().unwrap_or(Outcome::ConnectionReset),
            // No exchange: never reported.
            State::Idle => Outcome::ConnectionReset,
        }
    }

    /// How the exchange ends when the peer has sent data that belongs to no valid reply. The request may have
    /// been executed and the reply is discarded, unless an error in it proves that it was not executed.
    pub fn outcome_of_malformed_reply(&mut self) -> Outcome {
        match self {
            State::Connecting(_) | State::Starting(_) => Outcome::ConnectFailed,
            State::Busy { reply, .. } => match reply.outcome() {
                Some(outcome) if outcome.proves_not_executed() => outcome,
                _ => {
                    *reply = Reply::default();
                    Outcome::Error
                }
            },
            // No exchange: never reported.
            State::Idle => Outcome::Error,
        }
    }

    /// How the exchange ends when the state has lasted too long.
    pub fn expiry(&self, now: Instant, connect_timeout: Duration, query: WriteStatus) -> Expiry {
        match self {
            State::Connecting(exchange) | State::Starting(exchange) => {
                if now >= exchange.started_at() + connect_timeout {
                    Expiry::Failed(Outcome::ConnectFailed)
                } else {
                    Expiry::Failed(Outcome::Timeout)
                }
            }
            State::Busy { .. } if query == WriteStatus::Pending => Expiry::Failed(Outcome::ConnectFailed),
            State::Busy { reply_started: true, .. } => Expiry::ReplyStalled,
            // Idle has no exchange: never reported.
            State::Busy { .. } | State::Idle => Expiry::Failed(Outcome::Timeout),
        }
    }
}

#[cfg(test)]
mod tests;

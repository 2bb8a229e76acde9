//! Connection states, and the outcome of the current exchange when the connection fails in each state.

use std::time::{Duration, Instant};

use super::exchange::Exchange;
use super::reply::Reply;
use crate::interface::Outcome;

/// State of a connection.
pub(super) enum State {
    /// The TCP connection is being established.
    Connecting(Exchange),
    /// The startup message is queued or sent and the session is not ready yet.
    Starting(Exchange),
    /// The connection is ready for a query.
    Idle,
    /// A query is queued or sent and its reply is not complete.
    Busy {
        /// The exchange that the query belongs to.
        exchange: Exchange,
        /// The part of the reply received so far.
        reply: Reply,
        /// Whether the reply has started, so that the connect timeout applies to the rest of it.
        reply_started: bool,
    },
}

/// Whether the output buffer, including a queued query, has been written to the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteStatus {
    /// Part of the output is still buffered.
    Pending,
    /// All output has been written.
    Written,
}

/// How an exchange ends when its connection stays in a state past the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Expiry {
    /// The reply started but did not complete in time; it is treated as malformed.
    ReplyStalled,
    /// The exchange ends with this outcome.
    Failed(Outcome),
}

impl State {
    /// Returns the state at the start of an exchange, before its query is sent.
    pub fn busy(exchange: Exchange) -> State {
        State::Busy { exchange, reply: Reply::default(), reply_started: false }
    }

    /// Returns whether the connection is ready for an exchange.
    pub fn is_idle(&self) -> bool {
        matches!(self, State::Idle)
    }

    /// Returns whether a query is queued or sent.
    pub fn is_busy(&self) -> bool {
        matches!(self, State::Busy { .. })
    }

    /// Returns whether the session is being started.
    pub fn is_starting(&self) -> bool {
        matches!(self, State::Starting(_))
    }

    /// Switches to `Idle` and returns the exchange, if any, with the part of its reply received so far.
    pub fn take_exchange(&mut self) -> Option<(Exchange, Reply)> {
        match std::mem::replace(self, State::Idle) {
            State::Connecting(exchange) | State::Starting(exchange) => Some((exchange, Reply::default())),
            State::Busy { exchange, reply, .. } => Some((exchange, reply)),
            State::Idle => None,
        }
    }

    /// Returns the outcome of the exchange when the connection is lost. A query cannot have been executed
    /// before its last byte was sent; after that it may have been, unless the reply proves otherwise.
    pub fn outcome_of_lost_connection(&self, query: WriteStatus) -> Outcome {
        match self {
            State::Connecting(_) | State::Starting(_) => Outcome::ConnectFailed,
            State::Busy { .. } if query == WriteStatus::Pending => Outcome::ConnectFailed,
            State::Busy { reply, .. } => reply.outcome().unwrap_or(Outcome::ConnectionReset),
            // Never reported: there is no exchange.
            State::Idle => Outcome::ConnectionReset,
        }
    }

    /// Returns the outcome of the exchange when the peer has sent data that is not part of a valid reply. The
    /// reply is discarded and the request may have been executed, unless an error in the reply proves that it
    /// was not.
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
            // Never reported: there is no exchange.
            State::Idle => Outcome::Error,
        }
    }

    /// Returns how the exchange ends when the deadline of the state has passed.
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
            // Never reported for `Idle`, which has no exchange.
            State::Busy { .. } | State::Idle => Expiry::Failed(Outcome::Timeout),
        }
    }
}

#[cfg(test)]
mod tests;

//! Connection states, and the outcome of the current exchange when the connection fails in each state.

use std::time::{Duration, Instant};

use super::exchange::Exchange;
use super::reply::Reply;
use super::synchronization::Synchronization;
use crate::interface::Outcome;

/// State of a connection.
pub(super) enum ConnectionState {
    /// The TCP connection is being established.
    Connecting(Exchange),
    /// The startup message is queued or sent and the session is not ready yet.
    Starting(Exchange),
    /// The connection is ready for the query of an exchange, which the policy has yet to allow.
    Ready(Exchange),
    /// An empty query is queued or sent and its response is not complete.
    Synchronizing {
        /// The part of the response received so far.
        synchronization: Synchronization,
        /// The exchange that follows, if one waits for the connection.
        next: Option<Exchange>,
    },
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

/// How an exchange ends when the deadline of the connection state has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpiryResult {
    /// The reply started but did not complete in time; it is treated as malformed.
    ReplyStalled,
    /// The exchange ends with this outcome.
    Failed(Outcome),
}

impl ConnectionState {
    /// Returns the state at the start of an exchange, before its query is sent.
    pub fn busy(exchange: Exchange) -> ConnectionState {
        ConnectionState::Busy { exchange, reply: Reply::default(), reply_started: false }
    }

    /// Returns `true` if the connection is ready for an exchange.
    pub fn is_idle(&self) -> bool {
        matches!(self, ConnectionState::Idle)
    }

    /// Returns the state after a reply, before the connection can be used again.
    pub fn synchronizing() -> ConnectionState {
        ConnectionState::Synchronizing { synchronization: Synchronization::default(), next: None }
    }

    /// Returns `true` if the connection is being synchronized.
    pub fn is_synchronizing(&self) -> bool {
        matches!(self, ConnectionState::Synchronizing { .. })
    }

    /// Returns `true` if the connection carries no exchange.
    pub fn is_unused(&self) -> bool {
        matches!(self, ConnectionState::Idle | ConnectionState::Synchronizing { next: None, .. })
    }

    /// Returns `true` if a query is queued or sent.
    pub fn is_busy(&self) -> bool {
        matches!(self, ConnectionState::Busy { .. })
    }

    /// Switches to `Idle` and returns the exchange, if any, with the part of its reply received so far.
    pub fn take_exchange(&mut self) -> Option<(Exchange, Reply)> {
        match std::mem::replace(self, ConnectionState::Idle) {
            ConnectionState::Connecting(exchange)
            | ConnectionState::Starting(exchange)
            | ConnectionState::Ready(exchange) => Some((exchange, Reply::default())),
            ConnectionState::Busy { exchange, reply, .. } => Some((exchange, reply)),
            ConnectionState::Synchronizing { next, .. } => next.map(|exchange| (exchange, Reply::default())),
            ConnectionState::Idle => None,
        }
    }

    /// Returns the outcome of the exchange when the connection is lost. A query cannot have been executed
    /// before its last byte was sent; after that it may have been, unless the reply proves otherwise.
    pub fn outcome_of_lost_connection(&self, query: WriteStatus) -> Outcome {
        match self {
            ConnectionState::Connecting(_)
            | ConnectionState::Starting(_)
            | ConnectionState::Ready(_)
            | ConnectionState::Synchronizing { .. } => Outcome::ConnectFailed,
            ConnectionState::Busy { .. } if query == WriteStatus::Pending => Outcome::ConnectFailed,
            ConnectionState::Busy { reply, .. } => reply.outcome().unwrap_or(Outcome::ConnectionReset),
            // Never reported: there is no exchange.
            ConnectionState::Idle => Outcome::ConnectionReset,
        }
    }

    /// Returns the outcome of the exchange when the endpoint has sent data that is not part of a valid reply.
    /// The reply is discarded and the request may have been executed, unless an error in the reply proves
    /// that it was not.
    pub fn outcome_of_malformed_reply(&mut self) -> Outcome {
        match self {
            ConnectionState::Connecting(_)
            | ConnectionState::Starting(_)
            | ConnectionState::Ready(_)
            | ConnectionState::Synchronizing { .. } => Outcome::ConnectFailed,
            ConnectionState::Busy { reply, .. } => match reply.outcome() {
                Some(outcome) if outcome.proves_not_executed() => outcome,
                _ => {
                    *reply = Reply::default();
                    Outcome::Error
                }
            },
            // Never reported: there is no exchange.
            ConnectionState::Idle => Outcome::Error,
        }
    }

    /// Returns how the exchange ends when the deadline of the state has passed.
    pub fn expiry_result(&self, now: Instant, connect_timeout: Duration, query: WriteStatus) -> ExpiryResult {
        match self {
            ConnectionState::Connecting(exchange)
            | ConnectionState::Starting(exchange)
            | ConnectionState::Ready(exchange) => {
                if now >= exchange.started_at() + connect_timeout {
                    ExpiryResult::Failed(Outcome::ConnectFailed)
                } else {
                    ExpiryResult::Failed(Outcome::Timeout)
                }
            }
            ConnectionState::Busy { .. } if query == WriteStatus::Pending => {
                ExpiryResult::Failed(Outcome::ConnectFailed)
            }
            ConnectionState::Busy { reply_started: true, .. } => ExpiryResult::ReplyStalled,
            // Never reported for `Idle`, which has no exchange, and `Synchronizing`, whose exchange goes on
            // with another socket.
            ConnectionState::Busy { .. } | ConnectionState::Idle | ConnectionState::Synchronizing { .. } => {
                ExpiryResult::Failed(Outcome::Timeout)
            }
        }
    }
}

#[cfg(test)]
mod tests;

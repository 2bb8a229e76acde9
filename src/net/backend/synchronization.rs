//! Synchronization of a connection after a reply.
//!
//! An endpoint may send more than belongs to a reply, such as a second copy of it. Nothing in the protocol
//! tells such a copy from the reply to the next query. Before a connection is used again, the pooler
//! therefore sends an empty query, whose response (EmptyQueryResponse and ReadyForQuery) no other reply
//! contains: what the endpoint has sent before comes first.

use crate::net::postgres::BackendMessageKind;

/// The result of a message that is received during the synchronization.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SyncStatus {
    /// More messages must follow.
    Pending,
    /// The response to the empty query is complete.
    Complete,
    /// The message is not part of the response to an empty query.
    OutOfSync,
}

/// How much of the response to an empty query has been received.
#[derive(Debug, Default)]
pub(super) struct Synchronization {
    is_empty_query_answered: bool,
}

impl Synchronization {
    /// Records the next message from the endpoint.
    pub fn record_message(&mut self, kind: BackendMessageKind) -> SyncStatus {
        match kind {
            BackendMessageKind::NoticeResponse | BackendMessageKind::ParameterStatus => SyncStatus::Pending,
            BackendMessageKind::EmptyQueryResponse if !self.is_empty_query_answered => {
                self.is_empty_query_answered = true;
                SyncStatus::Pending
            }
            BackendMessageKind::ReadyForQuery if self.is_empty_query_answered => SyncStatus::Complete,
            _ => SyncStatus::OutOfSync,
        }
    }
}

#[cfg(test)]
mod tests;

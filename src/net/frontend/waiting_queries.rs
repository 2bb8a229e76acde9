//! The queries that wait in the input of a connection behind the running one. Their requests are open, so
//! that no other client may use their IDs.

use std::collections::VecDeque;

use crate::net::buffer::RingBuffer;
use crate::net::postgres::{self, ClientMessageKind, ParsedQuery};
use crate::net::request_ids::{IdClaim, RequestIds};

/// A complete query in the input.
struct WaitingQuery {
    /// Total number of bytes received up to its end.
    end_offset: u64,
    /// `None` if its ID was in use when it was received.
    claim: Option<IdClaim>,
}

/// Index of the complete queries in an input buffer, in the order in which they were received.
#[derive(Default)]
pub(super) struct WaitingQueries {
    queries: VecDeque<WaitingQuery>,
    /// Total number of bytes received up to the end of the last message that was looked at.
    indexed_until: u64,
}

impl WaitingQueries {
    /// Adds the messages that `input` holds and that are not indexed yet.
    pub(super) fn index(&mut self, input: &RingBuffer, ids: &RequestIds) {
        self.drop_consumed(input);
        loop {
            let offset = (self.indexed_until - input.total_consumed()) as usize;
            // What violates the protocol is reported once the messages before it are processed.
            let Ok(Some(message)) = postgres::peek_client_message(input, offset) else { return };
            self.indexed_until += message.encoded_length() as u64;
            if message.kind != Some(ClientMessageKind::Query) {
                continue;
            }
            if let Ok(ParsedQuery::Query(query)) = postgres::parse_query(&message.body) {
                let claim = ids.claim(&query.id);
                self.queries.push_back(WaitingQuery { end_offset: self.indexed_until, claim });
            }
        }
    }

    /// Returns the claim to the ID of the query that was just consumed from `input`, or `None` if the ID is in
    /// use.
    pub(super) fn take_claim(&mut self, input: &RingBuffer, id: &str, ids: &RequestIds) -> Option<IdClaim> {
        let end_offset = input.total_consumed();
        match self.queries.pop_front_if(|query| query.end_offset == end_offset) {
            Some(query) => query.claim,
            None => ids.claim(id),
        }
    }

    /// Drops the queries that are no longer in `input`.
    pub(super) fn drop_consumed(&mut self, input: &RingBuffer) {
        let consumed = input.total_consumed();
        while self.queries.pop_front_if(|query| query.end_offset <= consumed).is_some() {}
        self.indexed_until = self.indexed_until.max(consumed);
    }
}

//! The queries that wait in the input of a connection behind the running one. Their requests are open, so
//! that no other client may use their IDs.

use std::collections::VecDeque;
use std::time::Instant;

use crate::net::buffer::{MemoryBudget, MemoryReservation, RingBuffer};
use crate::net::postgres::{self, ClientMessage, ClientMessageKind, ParsedQuery};
use crate::net::request_ids::{IdClaim, RequestIds};
use crate::net::Query;

/// A complete query in the input.
struct WaitingQuery {
    /// Total number of bytes received up to its end.
    end_offset: u64,
    /// `None` if its ID was in use when it was received.
    claim: Option<IdClaim>,
}

/// Memory for a query in the index and for the claim to its ID (bytes).
const ENTRY_SIZE: usize = 64;

/// Index of the complete queries in an input buffer, in the order in which they were received.
pub(super) struct WaitingQueries {
    queries: VecDeque<WaitingQuery>,
    /// Memory for the entries.
    memory: MemoryReservation,
    /// Total number of bytes received up to the end of the last message that was looked at.
    indexed_until: u64,
}

impl WaitingQueries {
    /// Creates an empty index. Its memory counts against the budget.
    pub(super) fn new(budget: &MemoryBudget) -> WaitingQueries {
        WaitingQueries { queries: VecDeque::new(), memory: budget.reservation(), indexed_until: 0 }
    }

    /// Adds the messages that `input` holds and that are not indexed yet, as far as there is memory.
    pub(super) fn index(&mut self, input: &RingBuffer, ids: &RequestIds, now: Instant) {
        self.drop_consumed(input);
        loop {
            let offset = (self.indexed_until - input.total_consumed()) as usize;
            // What violates the protocol is reported once the messages before it are processed.
            let Ok(Some(message)) = postgres::peek_client_message(input, offset) else { return };
            let end_offset = self.indexed_until + message.encoded_length() as u64;
            if let Some(query) = parse_query(&message) {
                if self.memory.resize((self.queries.len() + 1) * ENTRY_SIZE).is_err() {
                    return;
                }
                self.queries.push_back(WaitingQuery { end_offset, claim: ids.claim(&query.id, now) });
            }
            self.indexed_until = end_offset;
        }
    }

    /// Returns the number of bytes at the front of `input` that are indexed. They end with a message.
    pub(super) fn indexed_length(&self, input: &RingBuffer) -> usize {
        self.indexed_until.saturating_sub(input.total_consumed()) as usize
    }

    /// Returns the claim to the ID of the query that was just consumed from `input`, or `None` if the ID is in
    /// use.
    pub(super) fn take_claim(
        &mut self,
        input: &RingBuffer,
        id: &str,
        ids: &RequestIds,
        now: Instant,
    ) -> Option<IdClaim> {
        let end_offset = input.total_consumed();
        match self.queries.pop_front_if(|query| query.end_offset == end_offset) {
            Some(query) => query.claim,
            None => ids.claim(id, now),
        }
    }

    /// Drops the queries that are no longer in `input`.
    pub(super) fn drop_consumed(&mut self, input: &RingBuffer) {
        let consumed = input.total_consumed();
        while self.queries.pop_front_if(|query| query.end_offset <= consumed).is_some() {}
        if self.queries.is_empty() {
            self.queries = VecDeque::new();
            self.memory.release();
        }
        self.indexed_until = self.indexed_until.max(consumed);
    }
}

/// Returns the query in a message, or `None` if it holds none that could be started.
fn parse_query(message: &ClientMessage) -> Option<Box<Query>> {
    if message.kind != Some(ClientMessageKind::Query) {
        return None;
    }
    match postgres::parse_query(&message.body) {
        Ok(ParsedQuery::Query(query)) => Some(query),
        Ok(ParsedQuery::Empty) | Err(_) => None,
    }
}

//! The input of a client connection: bytes that are not yet processed, and when they were received.

use std::io::Read;
use std::time::Instant;

use super::arrivals::ArrivalTimes;
use super::error::MustClose;
use super::waiting_queries::WaitingQueries;
use crate::net::buffer::{CapacityExceeded, MemoryBudget, MemoryReservation, ReadStatus, RingBuffer};
use crate::net::postgres::{self, ClientMessage, ProtocolError, StartupRequest};
use crate::net::request_ids::{IdClaim, RequestIds};

/// The input buffer and the arrival times of its content.
pub(super) struct Input {
    buffer: RingBuffer,
    arrival_times: ArrivalTimes,
    waiting_queries: WaitingQueries,
    last_received_at: Instant,
}

impl Input {
    /// Creates an empty input at `now`. Its memory counts against the budget.
    pub(super) fn new(budget: &MemoryBudget, now: Instant) -> Input {
        Input {
            buffer: RingBuffer::new(budget),
            arrival_times: ArrivalTimes::default(),
            waiting_queries: WaitingQueries::default(),
            last_received_at: now,
        }
    }

    /// Returns the number of bytes that are not yet processed.
    pub(super) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns `true` if all input is processed.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns when input was last received, or when the connection was accepted if there was none.
    pub(super) fn last_received_at(&self) -> Instant {
        self.last_received_at
    }

    /// Reads the available input and records `now` as its time of arrival. Fails if the source has ended.
    pub(super) fn read_from(
        &mut self,
        source: &mut impl Read,
        now: Instant,
    ) -> Result<ReadStatus, MustClose> {
        let received_before = self.buffer.total_received();
        let status = self.buffer.read_from(source)?;
        if status == ReadStatus::EndOfStream {
            return Err(MustClose::ClientDisconnected);
        }
        let received = self.buffer.total_received();
        self.arrival_times.record(received, self.buffer.total_consumed(), now);
        if received > received_before {
            self.last_received_at = now;
        }
        Ok(status)
    }

    /// Reads at most one buffer of input and discards it. Returns `true` if more may be left in the source.
    /// Fails if the source has ended.
    pub(super) fn discard_from(&mut self, source: &mut impl Read) -> Result<bool, MustClose> {
        let status = self.buffer.read_from(source)?;
        if status == ReadStatus::EndOfStream {
            return Err(MustClose::ClientDisconnected);
        }
        let may_have_more = status == ReadStatus::Full && !self.buffer.is_empty();
        self.buffer.consume(self.buffer.len());
        Ok(may_have_more)
    }

    /// Reads the rest of a source that has ended or failed. Returns the startup message if the input then
    /// holds a complete one.
    pub(super) fn take_final_startup(&mut self, source: &mut impl Read) -> Option<StartupRequest> {
        let _ = self.buffer.read_from(source);
        self.take_startup().ok().flatten()
    }

    /// Takes the startup message. Returns `None` until it is complete.
    pub(super) fn take_startup(&mut self) -> Result<Option<StartupRequest>, ProtocolError> {
        postgres::read_startup(&mut self.buffer)
    }

    /// Takes the next message. Returns `None` until it is complete.
    pub(super) fn take_message(&mut self) -> Result<Option<ClientMessage>, ProtocolError> {
        self.waiting_queries.drop_consumed(&self.buffer);
        postgres::read_client_message(&mut self.buffer)
    }

    /// Returns when the last byte of the most recently taken message was received.
    pub(super) fn message_received_at(&mut self) -> Instant {
        let arrived_at = self.arrival_times.received_at(self.buffer.total_consumed());
        arrived_at.unwrap_or(self.last_received_at)
    }

    /// Claims the IDs of all queries that are received completely and not yet processed.
    pub(super) fn claim_waiting_ids(&mut self, ids: &RequestIds) {
        self.waiting_queries.index(&self.buffer, ids);
    }

    /// Returns the claim to the ID of the query that was just taken, or `None` if the ID is in use.
    pub(super) fn take_id_claim(&mut self, id: &str, ids: &RequestIds) -> Option<IdClaim> {
        self.waiting_queries.take_claim(&self.buffer, id, ids)
    }

    /// Reserves `bytes` of the memory budget for a message that was taken and is stored elsewhere.
    pub(super) fn reserve_memory(&self, bytes: usize) -> Result<MemoryReservation, CapacityExceeded> {
        self.buffer.reserve_memory(bytes)
    }
}

#[cfg(test)]
mod tests;

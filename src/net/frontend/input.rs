//! The input of a client connection: bytes that are not yet processed, and when they were received.

use std::io::Read;
use std::time::Instant;

use super::arrivals::ArrivalTimes;
use super::error::MustClose;
use super::excess_input::{ExcessInput, ExcessStep};
use super::waiting_queries::WaitingQueries;
use crate::net::buffer::{CapacityExceeded, MemoryBudget, MemoryReservation, ReadStatus, RingBuffer};
use crate::net::postgres::{self, ClientMessage, ProtocolError, StartupRequest};
use crate::net::request_ids::{IdClaim, RequestIds};

/// Whether the source of the input has more available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputStatus {
    /// It has not, or will report it.
    Drained,
    /// It may have more, which the next call reads.
    MoreToRead,
    /// It may have more, which can be read once input was processed: the buffer is full.
    Full,
}

/// Whether input that is not kept may be read before the queries in it are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputPrecedence {
    /// It is read at once, so that the end of the connection is seen: a query is running.
    First,
    /// It is read once all refusals that are due are sent, so that no more is read than the client reads
    /// responses.
    AfterRefusals,
}

/// The input buffer and the arrival times of its content.
pub(super) struct Input {
    buffer: RingBuffer,
    arrival_times: ArrivalTimes,
    waiting_queries: WaitingQueries,
    /// What was received behind the content of the buffer and was not kept, if anything.
    excess: Option<ExcessInput>,
    last_received_at: Instant,
}

impl Input {
    /// Creates an empty input at `now`. Its memory counts against the budget, of which a part is set aside.
    pub(super) fn new(budget: &MemoryBudget, now: Instant) -> Input {
        let budget = &budget.for_input();
        Input {
            buffer: RingBuffer::new(budget),
            arrival_times: ArrivalTimes::default(),
            waiting_queries: WaitingQueries::new(budget),
            excess: None,
            last_received_at: now,
        }
    }

    /// Returns `true` if all input is processed.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty() && self.excess.is_none()
    }

    /// Returns the number of bytes in the buffer.
    #[cfg(test)]
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns `true` if queries that were not kept must be refused.
    pub(super) fn has_unanswered_excess(&self) -> bool {
        self.excess.as_ref().is_some_and(ExcessInput::has_unanswered)
    }

    /// Returns when input was last received, or when the connection was accepted if there was none.
    pub(super) fn last_received_at(&self) -> Instant {
        self.last_received_at
    }

    /// Reads the available input, at most one buffer, and records `now` as its time of arrival. Once input was
    /// not kept, `precedence` says when further input is read. Fails if the source has ended.
    pub(super) fn read_from(
        &mut self,
        source: &mut impl Read,
        precedence: InputPrecedence,
        now: Instant,
    ) -> Result<InputStatus, MustClose> {
        if self.excess.is_none() {
            return self.read_into_buffer(source, now);
        }
        if precedence == InputPrecedence::First || !self.has_unanswered_excess() {
            return self.read_excess(source, now);
        }
        Ok(InputStatus::Full)
    }

    fn read_into_buffer(&mut self, source: &mut impl Read, now: Instant) -> Result<InputStatus, MustClose> {
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
        Ok(if status == ReadStatus::Full { InputStatus::Full } else { InputStatus::Drained })
    }

    fn read_excess(&mut self, source: &mut impl Read, now: Instant) -> Result<InputStatus, MustClose> {
        let Some(excess) = &mut self.excess else { return Ok(InputStatus::Drained) };
        let status = excess.read_from(source)?;
        self.last_received_at = now;
        match status {
            ReadStatus::WouldBlock => Ok(InputStatus::Drained),
            ReadStatus::Full => Ok(InputStatus::MoreToRead),
            ReadStatus::EndOfStream => Err(MustClose::ClientDisconnected),
        }
    }

    /// Stops keeping input, because the buffer is full while a query is running: the messages behind the
    /// complete ones in the buffer are refused. Without this, the end of the connection could not be seen
    /// behind them. Returns `false` if input is refused already.
    pub(super) fn refuse_excess(&mut self) -> bool {
        if self.excess.is_some() {
            return false;
        }
        let kept = self.waiting_queries.indexed_length(&self.buffer);
        let mut excess = ExcessInput::default();
        excess.add(&self.buffer.split_off(kept));
        self.arrival_times.truncate(self.buffer.total_received());
        self.excess = Some(excess);
        true
    }

    /// Returns what the excess input requires once all messages in the buffer are processed. Fails if the
    /// client has violated the protocol there.
    pub(super) fn next_excess_step(&mut self) -> Result<ExcessStep, ProtocolError> {
        let Some(excess) = self.excess.as_mut().filter(|_| self.buffer.is_empty()) else {
            return Ok(ExcessStep::Wait);
        };
        let step = excess.next_step()?;
        if excess.is_finished() {
            self.excess = None;
        }
        Ok(step)
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
        self.waiting_queries.index(&self.buffer, ids, self.last_received_at);
    }

    /// Returns the claim to the ID of the query that was just taken, or `None` if the ID is in use.
    pub(super) fn take_id_claim(&mut self, id: &str, ids: &RequestIds) -> Option<IdClaim> {
        self.waiting_queries.take_claim(&self.buffer, id, ids, self.last_received_at)
    }

    /// Reserves `bytes` of the memory budget for a message that was taken and is stored elsewhere.
    pub(super) fn reserve_memory(&self, bytes: usize) -> Result<MemoryReservation, CapacityExceeded> {
        self.buffer.reserve_memory(bytes)
    }
}

#[cfg(test)]
mod tests;

//! The session of a client: its protocol state, its input and output, and the action expected from the
//! client. It neither owns the socket nor sets timers. [`messages`] processes the messages of the client.

mod messages;

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use super::deadline::ExpectedAction;
use super::error::MustClose;
use super::input::{Input, InputPrecedence, InputStatus};
use super::output::{FlushStatus, Output};
use super::protocol_state::{Phase, ProtocolState};
use super::rejection::Rejection;
use crate::counters::Counters;
use crate::net::buffer::MemoryBudget;
use crate::net::postgres::{sqlstate, StartupRequest};
use crate::net::request_ids::RequestIds;
use crate::net::shutdown::Drain;
use crate::net::{CancelKey, Context, Event, Response};
pub(super) use messages::MessageStatus;

/// A client's session.
pub(super) struct Session {
    /// The key that a cancel request for the session's query must carry.
    cancel_key: CancelKey,
    state: ProtocolState,
    input: Input,
    output: Output,
    /// When the last response was added, or when the client was accepted if there was none.
    last_responded_at: Instant,
}

impl Session {
    /// Creates the session of a client that was accepted at `now`. Its memory counts against the budget.
    pub(super) fn new(cancel_key: CancelKey, budget: &MemoryBudget, now: Instant) -> Session {
        Session {
            cancel_key,
            state: ProtocolState::new(),
            input: Input::new(budget, now),
            output: Output::new(budget),
            last_responded_at: now,
        }
    }

    /// Returns the phase of the protocol.
    pub(super) fn phase(&self) -> Phase {
        self.state.phase()
    }

    /// Returns when the last input was received or the last response was added, whichever is later.
    pub(super) fn last_active_at(&self) -> Instant {
        self.input.last_received_at().max(self.last_responded_at)
    }

    /// Returns `true` if a query is running that a cancel request with this key refers to.
    pub(super) fn is_cancelled_by(&self, key: CancelKey) -> bool {
        self.cancel_key == key && self.phase() == Phase::Busy
    }

    /// Returns `true` if the running query is a blocking request, that is, a query with unread input behind
    /// it. The input need not be a complete query.
    pub(super) fn has_blocking_request(&self) -> bool {
        self.phase() == Phase::Busy && !self.input.is_empty()
    }

    /// Returns `true` if an empty query waits for an endpoint, with unread input behind it.
    pub(super) fn has_blocking_empty_query(&self) -> bool {
        self.phase() == Phase::AwaitingEndpoints && !self.input.is_empty()
    }

    /// Returns `true` if the session is between queries, with no input or output pending.
    pub(super) fn is_idle(&self) -> bool {
        self.phase().is_reading() && self.input.is_empty() && self.output.is_empty()
    }

    /// Returns `true` if the session has been idle for at least `timeout`. Sessions whose client has not sent
    /// a query yet do not count as idle here, since the deadline for the first query applies to them.
    pub(super) fn has_been_idle_for(&self, timeout: Duration, now: Instant) -> bool {
        self.state.has_queried() && self.is_idle() && now >= self.last_active_at() + timeout
    }

    /// Returns `true` if every query received is answered, even if responses are not completely written yet.
    /// An incomplete message does not count as a query, and neither does an empty query that waits for an
    /// endpoint, which remains unanswered.
    pub(super) fn is_drained(&self) -> bool {
        if self.phase() == Phase::Busy || self.phase().is_closing() || self.has_blocking_empty_query() {
            return false;
        }
        // If the output is empty, all complete messages are processed. Otherwise, the input may hold a query.
        self.output.is_empty() && !self.input.has_unanswered_excess() || self.input.is_empty()
    }

    /// Returns the action expected from the client next, if any.
    pub(super) fn expected_action(&self) -> Option<ExpectedAction> {
        let has_unread_output = !self.output.is_empty();
        match self.phase() {
            Phase::Busy | Phase::AwaitingEndpoints => None,
            Phase::HalfClosed => Some(ExpectedAction::Close),
            Phase::Closing => Some(ExpectedAction::Read),
            Phase::Startup | Phase::Idle | Phase::SkippingToSync if has_unread_output => {
                Some(ExpectedAction::Read)
            }
            // The refusals that are due are the pooler's turn.
            Phase::Idle | Phase::SkippingToSync if self.input.has_unanswered_excess() => None,
            Phase::Startup => Some(ExpectedAction::Send),
            Phase::Idle | Phase::SkippingToSync => {
                (!self.state.has_queried() || !self.input.is_empty()).then_some(ExpectedAction::Send)
            }
        }
    }

    /// Returns `true` if input is received but not yet processed.
    pub(super) fn has_unprocessed_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Returns the number of bytes in the input buffer.
    #[cfg(test)]
    pub(super) fn buffered_bytes(&self) -> usize {
        self.input.buffered_bytes()
    }

    /// Returns `true` if no message is processed until a response or an endpoint is available.
    pub(super) fn is_blocked(&self) -> bool {
        matches!(self.phase(), Phase::Busy | Phase::AwaitingEndpoints)
    }

    /// Reads the available input, with `now` as its time of arrival. Fails if the client has closed the
    /// connection.
    pub(super) fn read_from(
        &mut self,
        source: &mut impl Read,
        now: Instant,
    ) -> Result<InputStatus, MustClose> {
        let precedence =
            if self.is_blocked() { InputPrecedence::First } else { InputPrecedence::AfterRefusals };
        self.input.read_from(source, precedence, now)
    }

    /// Refuses the queries that the input cannot hold while the session is blocked. Returns `true` if that
    /// begins now.
    pub(super) fn refuse_excess_input(&mut self) -> bool {
        self.is_blocked() && self.input.refuse_excess()
    }

    /// Discards the available input, at most one buffer. Returns `true` if more may be left. Fails if the
    /// client has closed the connection.
    pub(super) fn discard_from(&mut self, source: &mut impl Read) -> Result<bool, MustClose> {
        self.input.discard_from(source)
    }

    /// Claims the IDs of the queries that wait in the input, so that no other client can use them.
    pub(super) fn claim_waiting_ids(&mut self, ids: &RequestIds) {
        let has_started = self.phase() != Phase::Startup && !self.phase().is_closing();
        if has_started && !self.input.is_empty() {
            self.input.claim_waiting_ids(ids);
        }
    }

    /// Writes output until the sink would block.
    pub(super) fn write_to(&mut self, sink: &mut impl Write) -> Result<FlushStatus, MustClose> {
        self.output.write_to(sink)
    }

    /// Starts to close the session: no further messages are processed, but pending output is still sent.
    pub(super) fn start_closing(&mut self) {
        self.state.start_closing();
    }

    /// Records that all output of the closing session is written and the sending direction is shut down.
    pub(super) fn mark_half_closed(&mut self) {
        self.state.half_close();
    }

    /// Appends the final response to the running query.
    pub(super) fn add_response(&mut self, response: Response, now: Instant) -> Result<(), MustClose> {
        self.last_responded_at = now;
        self.state.finish_query();
        self.output.push_response(response)
    }

    /// Appends the response to an empty query that waited for an endpoint.
    pub(super) fn add_response_to_waiting_empty_query(&mut self, now: Instant) -> Result<(), MustClose> {
        self.last_responded_at = now;
        self.add_response_to_empty_query()
    }

    /// Rejects an empty query that waits for an endpoint, since the pooler shuts down.
    pub(super) fn reject_waiting_empty_query(&mut self, drain: Drain) -> Result<(), MustClose> {
        self.state.finish_empty_query();
        self.output.push_rejection(Rejection::shutting_down(drain))
    }

    /// Closes the session of a client that has missed its deadline. An incomplete message is answered with an
    /// error. Without pending input no error is sent, since it could be taken for the response to a query.
    pub(super) fn close_timed_out(&mut self, counters: &mut Counters) -> Result<(), MustClose> {
        if self.phase().is_closing() {
            return Err(MustClose::DeadlineMissed);
        }
        counters.client_timeouts += 1;
        if !self.output.is_empty() {
            return Err(MustClose::DeadlineMissed);
        }
        if !self.input.is_empty() {
            let message = "message not completed in time";
            return self.close_with_error(sqlstate::PROTOCOL_VIOLATION, message, counters);
        }
        self.start_closing();
        Ok(())
    }

    /// Closes a session whose input buffer cannot grow to hold the rest of a message. Messages that exceed
    /// the maximum buffer size are rejected earlier, so the memory budget is exhausted, and the buffer would
    /// hold its share of it indefinitely. Returns `true` if the session is being closed.
    pub(super) fn close_if_out_of_memory(&mut self, counters: &mut Counters) -> Result<bool, MustClose> {
        let is_closing = self.phase().is_reading() && self.output.is_empty();
        if is_closing {
            self.close_with_error(sqlstate::OUT_OF_MEMORY, "no memory", counters)?;
        }
        Ok(is_closing)
    }

    /// Passes on a cancel request that was not yet processed when the connection was closed. A client may
    /// close the connection right after sending the request.
    pub(super) fn process_final_cancel_request(&mut self, source: &mut impl Read, context: &mut Context) {
        if self.phase() != Phase::Startup {
            return;
        }
        if let Some(StartupRequest::Cancel(key)) = self.input.take_final_startup(source) {
            context.events.push_back(Event::CancelRequested(key));
        }
    }

    fn add_response_to_empty_query(&mut self) -> Result<(), MustClose> {
        self.state.finish_empty_query();
        self.output.push_empty_query_response()
    }

    /// Appends a fatal error and starts to close the session.
    fn close_with_error(
        &mut self,
        code: &str,
        message: &str,
        counters: &mut Counters,
    ) -> Result<(), MustClose> {
        counters.malformed += 1;
        tracing::info!(reason = message, "client session ended with an error");
        self.output.push_fatal_error(code, message)?;
        self.start_closing();
        Ok(())
    }
}

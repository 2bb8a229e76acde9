//! The session of a client: its protocol state with its input and output, and what is due from the client. It
//! neither owns the socket nor sets timers. [`messages`] processes what the client sends.

mod messages;

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use super::deadline::DueAction;
use super::error::ConnectionClosed;
use super::input::Input;
use super::output::{FlushStatus, Output};
use super::protocol_state::{Phase, ProtocolState};
use crate::counters::Counters;
use crate::net::buffer::{MemoryBudget, ReadStatus};
use crate::net::postgres::{sqlstate, StartupRequest};
use crate::net::{CancelKey, Context, Event, Response};
pub(super) use messages::MessageStatus;

/// A client's session.
pub(super) struct Session {
    /// The key that a request to cancel the session's query has to carry.
    cancel_key: CancelKey,
    state: ProtocolState,
    input: Input,
    output: Output,
    /// When the client was last sent a response, or connected if there was none.
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

    /// Returns when the client last sent something or was last sent a response.
    pub(super) fn last_active_at(&self) -> Instant {
        self.input.last_received_at().max(self.last_responded_at)
    }

    /// Returns whether a cancel request with this key refers to the running query.
    pub(super) fn is_cancelled_by(&self, key: CancelKey) -> bool {
        self.cancel_key == key && self.phase() == Phase::Busy
    }

    /// Returns whether the running query is a blocking request: any unread input behind it counts.
    pub(super) fn has_blocking_request(&self) -> bool {
        self.phase() == Phase::Busy && !self.input.is_empty()
    }

    /// Returns whether the session is between queries, with no input or output pending.
    pub(super) fn is_idle(&self) -> bool {
        self.phase().is_reading() && self.input.is_empty() && self.output.is_empty()
    }

    /// Returns whether the session has been idle for the timeout. Clients that have sent no query yet are
    /// left out: they have a deadline of their own.
    pub(super) fn has_been_idle(&self, timeout: Duration, now: Instant) -> bool {
        self.state.has_queried() && self.is_idle() && now >= self.last_active_at() + timeout
    }

    /// Returns whether every query received is answered, although the answer may be still to be written. An
    /// incomplete message is not a query. An empty query that waits for an endpoint is left unanswered.
    pub(super) fn is_drained(&self) -> bool {
        if self.phase() == Phase::Busy || self.phase().is_closing() {
            return false;
        }
        // With empty output all complete messages were processed. Otherwise unread input may hold a query.
        self.output.is_empty() || self.input.is_empty()
    }

    /// Returns what the client has to do next, if anything.
    pub(super) fn due_action(&self) -> Option<DueAction> {
        let has_unread_output = !self.output.is_empty();
        match self.phase() {
            Phase::Busy | Phase::AwaitingEndpoints => None,
            Phase::HalfClosed => Some(DueAction::Close),
            Phase::Closing => Some(DueAction::Read),
            Phase::Startup | Phase::Idle | Phase::SkippingToSync if has_unread_output => {
                Some(DueAction::Read)
            }
            Phase::Startup => Some(DueAction::Send),
            Phase::Idle | Phase::SkippingToSync => {
                (!self.state.has_queried() || !self.input.is_empty()).then_some(DueAction::Send)
            }
        }
    }

    /// Returns the number of bytes that were received and are not processed.
    pub(super) fn unprocessed_bytes(&self) -> usize {
        self.input.len()
    }

    /// Reads what has arrived at `now`. Fails if the client has closed the connection.
    pub(super) fn read_from(
        &mut self,
        source: &mut impl Read,
        now: Instant,
    ) -> Result<ReadStatus, ConnectionClosed> {
        self.input.read_from(source, now)
    }

    /// Discards what has arrived, at most one buffer. Returns whether more may be left. Fails if the client
    /// has closed the connection.
    pub(super) fn discard_from(&mut self, source: &mut impl Read) -> Result<bool, ConnectionClosed> {
        self.input.discard_from(source)
    }

    /// Writes as much output as the sink takes without blocking.
    pub(super) fn write_to(&mut self, sink: &mut impl Write) -> Result<FlushStatus, ConnectionClosed> {
        self.output.write_to(sink)
    }

    /// Starts to close the session: no message is processed any more, and pending output is still sent.
    pub(super) fn stop_processing(&mut self) {
        self.state.start_closing();
    }

    /// Records that all output of the closing session is sent and the sending direction is shut down.
    pub(super) fn sending_shut_down(&mut self) {
        self.state.half_close();
    }

    /// Adds the final response to the running query.
    pub(super) fn add_response(&mut self, response: Response, now: Instant) -> Result<(), ConnectionClosed> {
        self.last_responded_at = now;
        self.state.finish_query();
        self.output.push_response(response)
    }

    /// Adds the response to an empty query that has waited for an endpoint.
    pub(super) fn add_response_to_waiting_empty_query(
        &mut self,
        now: Instant,
    ) -> Result<(), ConnectionClosed> {
        self.last_responded_at = now;
        self.add_response_to_empty_query()
    }

    /// Closes the session of a client that has not acted in time. An incomplete message is answered with an
    /// error. A client that has sent nothing gets none: it could be taken for the response to a query.
    pub(super) fn close_late_client(&mut self, counters: &mut Counters) -> Result<(), ConnectionClosed> {
        if self.phase().is_closing() {
            return Err(ConnectionClosed);
        }
        counters.client_timeouts += 1;
        if !self.output.is_empty() {
            return Err(ConnectionClosed);
        }
        if !self.input.is_empty() {
            let message = "message not completed in time";
            return self.close_with_error(sqlstate::PROTOCOL_VIOLATION, message, counters);
        }
        self.stop_processing();
        Ok(())
    }

    /// Closes a session whose input buffer cannot grow for the rest of a message. Since messages that are too
    /// long for any buffer are rejected earlier, the memory budget is used up, and the buffer would occupy
    /// its share without end. Returns whether the session is closed.
    pub(super) fn close_if_out_of_memory(
        &mut self,
        counters: &mut Counters,
    ) -> Result<bool, ConnectionClosed> {
        let is_closing = self.phase().is_reading() && self.output.is_empty();
        if is_closing {
            self.close_with_error(sqlstate::OUT_OF_MEMORY, "no memory", counters)?;
        }
        Ok(is_closing)
    }

    /// Passes on a cancel request that was not processed when the connection was closed: a client may close
    /// it right after sending the request.
    pub(super) fn process_final_cancel_request(&mut self, source: &mut impl Read, context: &mut Context) {
        if self.phase() != Phase::Startup {
            return;
        }
        if let Some(StartupRequest::Cancel(key)) = self.input.take_final_startup(source) {
            context.events.push_back(Event::CancelRequested(key));
        }
    }

    fn add_response_to_empty_query(&mut self) -> Result<(), ConnectionClosed> {
        self.state.finish_empty_query();
        self.output.push_empty_query_response()
    }

    /// Adds a fatal error and starts to close the session.
    fn close_with_error(
        &mut self,
        code: &str,
        message: &str,
        counters: &mut Counters,
    ) -> Result<(), ConnectionClosed> {
        counters.malformed += 1;
        self.output.push_fatal_error(code, message)?;
        self.stop_processing();
        Ok(())
    }
}

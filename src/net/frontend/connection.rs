//! One client connection: its state, and the cycle that reads, processes and writes.

use std::io;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::Interest;

use super::arrivals::ArrivalTimes;
use super::deadline::ClientDeadline;
use super::protocol_state::{Phase, ProtocolState};
use super::session::Progress;
use super::ServiceStatus;
use crate::net::buffer::{CapacityExceeded, MemoryBudget, ReadStatus, RingBuffer};
use crate::net::postgres::{self, sqlstate, CancelKey, Startup};
use crate::net::reactor::{ConnectionId, EventSource, TimerEvent};
use crate::net::{Context, Event};

/// Delay before the socket is registered again after the system had no memory for it.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The connection is closed or broken and has to be removed.
#[derive(Debug, thiserror::Error)]
#[error("the client connection is closed")]
pub(super) struct ConnectionClosed;

impl From<CapacityExceeded> for ConnectionClosed {
    fn from(_: CapacityExceeded) -> ConnectionClosed {
        ConnectionClosed
    }
}

impl From<io::Error> for ConnectionClosed {
    fn from(_: io::Error) -> ConnectionClosed {
        ConnectionClosed
    }
}

/// A client connection.
pub(super) struct Connection {
    stream: TcpStream,
    /// The key that a request to cancel the connection's query has to carry.
    pub(super) cancel_key: CancelKey,
    pub(super) input: RingBuffer,
    pub(super) arrival_times: ArrivalTimes,
    pub(super) output: RingBuffer,
    pub(super) state: ProtocolState,
    /// Whether the reactor announces events of the socket. Until then the connection is polled by a timer.
    is_registered: bool,
    /// Whether a timer is set to poll again, since no event announces the input that is left.
    pub(super) poll_scheduled: bool,
    /// When the client last sent something or was last sent a response.
    pub(super) last_active: Instant,
    pub(super) deadline: ClientDeadline,
    /// How long the client may take to read its responses.
    pub(super) response_timeout: Duration,
}

impl Connection {
    /// Creates the connection of a newly accepted client.
    pub(super) fn new(
        stream: TcpStream,
        cancel_key: CancelKey,
        budget: &MemoryBudget,
        response_timeout: Duration,
        now: Instant,
    ) -> Self {
        Connection {
            stream,
            cancel_key,
            input: RingBuffer::new(budget),
            arrival_times: ArrivalTimes::default(),
            output: RingBuffer::new(budget),
            state: ProtocolState::new(),
            is_registered: false,
            poll_scheduled: false,
            last_active: now,
            deadline: ClientDeadline::default(),
            response_timeout,
        }
    }

    /// Registers the socket with the reactor, unless it is registered. If that fails, it is tried again with
    /// the next poll: the client must not suffer from a shortage that passes.
    fn ensure_registered(&mut self, id: ConnectionId, context: &mut Context) {
        if self.is_registered {
            return;
        }
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = EventSource::Client(id);
        self.is_registered = context.reactor.register(&mut self.stream, source, interest).is_ok();
        if !self.is_registered {
            let retry_at = context.reactor.now() + REGISTER_RETRY_DELAY;
            context.reactor.set_timer(retry_at, TimerEvent::Client(id));
        }
    }

    /// Whether a timer, and no event, announces that the connection is to be polled.
    pub(super) fn is_polled_by_timer(&self) -> bool {
        self.poll_scheduled || !self.is_registered
    }

    /// Reads, processes and writes as much as possible without blocking.
    pub(super) fn poll(
        &mut self,
        id: ConnectionId,
        service: ServiceStatus,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        self.ensure_registered(id, context);
        let now = context.reactor.now();
        self.poll_scheduled = false;
        while !self.state.phase().is_closing() {
            let status = self.read_input(now)?;
            let length_before = self.input.len();
            if self.process_messages(id, service, context)? == Progress::TurnOver {
                self.schedule_poll(id, now, context);
                return Ok(());
            }
            // Events are edge-triggered: what a full buffer has left in the socket must be read now that
            // there is room, since no event announces it again.
            if status == ReadStatus::WouldBlock {
                return Ok(());
            }
            if self.input.len() == length_before && !self.handle_full_input(id, context)? {
                return Ok(());
            }
        }
        self.flush()?;
        self.discard_input(id, now, context)
    }

    /// Reads what has arrived and records when.
    fn read_input(&mut self, now: Instant) -> Result<ReadStatus, ConnectionClosed> {
        let received_before = self.input.total_received();
        let status = self.input.read_from(&mut self.stream)?;
        if status == ReadStatus::EndOfStream {
            return Err(ConnectionClosed);
        }
        let received = self.input.total_received();
        self.arrival_times.record(received, self.input.total_consumed(), now);
        if received > received_before {
            self.last_active = now;
        }
        Ok(status)
    }

    /// Handles a full input buffer of which nothing could be processed. If the client is to send the rest of
    /// a message, that rest will never fit: the connection is closed, so that it does not keep its memory.
    /// Returns whether it is.
    fn handle_full_input(
        &mut self,
        id: ConnectionId,
        context: &mut Context,
    ) -> Result<bool, ConnectionClosed> {
        let is_closing = self.state.phase().is_reading() && self.output.is_empty();
        if is_closing {
            self.send_fatal_error(id, sqlstate::OUT_OF_MEMORY, "no memory", context)?;
        }
        Ok(is_closing)
    }

    /// Discards what has arrived, at most one buffer for each poll: a client that sends without pause must
    /// not block the event loop.
    fn discard_input(
        &mut self,
        id: ConnectionId,
        now: Instant,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        match self.input.read_from(&mut self.stream)? {
            ReadStatus::EndOfStream => return Err(ConnectionClosed),
            ReadStatus::Full if !self.input.is_empty() => self.schedule_poll(id, now, context),
            ReadStatus::Full | ReadStatus::WouldBlock => {}
        }
        self.input.skip(self.input.len());
        Ok(())
    }

    /// Polls again after the other connections have had their turn.
    fn schedule_poll(&mut self, id: ConnectionId, now: Instant, context: &mut Context) {
        self.poll_scheduled = true;
        context.reactor.set_timer(now, TimerEvent::Client(id));
    }

    /// Writes the output buffer to the socket. Returns whether all of it is written.
    pub(super) fn flush(&mut self) -> Result<bool, ConnectionClosed> {
        let length_before = self.output.len();
        let is_flushed = self.output.write_to(&mut self.stream)?;
        match self.state.phase() {
            Phase::Closing if is_flushed => self.shut_down_write(),
            Phase::HalfClosed => {}
            // A client that reads slowly does read: its time starts anew.
            _ if !is_flushed && self.output.len() < length_before => self.deadline.clear(),
            _ => {}
        }
        Ok(is_flushed)
    }

    /// Ends the sending direction only. Closing the socket with unread input would reset the connection, and
    /// the client might lose the last message.
    ///
    /// To be done once: each shutdown raises an event for this connection, which would be polled endlessly.
    fn shut_down_write(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        self.state.half_close();
    }

    /// Reads a cancel request from a connection that is removed before it was processed: its client may close
    /// the connection right after sending the request.
    pub(super) fn read_final_cancel_request(&mut self, context: &mut Context) {
        if self.state.phase() != Phase::Startup {
            return;
        }
        let _ = self.input.read_from(&mut self.stream);
        if let Ok(Some(Startup::Cancel(key))) = postgres::read_startup(&mut self.input) {
            context.events.push_back(Event::CancelRequested(key));
        }
    }

    /// Returns whether the connection is between queries, with no input or output pending.
    pub(super) fn is_idle(&self) -> bool {
        self.state.phase().is_reading() && self.input.is_empty() && self.output.is_empty()
    }

    /// Returns whether the connection can be closed in a graceful shutdown: every query received is answered,
    /// although the answer may be still to be written. An incomplete message is not a query.
    pub(super) fn can_close(&self) -> bool {
        if self.state.phase() == Phase::Busy || self.state.phase().is_closing() || self.poll_scheduled {
            return false;
        }
        self.output.is_empty() || self.input.is_empty()
    }
}

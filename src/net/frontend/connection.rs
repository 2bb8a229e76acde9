//! One client connection and its non-blocking read, process and write cycle. Only this module moves bytes
//! between the socket and the session, and sets the timers of the connection.

use std::time::{Duration, Instant};

use mio::net::TcpStream;

use super::cycle::CycleContext;
use super::deadline::ClientDeadline;
use super::error::MustClose;
use super::output::FlushStatus;
use super::protocol_state::Phase;
use super::service_status::ServiceStatus;
use super::session::{MessageStatus, Session};
use super::socket::ClientSocket;
use crate::net::buffer::{MemoryBudget, ReadStatus};
use crate::net::reactor::{ConnectionId, TimerEvent};
use crate::net::{CancelKey, Context, Response};

/// Maximum number of messages of one connection that are processed in one cycle. Prevents a client that sends
/// continuously from blocking the event loop.
const MAX_MESSAGES_PER_CYCLE: usize = 32;

/// Why a batch of messages ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchStatus {
    /// The client must send or read more, or a response or an endpoint must become available.
    Blocked,
    /// [`MAX_MESSAGES_PER_CYCLE`] messages were processed, and there may be more.
    LimitReached,
}

/// Why the pooler closes a connection between queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum GracefulClose {
    /// It was idle while many connections were open.
    #[error("idle")]
    Idle,
    /// The pooler shuts down, and all queries of the connection are answered.
    #[error("shutdown")]
    Shutdown,
}

/// A client connection.
pub(super) struct ClientConnection {
    socket: ClientSocket,
    session: Session,
    deadline: ClientDeadline,
    /// Whether a timer is set for the next cycle because no event will announce the remaining input.
    cycle_scheduled: bool,
}

impl ClientConnection {
    /// Creates the connection of a client that was accepted at `now`. `client_read_timeout` is the time limit
    /// for reading its responses.
    pub(super) fn new(
        stream: TcpStream,
        cancel_key: CancelKey,
        budget: &MemoryBudget,
        client_read_timeout: Duration,
        now: Instant,
    ) -> ClientConnection {
        ClientConnection {
            socket: ClientSocket::new(stream),
            session: Session::new(cancel_key, budget, now),
            deadline: ClientDeadline::new(client_read_timeout),
            cycle_scheduled: false,
        }
    }

    /// Returns the session for inspection of its state.
    pub(super) fn session(&self) -> &Session {
        &self.session
    }

    /// Returns `true` if a timer rather than an event starts the next cycle of the connection.
    pub(super) fn is_resumed_by_timer(&self) -> bool {
        self.cycle_scheduled || !self.socket.is_registered()
    }

    /// Returns `true` if the client has not performed the expected action in time.
    pub(super) fn has_missed_deadline(&self, now: Instant) -> bool {
        self.deadline.has_expired(now)
    }

    /// Returns `true` if a graceful shutdown may close the connection: every query received is answered.
    pub(super) fn can_close(&self) -> bool {
        !self.cycle_scheduled && self.session.is_drained()
    }

    /// Reads, processes and writes until the connection would block or a limit of the cycle is reached.
    pub(super) fn run_cycle(
        &mut self,
        id: ConnectionId,
        service: ServiceStatus,
        context: &mut Context,
    ) -> Result<(), MustClose> {
        self.socket.ensure_registered(id, &mut context.reactor);
        let now = context.reactor.now();
        let mut cycle = CycleContext { id, service, context };
        self.cycle_scheduled = false;
        while !self.session.phase().is_closing() {
            let status = self.session.read_from(&mut self.socket, now)?;
            let unprocessed_before = self.session.unprocessed_bytes();
            if self.process_messages(&mut cycle)? == BatchStatus::LimitReached {
                self.schedule_cycle(id, now, cycle.context);
                return Ok(());
            }
            // Events are edge-triggered, so no event announces again what did not fit into a full buffer. It
            // must be read from the socket now that the buffer has free space.
            if status == ReadStatus::WouldBlock {
                return Ok(());
            }
            let is_stalled = self.session.unprocessed_bytes() == unprocessed_before;
            if is_stalled && !self.close_if_out_of_memory(id, cycle.context)? {
                return Ok(());
            }
        }
        self.flush()?;
        self.discard_input(id, now, cycle.context)
    }

    /// Processes the messages in the input one by one. Each is taken only after all previous responses are
    /// written, so that a client that sends without reading cannot use more memory than its buffers.
    fn process_messages(&mut self, cycle: &mut CycleContext) -> Result<BatchStatus, MustClose> {
        for _ in 0..MAX_MESSAGES_PER_CYCLE {
            if self.flush()? != FlushStatus::Complete {
                return Ok(BatchStatus::Blocked);
            }
            if self.session.process_next_message(cycle)? == MessageStatus::Blocked {
                return Ok(BatchStatus::Blocked);
            }
            if self.session.phase().is_closing() {
                self.update_deadline(cycle.id, cycle.context);
            }
        }
        Ok(BatchStatus::LimitReached)
    }

    fn close_if_out_of_memory(&mut self, id: ConnectionId, context: &mut Context) -> Result<bool, MustClose> {
        let is_closing = self.session.close_if_out_of_memory(&mut context.counters)?;
        if is_closing {
            self.update_deadline(id, context);
        }
        Ok(is_closing)
    }

    /// Discards received input, at most one buffer per cycle, so that a client that sends continuously does
    /// not block the event loop.
    fn discard_input(
        &mut self,
        id: ConnectionId,
        now: Instant,
        context: &mut Context,
    ) -> Result<(), MustClose> {
        if self.session.discard_from(&mut self.socket)? {
            self.schedule_cycle(id, now, context);
        }
        Ok(())
    }

    /// Schedules the next cycle, to run after those of the other connections.
    fn schedule_cycle(&mut self, id: ConnectionId, now: Instant, context: &mut Context) {
        self.cycle_scheduled = true;
        context.reactor.set_timer(now, TimerEvent::Client(id));
    }

    /// Writes the output to the socket. Shuts down the sending direction of a closing connection once all
    /// output is written.
    fn flush(&mut self) -> Result<FlushStatus, MustClose> {
        let status = self.session.write_to(&mut self.socket)?;
        match status {
            // Only once: each shutdown raises an event, which would start cycles endlessly.
            FlushStatus::Complete if self.session.phase() == Phase::Closing => {
                self.socket.shut_down_write();
                self.session.mark_half_closed();
            }
            // The client reads, even if slowly, so its deadline restarts.
            FlushStatus::Partial => self.deadline.clear(),
            FlushStatus::Complete | FlushStatus::Blocked => {}
        }
        Ok(status)
    }

    /// Appends the final response to the running query. The next cycle writes it.
    pub(super) fn add_response(&mut self, response: Response, now: Instant) -> Result<(), MustClose> {
        self.session.add_response(response, now)
    }

    /// Appends the response to an empty query that waited for an endpoint. The next cycle writes it.
    pub(super) fn add_response_to_waiting_empty_query(&mut self, now: Instant) -> Result<(), MustClose> {
        self.session.add_response_to_waiting_empty_query(now)
    }

    /// Starts to close the connection. The client still has time to read its pending responses.
    pub(super) fn close_gracefully(
        &mut self,
        id: ConnectionId,
        reason: GracefulClose,
        context: &mut Context,
    ) {
        tracing::info!(client = %id, %reason, "closing client connection");
        self.session.start_closing();
        self.update_deadline(id, context);
    }

    /// Closes the connection of a client that has missed its deadline.
    pub(super) fn handle_missed_deadline(
        &mut self,
        id: ConnectionId,
        context: &mut Context,
    ) -> Result<(), MustClose> {
        self.session.close_timed_out(&mut context.counters)?;
        self.update_deadline(id, context);
        Ok(())
    }

    /// Sets a deadline if a new action is expected from the client, and clears it if none is expected.
    pub(super) fn update_deadline(&mut self, id: ConnectionId, context: &mut Context) {
        let action = self.session.expected_action();
        if let Some(expires_at) = self.deadline.update(action, context.reactor.now()) {
            context.reactor.set_timer(expires_at, TimerEvent::Client(id));
        }
    }

    /// Passes on a cancel request that is still unread when the connection is removed.
    pub(super) fn process_final_cancel_request(&mut self, context: &mut Context) {
        self.session.process_final_cancel_request(&mut self.socket, context);
    }
}

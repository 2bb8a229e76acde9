//! One client connection and its non-blocking read, process and write cycle. Only this module moves bytes
//! between the socket and the session, and sets the timers of the connection.

use std::time::{Duration, Instant};

use mio::net::TcpStream;

use super::cycle::CycleContext;
use super::deadline::ClientDeadline;
use super::error::MustClose;
use super::input::InputStatus;
use super::output::FlushStatus;
use super::protocol_state::Phase;
use super::service_status::ServiceStatus;
use super::session::{MessageStatus, Session};
use super::socket::ClientSocket;
use crate::net::buffer::MemoryBudget;
use crate::net::reactor::{ConnectionId, EventSource, Resumption, TimerEvent};
use crate::net::shutdown::Drain;
use crate::net::{CancelKey, Context, Response};

/// Maximum number of messages of one connection that are processed in one cycle. Together with the size of
/// the input buffer, of which a cycle reads one, it prevents a client that sends continuously from blocking
/// the event loop.
const MAX_MESSAGES_PER_CYCLE: usize = 32;

/// How a batch of messages ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchStatus {
    /// No message could be processed: the client must send or read more, or a response or an endpoint must
    /// become available.
    Empty,
    /// Some messages were processed, and the same holds for the next one.
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
    /// Scheduled if no event will announce the remaining input.
    next_cycle: Resumption,
    /// Whether the last read left input in the socket, or may have, because the buffer could not grow.
    socket_has_input: bool,
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
            next_cycle: Resumption::default(),
            socket_has_input: false,
        }
    }

    /// Returns the session for inspection of its state.
    pub(super) fn session(&self) -> &Session {
        &self.session
    }

    /// Returns `true` if a timer rather than an event starts the next cycle of the connection.
    pub(super) fn is_resumed_by_timer(&self) -> bool {
        !self.socket.is_registered()
    }

    /// Returns `true` if the reactor will resume the connection.
    pub(super) fn is_cycle_scheduled(&self) -> bool {
        self.next_cycle.is_scheduled()
    }

    /// Records that the reactor resumes the connection; the caller runs the cycle. Returns `true` if it was
    /// scheduled.
    pub(super) fn take_scheduled_cycle(&mut self) -> bool {
        self.next_cycle.take()
    }

    /// Returns `true` if the session is idle and no input is left in the socket, as far as is known.
    pub(super) fn is_idle(&self) -> bool {
        !self.has_unread_input() && self.session.is_idle()
    }

    /// Returns `true` if the connection has been idle for at least `timeout`, see
    /// [`Session::has_been_idle_for`].
    pub(super) fn has_been_idle_for(&self, timeout: Duration, now: Instant) -> bool {
        !self.has_unread_input() && self.session.has_been_idle_for(timeout, now)
    }

    /// Returns `true` if the client has not performed the expected action in time.
    pub(super) fn has_missed_deadline(&self, now: Instant) -> bool {
        self.deadline.has_expired(now)
    }

    /// Returns `true` if a graceful shutdown may close the connection: every query received is answered.
    pub(super) fn can_close(&self) -> bool {
        !self.next_cycle.is_scheduled() && self.session.is_drained()
    }

    /// Reads at most one buffer, processes it and writes until the connection would block. If a limit of the
    /// cycle is reached first, the reactor resumes the connection after others had their turn.
    pub(super) fn run_cycle(
        &mut self,
        id: ConnectionId,
        service: ServiceStatus,
        context: &mut Context,
    ) -> Result<(), MustClose> {
        self.socket.ensure_registered(id, &mut context.reactor);
        let now = context.reactor.now();
        if !self.session.phase().is_closing() {
            let mut cycle = CycleContext { id, service, context };
            self.read_and_process(&mut cycle, now)?;
            if !self.session.phase().is_closing() || !self.socket_has_input {
                return Ok(());
            }
        }
        self.flush()?;
        self.discard_input(id, context)
    }

    /// Reads at most one buffer and processes its messages.
    fn read_and_process(&mut self, cycle: &mut CycleContext, now: Instant) -> Result<(), MustClose> {
        // A query that was answered meanwhile has made room. Otherwise, what the client sends behind the
        // running query must be read all the same, since the end of the connection may be behind it.
        if self.socket_has_input && self.session.refuse_excess_input() {
            tracing::info!(client = %cycle.id, "refusing queries: the client sends too many at once");
        }
        let status = self.session.read_from(&mut self.socket, now)?;
        self.socket_has_input = status != InputStatus::Drained;
        let batch = self.process_messages(cycle)?;
        self.session.claim_waiting_ids(&cycle.context.request_ids);
        // Events are edge-triggered, so no event announces again what was left in the socket.
        let can_read_more = match status {
            InputStatus::Drained => false,
            InputStatus::MoreToRead => true,
            InputStatus::Full => batch != BatchStatus::Empty || self.session.is_blocked(),
        };
        if batch == BatchStatus::LimitReached || can_read_more {
            self.schedule_cycle(cycle.id, cycle.context);
        } else if self.socket_has_input {
            self.close_if_out_of_memory(cycle.id, cycle.context)?;
        }
        Ok(())
    }

    /// Processes the messages in the input one by one. Each is taken only after all previous responses are
    /// written, so that a client that sends without reading cannot use more memory than its buffers.
    fn process_messages(&mut self, cycle: &mut CycleContext) -> Result<BatchStatus, MustClose> {
        let mut status = BatchStatus::Empty;
        for _ in 0..MAX_MESSAGES_PER_CYCLE {
            if self.flush()? != FlushStatus::Complete {
                return Ok(status);
            }
            if self.session.process_next_message(cycle)? == MessageStatus::Blocked {
                return Ok(status);
            }
            status = BatchStatus::Blocked;
            if self.session.phase().is_closing() {
                self.update_deadline(cycle.id, cycle.context);
            }
        }
        Ok(BatchStatus::LimitReached)
    }

    fn close_if_out_of_memory(&mut self, id: ConnectionId, context: &mut Context) -> Result<(), MustClose> {
        if self.session.close_if_out_of_memory(&mut context.counters)? {
            self.update_deadline(id, context);
        }
        Ok(())
    }

    /// Discards received input, at most one buffer per cycle, so that a client that sends continuously does
    /// not block the event loop.
    fn discard_input(&mut self, id: ConnectionId, context: &mut Context) -> Result<(), MustClose> {
        if self.session.discard_from(&mut self.socket)? {
            self.schedule_cycle(id, context);
        }
        Ok(())
    }

    /// Schedules the next cycle, to run after those of the other connections.
    fn schedule_cycle(&mut self, id: ConnectionId, context: &mut Context) {
        self.next_cycle.schedule(EventSource::Client(id), &mut context.reactor);
    }

    /// Writes the output after a response was added. The next query of the client is processed only when the
    /// connection is resumed: a client whose queries are all answered at once would block the event loop.
    pub(super) fn write_response(
        &mut self,
        id: ConnectionId,
        context: &mut Context,
    ) -> Result<(), MustClose> {
        self.flush()?;
        if self.has_unread_input() {
            self.schedule_cycle(id, context);
        }
        Ok(())
    }

    /// Returns `true` if input is not yet processed, or is left in the socket.
    fn has_unread_input(&self) -> bool {
        self.session.has_unprocessed_input() || self.socket_has_input
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

    /// Appends the final response to the running query. [`write_response`](Self::write_response) writes it.
    pub(super) fn add_response(&mut self, response: Response, now: Instant) -> Result<(), MustClose> {
        self.session.add_response(response, now)
    }

    /// Appends the response to an empty query that waited for an endpoint.
    /// [`write_response`](Self::write_response) writes it.
    pub(super) fn add_response_to_waiting_empty_query(&mut self, now: Instant) -> Result<(), MustClose> {
        self.session.add_response_to_waiting_empty_query(now)
    }

    /// Rejects an empty query that waits for an endpoint. [`write_response`](Self::write_response) writes the
    /// error.
    pub(super) fn reject_waiting_empty_query(&mut self, drain: Drain) -> Result<(), MustClose> {
        self.session.reject_waiting_empty_query(drain)
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

    /// Sets the next timer after one has expired, unless the deadline has passed.
    pub(super) fn continue_deadline(&mut self, id: ConnectionId, now: Instant, context: &mut Context) {
        if let Some(expires_at) = self.deadline.timer_expired(now) {
            context.reactor.set_timer(expires_at, TimerEvent::Client(id));
        }
    }

    /// Passes on a cancel request that is still unread when the connection is removed.
    pub(super) fn process_final_cancel_request(&mut self, context: &mut Context) {
        self.session.process_final_cancel_request(&mut self.socket, context);
    }
}

//! One client connection: the cycle that reads, processes and writes without blocking. Only this module moves
//! bytes between the socket and the session, and sets the timers of the connection.

use std::time::{Duration, Instant};

use mio::net::TcpStream;

use super::cycle::Cycle;
use super::deadline::ClientDeadline;
use super::error::ConnectionClosed;
use super::output::FlushStatus;
use super::protocol_state::Phase;
use super::service_status::ServiceStatus;
use super::session::{MessageStatus, Session};
use super::socket::ClientSocket;
use crate::net::buffer::{MemoryBudget, ReadStatus};
use crate::net::reactor::{ConnectionId, TimerEvent};
use crate::net::{CancelKey, Context, Response};

/// Most messages of one connection that are processed in one cycle. Keeps a client that sends without pause
/// from blocking the event loop.
const MAX_MESSAGES_PER_CYCLE: usize = 32;

/// Why the processing of messages has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// It has to wait for the client or for a response.
    Blocked,
    /// [`MAX_MESSAGES_PER_CYCLE`] messages were processed and there may be more.
    LimitReached,
}

/// A client connection.
pub(super) struct Connection {
    socket: ClientSocket,
    session: Session,
    deadline: ClientDeadline,
    /// Whether a timer is set for the next cycle, since no event announces the input that is left.
    cycle_scheduled: bool,
}

impl Connection {
    /// Creates the connection of a client that was accepted at `now`. The client may take `response_timeout`
    /// to read its responses.
    pub(super) fn new(
        stream: TcpStream,
        cancel_key: CancelKey,
        budget: &MemoryBudget,
        response_timeout: Duration,
        now: Instant,
    ) -> Connection {
        Connection {
            socket: ClientSocket::new(stream),
            session: Session::new(cancel_key, budget, now),
            deadline: ClientDeadline::new(response_timeout),
            cycle_scheduled: false,
        }
    }

    /// Returns the session, to look at its state.
    pub(super) fn session(&self) -> &Session {
        &self.session
    }

    /// Returns whether a timer, and no event, starts the next cycle of the connection.
    pub(super) fn is_resumed_by_timer(&self) -> bool {
        self.cycle_scheduled || !self.socket.is_registered()
    }

    /// Returns whether the client has not done in time what was due from it.
    pub(super) fn has_missed_deadline(&self, now: Instant) -> bool {
        self.deadline.has_expired(now)
    }

    /// Returns whether the connection can be closed in a graceful shutdown: every query received is answered.
    pub(super) fn can_close(&self) -> bool {
        !self.cycle_scheduled && self.session.is_drained()
    }

    /// Reads, processes and writes as much as possible without blocking.
    pub(super) fn run_cycle(
        &mut self,
        id: ConnectionId,
        service: ServiceStatus,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        self.socket.ensure_registered(id, &mut context.reactor);
        let now = context.reactor.now();
        let mut cycle = Cycle { id, service, context };
        self.cycle_scheduled = false;
        while !self.session.phase().is_closing() {
            let status = self.session.read_from(&mut self.socket, now)?;
            let unprocessed_before = self.session.unprocessed_bytes();
            if self.process_messages(&mut cycle)? == Progress::LimitReached {
                self.schedule_cycle(id, now, cycle.context);
                return Ok(());
            }
            // Events are edge-triggered: what a full buffer has left in the socket must be read now that some
            // of the buffer is free, since no event announces it again.
            if status == ReadStatus::WouldBlock {
                return Ok(());
            }
            let is_stuck = self.session.unprocessed_bytes() == unprocessed_before;
            if is_stuck && !self.close_if_out_of_memory(id, cycle.context)? {
                return Ok(());
            }
        }
        self.flush()?;
        self.discard_input(id, now, cycle.context)
    }

    /// Processes the messages in the input one by one. Each is taken only when all responses so far are
    /// written: a client that sends and does not read fills its buffers and no more.
    fn process_messages(&mut self, cycle: &mut Cycle) -> Result<Progress, ConnectionClosed> {
        for _ in 0..MAX_MESSAGES_PER_CYCLE {
            if self.flush()? != FlushStatus::Complete {
                return Ok(Progress::Blocked);
            }
            if self.session.process_next_message(cycle)? == MessageStatus::Blocked {
                return Ok(Progress::Blocked);
            }
            if self.session.phase().is_closing() {
                self.update_deadline(cycle.id, cycle.context);
            }
        }
        Ok(Progress::LimitReached)
    }

    fn close_if_out_of_memory(
        &mut self,
        id: ConnectionId,
        context: &mut Context,
    ) -> Result<bool, ConnectionClosed> {
        let is_closing = self.session.close_if_out_of_memory(&mut context.counters)?;
        if is_closing {
            self.update_deadline(id, context);
        }
        Ok(is_closing)
    }

    /// Discards what has arrived, at most one buffer in each cycle: a client that sends without pause must
    /// not block the event loop.
    fn discard_input(
        &mut self,
        id: ConnectionId,
        now: Instant,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        if self.session.discard_from(&mut self.socket)? {
            self.schedule_cycle(id, now, context);
        }
        Ok(())
    }

    /// Starts the next cycle after those of the other connections.
    fn schedule_cycle(&mut self, id: ConnectionId, now: Instant, context: &mut Context) {
        self.cycle_scheduled = true;
        context.reactor.set_timer(now, TimerEvent::Client(id));
    }

    /// Writes the output to the socket, and shuts down the sending direction of a closing connection once all
    /// of it is written.
    fn flush(&mut self) -> Result<FlushStatus, ConnectionClosed> {
        let status = self.session.write_to(&mut self.socket)?;
        match status {
            // Once only: each shutdown raises an event, which would start cycles endlessly.
            FlushStatus::Complete if self.session.phase() == Phase::Closing => {
                self.socket.shut_down_sending();
                self.session.sending_shut_down();
            }
            // A client that reads slowly does read: its time starts anew.
            FlushStatus::Partial => self.deadline.clear(),
            FlushStatus::Complete | FlushStatus::Blocked => {}
        }
        Ok(status)
    }

    /// Adds the final response to the running query. The next cycle writes it.
    pub(super) fn add_response(&mut self, response: Response, now: Instant) -> Result<(), ConnectionClosed> {
        self.session.add_response(response, now)
    }

    /// Adds the response to an empty query that has waited for an endpoint. The next cycle writes it.
    pub(super) fn add_response_to_waiting_empty_query(
        &mut self,
        now: Instant,
    ) -> Result<(), ConnectionClosed> {
        self.session.add_response_to_waiting_empty_query(now)
    }

    /// Starts to close the connection. The client has time to read what it has been sent.
    pub(super) fn close_gracefully(&mut self, id: ConnectionId, context: &mut Context) {
        self.session.stop_processing();
        self.update_deadline(id, context);
    }

    /// Closes the connection of a client that has not acted in time.
    pub(super) fn handle_missed_deadline(
        &mut self,
        id: ConnectionId,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        self.session.close_late_client(&mut context.counters)?;
        self.update_deadline(id, context);
        Ok(())
    }

    /// Sets a deadline if something has become due from the client, and clears it if nothing is due any more.
    pub(super) fn update_deadline(&mut self, id: ConnectionId, context: &mut Context) {
        let action = self.session.due_action();
        if let Some(expires_at) = self.deadline.update(action, context.reactor.now()) {
            context.reactor.set_timer(expires_at, TimerEvent::Client(id));
        }
    }

    /// Passes on a cancel request that is still unread in a connection that is removed.
    pub(super) fn process_final_cancel_request(&mut self, context: &mut Context) {
        self.session.process_final_cancel_request(&mut self.socket, context);
    }
}

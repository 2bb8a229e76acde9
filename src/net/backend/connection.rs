//! A connection to an endpoint: connects, starts the session, sends queries and reads their replies.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::Interest;

use super::exchange::Exchange;
use super::reply::{Reply, ReplyError, ReplyStatus};
use super::state::{Expiry, State, WriteStatus};
use crate::interface::{EndpointId, Outcome};
use crate::net::buffer::{MemoryBudget, MemoryReservation, ReadStatus, RingBuffer};
use crate::net::postgres::{self, sqlstate, BackendMessage, BackendMessageKind};
use crate::net::reactor::{ConnectionId, EventSource, Reactor};

/// User and database in the startup message.
const USER: &str = "app";
const DATABASE: &str = "shop";

/// Maximum by which the timeout stated in a query may exceed the time that its client still waits when the
/// endpoint receives it. With a larger excess the endpoint would work for a client that no longer waits.
const MAX_TIMEOUT_EXCESS: Duration = Duration::from_millis(150);
/// The part of [`MAX_TIMEOUT_EXCESS`] reserved for transmission from the socket to the endpoint.
const TRANSMISSION_MARGIN: Duration = Duration::from_millis(50);
/// Maximum time of a query in the output buffer.
const QUERY_WRITE_TIMEOUT: Duration = MAX_TIMEOUT_EXCESS.saturating_sub(TRANSMISSION_MARGIN);

/// Progress of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The exchange waits for the peer.
    Pending,
    /// The reply is complete and the connection can be reused.
    Done,
    /// The exchange ended with this outcome and the connection must be closed. Also used when the pooler
    /// cancels the exchange, since the rest of the reply is not read.
    Failed(Outcome),
    /// The exchange ended with this outcome because the peer sent data that is not part of a valid reply. The
    /// connection must be closed.
    Malformed(Outcome),
}

/// Whether a TCP connection has been established.
enum ConnectStatus {
    Pending,
    Established,
    Failed,
}

/// A connection to an endpoint.
pub(super) struct Connection {
    endpoint: EndpointId,
    /// Address of the endpoint when the connection was opened.
    address: SocketAddr,
    stream: TcpStream,
    /// Time limit for the connection to become ready for a query, and for a reply to complete once it has
    /// started: neither waits for the execution of a query. Health checks have the same limit for the same
    /// reason.
    connect_timeout: Duration,
    /// Deadline of the current state.
    state_deadline: Instant,
    state: State,
    input: RingBuffer,
    output: RingBuffer,
    /// Memory reservation for the value of the reply.
    value_memory: MemoryReservation,
}

impl Connection {
    /// Creates a connection for `exchange` whose stream is still being established.
    pub fn new(
        endpoint: EndpointId,
        address: SocketAddr,
        stream: TcpStream,
        exchange: Exchange,
        connect_timeout: Duration,
        budget: &MemoryBudget,
    ) -> Connection {
        Connection {
            endpoint,
            address,
            stream,
            connect_timeout,
            state_deadline: (exchange.started_at() + connect_timeout).min(exchange.deadline()),
            state: State::Connecting(exchange),
            input: RingBuffer::new(budget),
            output: RingBuffer::new(budget),
            value_memory: budget.reservation(),
        }
    }

    /// Registers the socket for events.
    pub fn register(&mut self, id: ConnectionId, reactor: &mut Reactor) -> io::Result<()> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        reactor.register(&mut self.stream, EventSource::Backend(id), interest)
    }

    /// Returns the endpoint.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Returns the address of the endpoint when the connection was opened.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the deadline of the current state.
    pub fn state_deadline(&self) -> Instant {
        self.state_deadline
    }

    /// Returns whether the connection is ready for an exchange.
    pub fn is_idle(&self) -> bool {
        self.state.is_idle()
    }

    /// Returns whether the connection has an exchange whose query is not completely written.
    pub fn has_unsent_query(&self) -> bool {
        match self.state {
            State::Connecting(_) | State::Starting(_) => true,
            State::Busy { .. } => self.write_status() == WriteStatus::Pending,
            State::Idle => false,
        }
    }

    /// Returns whether data has been received that was not processed as part of an exchange.
    pub fn has_unread_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Returns whether no data of an earlier exchange is left to be read or written.
    pub fn has_empty_buffers(&self) -> bool {
        self.input.is_empty() && self.output.is_empty()
    }

    /// Returns whether an idle connection is still open and in sync. Reads from the socket, so that no query
    /// is sent on a connection which the peer has closed but whose poll event is not handled yet.
    pub fn is_usable(&mut self) -> bool {
        let read = self.input.read_from(&mut self.stream);
        matches!(read, Ok(ReadStatus::WouldBlock)) && self.input.is_empty()
    }

    /// Starts an exchange on an idle connection.
    pub fn start(&mut self, exchange: Exchange, now: Instant) -> Progress {
        match self.send_query(exchange, now) {
            Progress::Pending => self.run_cycle(now),
            progress => progress,
        }
    }

    /// Takes the exchange, if any, with the part of its reply received so far.
    pub fn take_exchange(&mut self) -> Option<(Exchange, Reply)> {
        self.state.take_exchange()
    }

    /// Ends an exchange whose reply is complete. The connection then stays idle until `idle_deadline`.
    pub fn finish_exchange(&mut self, idle_deadline: Instant) -> Option<(Exchange, Reply)> {
        let finished = self.take_exchange()?;
        self.state_deadline = idle_deadline;
        // Shrinking a reservation cannot fail.
        let _ = self.value_memory.resize(0);
        Some(finished)
    }

    /// Reads, processes and writes as far as possible without blocking. Once a reply has started, the rest is
    /// due within the connect timeout: a reply may announce more data than the endpoint ever sends.
    pub fn run_cycle(&mut self, now: Instant) -> Progress {
        let progress = self.advance(now);
        let has_unread_input = self.has_unread_input();
        if let State::Busy { reply, reply_started, .. } = &mut self.state {
            if !*reply_started && (reply.has_started() || has_unread_input) {
                *reply_started = true;
                self.state_deadline = self.state_deadline.min(now + self.connect_timeout);
            }
        }
        progress
    }

    /// Returns how the exchange ends now that the deadline of the current state has passed.
    pub fn expire(&mut self, now: Instant) -> Progress {
        match self.state.expiry(now, self.connect_timeout, self.write_status()) {
            Expiry::ReplyStalled => self.reject_malformed(),
            Expiry::Failed(outcome) => Progress::Failed(outcome),
        }
    }

    /// Reads, processes and writes until the connection must wait for the peer or the exchange ends.
    fn advance(&mut self, now: Instant) -> Progress {
        if matches!(self.state, State::Connecting(_)) {
            match self.finish_connecting() {
                ConnectStatus::Established => {}
                ConnectStatus::Pending => return Progress::Pending,
                ConnectStatus::Failed => return Progress::Failed(Outcome::ConnectFailed),
            }
        }
        loop {
            if let Err(progress) = self.write_output(now) {
                return progress;
            }
            // Data received before a reset is still processed.
            let read = self.input.read_from(&mut self.stream).unwrap_or(ReadStatus::EndOfStream);
            let unprocessed = self.input.len();
            let was_starting = self.state.is_starting();
            let progress = self.process_messages(now);
            if progress != Progress::Pending {
                return progress;
            }
            if read == ReadStatus::EndOfStream {
                return self.connection_lost();
            }
            // Readiness is edge-triggered: no further event comes for data left in the socket because the
            // buffer was full, nor for a query that was just queued.
            let can_read_more = read == ReadStatus::Full && self.input.len() != unprocessed;
            let query_queued = was_starting && !self.state.is_starting();
            if !can_read_more && !query_queued {
                return Progress::Pending;
            }
        }
    }

    /// Writes as much as possible. A query that was not completely written by its write deadline must not be
    /// written any more. Once it is written, the deadline of the exchange applies instead.
    fn write_output(&mut self, now: Instant) -> Result<(), Progress> {
        let is_query_waiting = self.state.is_busy() && self.write_status() == WriteStatus::Pending;
        if is_query_waiting && now >= self.state_deadline {
            return Err(Progress::Failed(Outcome::ConnectFailed));
        }
        self.output.write_to(&mut self.stream).map_err(|_| self.connection_lost())?;
        if let State::Busy { exchange, reply_started: false, .. } = &self.state {
            if is_query_waiting && self.write_status() == WriteStatus::Written {
                self.state_deadline = exchange.deadline();
            }
        }
        Ok(())
    }

    /// Checks whether the TCP connection is established, and if so queues the startup message.
    fn finish_connecting(&mut self) -> ConnectStatus {
        match self.stream.take_error() {
            Ok(None) => {}
            Ok(Some(_)) | Err(_) => return ConnectStatus::Failed,
        }
        if self.stream.peer_addr().is_err() {
            return ConnectStatus::Pending;
        }
        // An error is ignored: without TCP_NODELAY the connection is slower but works.
        let _ = self.stream.set_nodelay(true);
        if let Some((exchange, _)) = self.take_exchange() {
            self.state = State::Starting(exchange);
        }
        match self.output.push(&postgres::startup_message(USER, DATABASE)) {
            Ok(()) => ConnectStatus::Established,
            Err(_) => ConnectStatus::Failed,
        }
    }

    /// Queues the query of an exchange. Fails, with none of the query sent, if the deadline has passed or the
    /// buffer capacity is exhausted.
    fn send_query(&mut self, exchange: Exchange, now: Instant) -> Progress {
        let is_expired = now >= exchange.deadline();
        let query = exchange.query_message(now);
        self.state_deadline = exchange.deadline().min(now + QUERY_WRITE_TIMEOUT);
        self.state = State::busy(exchange);
        if is_expired {
            return Progress::Failed(Outcome::NotSent);
        }
        match self.output.push(&query) {
            Ok(()) => Progress::Pending,
            Err(_) => Progress::Failed(Outcome::NotSent),
        }
    }

    /// Processes all complete messages in the input buffer.
    fn process_messages(&mut self, now: Instant) -> Progress {
        loop {
            let message = match postgres::read_backend_message(&mut self.input) {
                Ok(Some(message)) => message,
                Ok(None) => return Progress::Pending,
                Err(_) => return self.reject_malformed(),
            };
            let progress = self.process_message(&message, now);
            if progress != Progress::Pending {
                return progress;
            }
        }
    }

    /// Processes one message according to the current state.
    fn process_message(&mut self, message: &BackendMessage, now: Instant) -> Progress {
        if matches!(message.kind, BackendMessageKind::NoticeResponse | BackendMessageKind::BackendKeyData) {
            return Progress::Pending;
        }
        match &mut self.state {
            State::Connecting(_) => self.reject_malformed(),
            State::Starting(_) => self.process_startup_message(message, now),
            State::Idle if message.kind == BackendMessageKind::ParameterStatus => Progress::Pending,
            State::Idle => self.reject_malformed(),
            State::Busy { exchange, reply, .. } => {
                match reply.add_message(message, exchange.task(), &mut self.value_memory) {
                    Ok(ReplyStatus::Incomplete) => Progress::Pending,
                    Ok(ReplyStatus::ReadyForQuery) => Progress::Done,
                    Ok(ReplyStatus::FatalError) => self.connection_lost(),
                    Err(ReplyError::UnexpectedMessage) => self.reject_malformed(),
                    Err(ReplyError::OutOfMemory) => Progress::Failed(Outcome::Error),
                }
            }
        }
    }

    /// Processes a message of the startup phase. Queues the query once the session is ready.
    fn process_startup_message(&mut self, message: &BackendMessage, now: Instant) -> Progress {
        match message.kind {
            BackendMessageKind::ParameterStatus => Progress::Pending,
            BackendMessageKind::Authentication if message.body == postgres::AUTHENTICATION_OK => {
                Progress::Pending
            }
            BackendMessageKind::ErrorResponse => Progress::Failed(startup_error_outcome(&message.body)),
            BackendMessageKind::ReadyForQuery => match self.take_exchange() {
                Some((exchange, _)) => self.send_query(exchange, now),
                None => Progress::Failed(Outcome::NotSent),
            },
            _ => self.reject_malformed(),
        }
    }

    /// Returns how the exchange ends now that the connection is lost.
    fn connection_lost(&self) -> Progress {
        Progress::Failed(self.state.outcome_of_lost_connection(self.write_status()))
    }

    /// Returns how the exchange ends now that the peer has sent data that is not part of a valid reply.
    /// Discards the reply unless it proves that the request was not executed.
    fn reject_malformed(&mut self) -> Progress {
        Progress::Malformed(self.state.outcome_of_malformed_reply())
    }

    fn write_status(&self) -> WriteStatus {
        if self.output.is_empty() {
            WriteStatus::Written
        } else {
            WriteStatus::Pending
        }
    }
}

/// Returns the outcome of an exchange when the endpoint rejected the startup of the session.
fn startup_error_outcome(body: &[u8]) -> Outcome {
    if postgres::parse_error_response(body).sqlstate == sqlstate::TOO_MANY_CONNECTIONS {
        Outcome::Overloaded
    } else {
        Outcome::ConnectFailed
    }
}

#[cfg(test)]
mod tests;

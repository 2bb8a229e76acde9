//! A connection to an endpoint: connects, starts the session, sends queries and reads their replies.
//! [`messages`] processes the messages of the endpoint.

mod messages;

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::Interest;

use super::exchange::Exchange;
use super::reply::Reply;
use super::state::{ConnectionState, ExpiryResult, WriteStatus};
use crate::interface::{EndpointId, Outcome};
use crate::net::buffer::{MemoryBudget, MemoryReservation, ReadStatus, RingBuffer};
use crate::net::postgres;
use crate::net::reactor::{ConnectionId, EventSource, Reactor, Resumption};
use crate::net::{AttemptTask, Task};

/// User and database in the startup message.
const USER: &str = "app";
const DATABASE: &str = "shop";

/// When an endpoint receives a query, the timeout stated in the query may exceed the time that the client
/// still waits by at most this much. Otherwise the endpoint would work for a client that no longer waits.
const MAX_TIMEOUT_EXCESS: Duration = Duration::from_millis(150);
/// The part of [`MAX_TIMEOUT_EXCESS`] reserved for transmission from the socket to the endpoint.
const TRANSMISSION_MARGIN: Duration = Duration::from_millis(50);
/// Maximum time that a query may stay in the output buffer.
const QUERY_WRITE_TIMEOUT: Duration = MAX_TIMEOUT_EXCESS.saturating_sub(TRANSMISSION_MARGIN);

/// Time limit for the response to an empty query, as a share of the connect timeout: opening a connection
/// takes several round trips, and an exchange that waits in vain needs time to open one.
const SYNC_TIMEOUT_SHARE: f64 = 0.4;
/// A query without a statement. Endpoints answer it at once, and it has no effect.
const EMPTY_QUERY: &[u8] = b"";

/// Status of an exchange, or of a connection without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeStatus {
    /// The exchange waits for the endpoint.
    Pending,
    /// The connection is ready for the query of an attempt, which the policy has yet to allow.
    Ready,
    /// The reply is complete. The connection can be reused once it is synchronized.
    Done,
    /// The connection carries no exchange, is synchronized and can be reused.
    Synchronized,
    /// The connection could not be synchronized, and an exchange that waits for it is not sent. The outcome
    /// is [`Outcome::Error`] if the endpoint has sent something else than the response to an empty query.
    NotSynchronized(Outcome),
    /// The exchange ended with this outcome and the connection must be closed. Also used when the pooler
    /// cancels the exchange, since the rest of the reply is not read.
    Failed(Outcome),
    /// The exchange ended with this outcome because the endpoint sent data that is not part of a valid reply.
    /// The connection must be closed.
    Malformed(Outcome),
}

/// Whether a TCP connection has been established.
enum ConnectStatus {
    Pending,
    Established,
    Failed,
}

/// A connection to an endpoint.
pub(super) struct BackendConnection {
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
    state: ConnectionState,
    input: RingBuffer,
    output: RingBuffer,
    /// Whether the last cycle left input that no event announces again.
    has_more_input: bool,
    next_cycle: Resumption,
    /// Memory reservation for the value of the reply.
    value_memory: MemoryReservation,
}

impl BackendConnection {
    /// Creates a connection that is still being established, to be used for `exchange`.
    pub fn new(
        endpoint: EndpointId,
        address: SocketAddr,
        stream: TcpStream,
        exchange: Exchange,
        connect_timeout: Duration,
        budget: &MemoryBudget,
    ) -> BackendConnection {
        BackendConnection {
            endpoint,
            address,
            stream,
            connect_timeout,
            state_deadline: exchange.ready_by(connect_timeout),
            state: ConnectionState::Connecting(exchange),
            input: RingBuffer::new(budget),
            output: RingBuffer::new(budget),
            has_more_input: false,
            next_cycle: Resumption::default(),
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

    /// Returns `true` if the connection is ready for an exchange.
    pub fn is_idle(&self) -> bool {
        self.state.is_idle()
    }

    /// Returns `true` if the connection carries no exchange.
    pub fn is_unused(&self) -> bool {
        self.state.is_unused()
    }

    /// Returns `true` if the connection has an exchange whose query is not completely written.
    pub fn has_unsent_query(&self) -> bool {
        match self.state {
            ConnectionState::Connecting(_) | ConnectionState::Starting(_) | ConnectionState::Ready(_) => true,
            ConnectionState::Synchronizing { ref next, .. } => next.is_some(),
            ConnectionState::Busy { .. } => self.write_status() == WriteStatus::Pending,
            ConnectionState::Idle => false,
        }
    }

    /// Returns `true` if received data is left unprocessed.
    pub fn has_unread_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Returns `true` if no data of an earlier exchange is left to be read or written.
    pub fn has_empty_buffers(&self) -> bool {
        self.input.is_empty() && self.output.is_empty()
    }

    /// Returns `true` if a connection without a query is still open and in sync. Reads from the socket, so
    /// that no query is sent on a connection that the peer has closed, even if that event is not handled yet.
    pub fn is_usable(&mut self) -> bool {
        let read = self.input.read_from(&mut self.stream);
        matches!(read, Ok(ReadStatus::WouldBlock)) && self.input.is_empty()
    }

    /// Starts an exchange on a connection that is ready for it.
    pub fn start(&mut self, exchange: Exchange, now: Instant) -> ExchangeStatus {
        match self.send_query(exchange, now) {
            ExchangeStatus::Pending => self.run_cycle(now),
            status => status,
        }
    }

    /// Takes the exchange, if any, with the part of its reply received so far.
    pub fn take_exchange(&mut self) -> Option<(Exchange, Reply)> {
        self.state.take_exchange()
    }

    /// Ends an exchange whose reply is complete.
    pub fn finish_exchange(&mut self) -> Option<(Exchange, Reply)> {
        let finished = self.take_exchange()?;
        // Shrinking a reservation cannot fail.
        let _ = self.value_memory.resize(0);
        Some(finished)
    }

    /// Starts to synchronize a connection without an exchange.
    pub fn start_synchronizing(&mut self, now: Instant) -> ExchangeStatus {
        self.state = ConnectionState::synchronizing();
        self.state_deadline = now + self.connect_timeout.mul_f64(SYNC_TIMEOUT_SHARE);
        if self.output.push(&postgres::query_message(EMPTY_QUERY)).is_err() {
            return ExchangeStatus::NotSynchronized(Outcome::NotSent);
        }
        self.write_output(now).err().unwrap_or(ExchangeStatus::Pending)
    }

    /// Lets an exchange wait until the connection, which has none, is synchronized.
    pub fn start_after_synchronization(&mut self, exchange: Exchange) {
        if let ConnectionState::Synchronizing { next, .. } = &mut self.state {
            *next = Some(exchange);
        }
    }

    /// Replaces the socket of a connection that could not be synchronized, for the exchange that waits for
    /// it.
    pub fn reconnect(&mut self, address: SocketAddr, stream: TcpStream) {
        self.address = address;
        self.stream = stream;
        self.input.consume(self.input.len());
        self.output.consume(self.output.len());
        if let Some((exchange, _)) = self.take_exchange() {
            self.state_deadline = exchange.ready_by(self.connect_timeout);
            self.state = ConnectionState::Connecting(exchange);
        }
    }

    /// Makes a synchronized connection available until `idle_deadline`.
    pub fn set_idle(&mut self, idle_deadline: Instant) {
        self.state = ConnectionState::Idle;
        self.state_deadline = idle_deadline;
    }

    /// Lets the reactor resume the connection if the last cycle left input that no event announces again.
    pub fn schedule_cycle_if_needed(&mut self, id: ConnectionId, reactor: &mut Reactor) {
        if self.has_more_input {
            self.next_cycle.schedule(EventSource::Backend(id), reactor);
        }
    }

    /// Returns `true` if the reactor will resume the connection.
    pub fn is_cycle_scheduled(&self) -> bool {
        self.next_cycle.is_scheduled()
    }

    /// Records that the reactor resumes the connection; the caller runs the cycle. Returns `true` if it was
    /// scheduled.
    pub fn take_scheduled_cycle(&mut self) -> bool {
        self.next_cycle.take()
    }

    /// Reads at most one buffer, processes it and writes until the connection would block. Once a reply has
    /// started, the rest must arrive within the connect timeout: a reply may announce more data than the
    /// endpoint ever sends.
    pub fn run_cycle(&mut self, now: Instant) -> ExchangeStatus {
        let status = self.process_io(now);
        let has_unread_input = self.has_unread_input();
        if let ConnectionState::Busy { reply, reply_started, .. } = &mut self.state {
            if !*reply_started && (reply.has_started() || has_unread_input) {
                *reply_started = true;
                self.state_deadline = self.state_deadline.min(now + self.connect_timeout);
            }
        }
        status
    }

    /// Returns how the exchange ends now that the deadline of the current state has passed.
    pub fn expire(&mut self, now: Instant) -> ExchangeStatus {
        if self.state.is_synchronizing() {
            return ExchangeStatus::NotSynchronized(Outcome::Timeout);
        }
        match self.state.expiry_result(now, self.connect_timeout, self.write_status()) {
            ExpiryResult::ReplyStalled => self.reject_malformed(),
            ExpiryResult::Failed(outcome) => ExchangeStatus::Failed(outcome),
        }
    }

    /// Reads at most one buffer, processes it and writes, until the connection would block or the exchange
    /// ends.
    fn process_io(&mut self, now: Instant) -> ExchangeStatus {
        self.has_more_input = false;
        if matches!(self.state, ConnectionState::Connecting(_)) {
            match self.finish_connecting() {
                ConnectStatus::Established => {}
                ConnectStatus::Pending => return ExchangeStatus::Pending,
                ConnectStatus::Failed => return ExchangeStatus::Failed(Outcome::ConnectFailed),
            }
        }
        if let Err(status) = self.write_output(now) {
            return status;
        }
        // Data received before a reset is still processed.
        let read = self.input.read_from(&mut self.stream).unwrap_or(ReadStatus::EndOfStream);
        let status = self.process_input(read, now);
        if status != ExchangeStatus::Pending {
            return status;
        }
        // The query of a health check may have been queued at the end of the startup.
        self.write_output(now).err().unwrap_or(ExchangeStatus::Pending)
    }

    /// Writes the output until the socket would block. Fails if the connection is lost. Also fails, without
    /// writing any more, if the query was not completely written by its write deadline. Once it is written,
    /// the deadline of the exchange applies instead.
    fn write_output(&mut self, now: Instant) -> Result<(), ExchangeStatus> {
        let is_query_waiting = self.state.is_busy() && self.write_status() == WriteStatus::Pending;
        if is_query_waiting && now >= self.state_deadline {
            return Err(ExchangeStatus::Failed(Outcome::ConnectFailed));
        }
        self.output.write_to(&mut self.stream).map_err(|_| self.lost_connection_status())?;
        if let ConnectionState::Busy { exchange, reply_started: false, .. } = &self.state {
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
            self.state = ConnectionState::Starting(exchange);
        }
        match self.output.push(&postgres::startup_message(USER, DATABASE)) {
            Ok(()) => ConnectStatus::Established,
            Err(_) => ConnectStatus::Failed,
        }
    }

    /// Queues the query of an exchange that has waited for the connection. That of an attempt is left to
    /// [`send_prepared_query`](Self::send_prepared_query).
    fn prepare_query(&mut self, exchange: Exchange, now: Instant) -> ExchangeStatus {
        match exchange.task() {
            Task::HealthCheck => self.send_query(exchange, now),
            Task::Attempt(_) => {
                self.state_deadline = exchange.ready_by(self.connect_timeout);
                self.state = ConnectionState::Ready(exchange);
                ExchangeStatus::Ready
            }
        }
    }

    /// Returns the attempt whose query the policy has yet to allow, if any.
    pub fn prepared_attempt(&self) -> Option<&AttemptTask> {
        match &self.state {
            ConnectionState::Ready(exchange) => match exchange.task() {
                Task::Attempt(attempt) => Some(attempt),
                Task::HealthCheck => None,
            },
            _ => None,
        }
    }

    /// Sends the query of the attempt that was waiting for the policy. Fails, with none of the query sent, if
    /// the endpoint has closed the connection or has sent something meanwhile.
    pub fn send_prepared_query(&mut self, now: Instant) -> ExchangeStatus {
        if self.prepared_attempt().is_none() {
            return ExchangeStatus::Pending;
        }
        if !self.is_usable() {
            return ExchangeStatus::Failed(Outcome::ConnectFailed);
        }
        match self.take_exchange() {
            Some((exchange, _)) => self.start(exchange, now),
            None => ExchangeStatus::Pending,
        }
    }

    /// Queues the query of an exchange. Fails, with none of the query sent, if the deadline has passed or the
    /// output buffer cannot hold the query.
    fn send_query(&mut self, exchange: Exchange, now: Instant) -> ExchangeStatus {
        let is_expired = now >= exchange.deadline();
        let query = exchange.query_message(now);
        self.state_deadline = exchange.deadline().min(now + QUERY_WRITE_TIMEOUT);
        self.state = ConnectionState::busy(exchange);
        if is_expired {
            return ExchangeStatus::Failed(Outcome::NotSent);
        }
        match self.output.push(&query) {
            Ok(()) => ExchangeStatus::Pending,
            Err(_) => ExchangeStatus::Failed(Outcome::NotSent),
        }
    }

    /// Returns how the exchange ends now that the connection is lost.
    fn lost_connection_status(&self) -> ExchangeStatus {
        if self.state.is_synchronizing() {
            return ExchangeStatus::NotSynchronized(Outcome::ConnectionReset);
        }
        ExchangeStatus::Failed(self.state.outcome_of_lost_connection(self.write_status()))
    }

    /// Returns how the exchange ends now that the endpoint has sent data that is not part of a valid reply.
    /// Discards the reply unless it proves that the request was not executed.
    fn reject_malformed(&mut self) -> ExchangeStatus {
        if self.state.is_synchronizing() {
            return ExchangeStatus::NotSynchronized(Outcome::Error);
        }
        ExchangeStatus::Malformed(self.state.outcome_of_malformed_reply())
    }

    fn write_status(&self) -> WriteStatus {
        if self.output.is_empty() {
            WriteStatus::Written
        } else {
            WriteStatus::Pending
        }
    }
}

#[cfg(test)]
mod tests;

//! The client side of the pooler: accepts connections, reads queries and writes responses.
//!
//! Each module depends only on modules listed below it. Exceptions are the shared types in the last line and
//! [`connection_limit`], which implements a part of [`Frontend`]:
//!
//! - [`Frontend`]: dispatches each event to the connection that it concerns.
//! - [`connection_limit`]: accepts connections up to the connection limit.
//! - [`acceptor`]: the listening socket.
//! - [`idle`]: selects the idle connections to close when many connections are open.
//! - [`connections`]: the open connections, their limit, and which one is evicted for a new one.
//! - [`connection`]: the read, process and write cycle of one connection. Owns three parts:
//!   - [`socket`]: the socket and its registration with the reactor.
//!   - [`session`]: the protocol, including the processing of each client message. Owns three parts:
//!     - [`protocol_state`]: the phase of the protocol and its legal transitions.
//!     - [`input`]: bytes received and not yet processed, with their arrival times ([`arrivals`]).
//!     - [`output`]: responses and errors that are not yet written.
//!   - [`deadline`]: the action expected from the client, and its deadline.
//!     - [`excess_input`]: input that is not kept, whose queries are refused.
//!     - [`waiting_queries`]: the queries in the input that wait for the running one.
//! - [`cycle`], [`rejection`], [`service_status`], [`error`], [`log_limiter`]: shared by several of these modules.

mod acceptor;
mod arrivals;
mod connection;
mod connection_limit;
mod connections;
mod cycle;
mod deadline;
mod error;
mod excess_input;
mod idle;
mod input;
mod log_limiter;
mod output;
mod protocol_state;
mod rejection;
mod service_status;
mod session;
mod socket;
mod waiting_queries;

use std::io;
use std::time::{Duration, Instant};

use mio::net::TcpListener;

use super::buffer::MemoryBudget;
use super::reactor::{ConnectionId, TimerEvent};
use super::shutdown::Drain;
use super::{CancelKey, Context, Event, Response};
use crate::counters::Counters;
use acceptor::Acceptor;
use connection::{ClientConnection, GracefulClose};
use connections::ClientConnections;
use error::MustClose;
use idle::{IdleConnection, IDLE_SWEEP_INTERVAL};
use protocol_state::Phase;
use service_status::ServiceStatus;
use session::Session;

/// All client connections, and the acceptor of new ones.
pub(crate) struct Frontend {
    acceptor: Acceptor,
    connections: ClientConnections,
    /// Time limit for a client to read its responses.
    client_read_timeout: Duration,
    /// Limits the total memory of all connections.
    budget: MemoryBudget,
    service: ServiceStatus,
    /// Generates the cancel keys of the connections.
    rng: fastrand::Rng,
}

impl Frontend {
    /// Registers the listener and schedules the first idle sweep. At most `max_connections` connections are
    /// open at a time. `longest_deadline` is the longest deadline of any request class. Fails if the listener
    /// cannot be registered.
    pub fn new(
        listener: TcpListener,
        max_connections: usize,
        longest_deadline: Duration,
        budget: MemoryBudget,
        seed: u64,
        context: &mut Context,
    ) -> io::Result<Frontend> {
        let acceptor = Acceptor::new(listener, &mut context.reactor)?;
        context.reactor.set_timer(context.reactor.now() + IDLE_SWEEP_INTERVAL, TimerEvent::IdleSweep);
        Ok(Frontend {
            acceptor,
            connections: ClientConnections::new(max_connections),
            client_read_timeout: deadline::client_read_timeout(longest_deadline),
            budget,
            service: ServiceStatus::default(),
            rng: fastrand::Rng::with_seed(seed),
        })
    }

    /// Returns `true` if the listener is closed and no client is connected.
    pub fn is_finished(&self) -> bool {
        self.connections.len() == 0 && !self.acceptor.is_open()
    }

    /// Handles a connection that has become readable or writable. One that will be resumed has used up its
    /// share of this turn.
    pub fn ready(&mut self, id: ConnectionId, context: &mut Context) {
        if self.connections.get_mut(id).is_some_and(|connection| !connection.is_cycle_scheduled()) {
            self.run_cycle(id, context);
        }
    }

    /// Resumes a connection that had more input than its share of an earlier turn.
    pub fn resume(&mut self, id: ConnectionId, context: &mut Context) {
        if self.connections.get_mut(id).is_some_and(ClientConnection::take_scheduled_cycle) {
            self.run_cycle(id, context);
        }
    }

    /// Runs a cycle of a connection.
    fn run_cycle(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let result = connection.run_cycle(id, self.service, context);
        self.finish_cycle(id, result, context);
    }

    /// Handles a connection that its client has closed. Unread input is discarded, except a cancel request.
    pub fn client_disconnected(&mut self, id: ConnectionId, context: &mut Context) {
        self.finish_cycle(id, Err(MustClose::ClientDisconnected), context);
    }

    /// Handles an expired timer of a connection: runs its next cycle if that was left to a timer, and closes
    /// the connection if the client has missed its deadline.
    pub fn timer_expired(&mut self, id: ConnectionId, context: &mut Context) {
        let now = context.reactor.now();
        if self.connections.get_mut(id).is_some_and(|connection| connection.is_resumed_by_timer()) {
            self.run_cycle(id, context);
        }
        let Some(connection) = self.connections.get_mut(id) else { return };
        // Timers are not cancelled, so this one may belong to an earlier deadline.
        connection.continue_deadline(id, now, context);
        if !connection.has_missed_deadline(now) {
            return;
        }
        let result = connection
            .handle_missed_deadline(id, context)
            .and_then(|()| connection.run_cycle(id, self.service, context));
        self.finish_cycle(id, result, context);
    }

    /// Closes the connections whose idle timeout has passed, the longest idle first.
    pub fn close_idle_connections(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        context.reactor.set_timer(now + IDLE_SWEEP_INTERVAL, TimerEvent::IdleSweep);
        while let Some(idle) = IdleConnection::find(&self.connections, now) {
            // The socket may already hold new input, which ends the idle time.
            self.run_cycle(idle.id, context);
            let Some(connection) = self.connections.get_mut(idle.id) else { continue };
            if !idle.is_still_idle(connection, now) {
                continue;
            }
            connection.close_gracefully(idle.id, GracefulClose::Idle, context);
            context.counters.idle_closed += 1;
            let result = connection.run_cycle(idle.id, self.service, context);
            self.finish_cycle(idle.id, result, context);
        }
    }

    /// Sends the final response to the running query of a connection. Does nothing if no query is running.
    pub fn respond(&mut self, id: ConnectionId, response: Response, context: &mut Context) {
        let is_busy = |connection: &mut ClientConnection| connection.session().phase() == Phase::Busy;
        if !self.connections.get_mut(id).is_some_and(is_busy) {
            return;
        }
        count_response(&response, &mut context.counters);
        self.write(id, context, |connection, now| connection.add_response(response, now));
    }

    /// Lets `add` append a response to the output of a connection, and writes it.
    fn write(
        &mut self,
        id: ConnectionId,
        context: &mut Context,
        add: impl FnOnce(&mut ClientConnection, Instant) -> Result<(), MustClose>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let result =
            add(connection, context.reactor.now()).and_then(|()| connection.write_response(id, context));
        self.finish_cycle(id, result, context);
    }

    /// Returns the connection whose running query is the target of a cancel request with this key.
    pub fn find_by_cancel_key(&self, key: CancelKey) -> Option<ConnectionId> {
        self.connections.find(|session| session.is_cancelled_by(key))
    }

    /// Marks the pooler as ready to execute queries and responds to the empty queries that wait for that.
    pub fn set_ready(&mut self, context: &mut Context) {
        if self.service.is_ready() {
            return;
        }
        self.service.set_ready();
        for id in self.connections.find_all(|session| session.phase() == Phase::AwaitingEndpoints) {
            self.write(id, context, ClientConnection::add_response_to_waiting_empty_query);
        }
    }

    /// Starts to drain the connections: each is closed once all its queries are answered, and further queries
    /// are rejected as [`Drain::rejects`] decides.
    pub fn start_draining(&mut self, drain: Drain, context: &mut Context) {
        self.service.start_draining(drain);
        for id in self.connections.find_all(Session::has_blocking_empty_query) {
            self.write(id, context, |connection, _| connection.reject_waiting_empty_query(drain));
        }
        for id in self.connections.ids() {
            self.run_cycle(id, context);
        }
    }

    /// Returns the clients whose running query is a blocking request, that is, a query with unread input
    /// behind it. The input need not be a complete query.
    pub fn clients_with_blocking_requests(&self) -> Vec<ConnectionId> {
        self.connections.find_all(Session::has_blocking_request)
    }

    /// Completes a cycle: closes the connection if it is drained during a shutdown, updates the client's
    /// deadline, removes the connection if it is closed, and accepts waiting connections if the connection
    /// limit may now allow them.
    fn finish_cycle(&mut self, id: ConnectionId, mut result: Result<(), MustClose>, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let is_busy = connection.session().phase() == Phase::Busy;
        if self.service.is_draining() && result.is_ok() && connection.can_close() {
            connection.close_gracefully(id, GracefulClose::Shutdown, context);
            result = connection.run_cycle(id, self.service, context);
        }
        connection.update_deadline(id, context);
        let is_blocking = connection.session().has_blocking_request();
        if is_blocking && result.is_ok() && self.service.is_waiting_over(context.reactor.now()) {
            context.events.push_back(Event::QueryBlocksOthers(id));
        }
        let is_closed = result.is_err();
        if let Err(reason) = result {
            if is_busy {
                context.events.push_back(Event::ClientDisconnected(id));
            }
            connection.process_final_cancel_request(context);
            self.connections.remove(id, reason);
        }
        if is_closed || !is_busy {
            self.accept_waiting(context);
        }
    }
}

fn count_response(response: &Response, counters: &mut Counters) {
    let counter = match response {
        Response::Value(_) => &mut counters.served,
        Response::Rejected { .. } => &mut counters.rejected,
        Response::Failed => &mut counters.failed,
        Response::Cancelled => &mut counters.cancel_requests,
        Response::Invalid(_) => &mut counters.malformed,
    };
    *counter += 1;
}

#[cfg(test)]
mod tests;

//! Backend: holds the connections to endpoints and executes attempts and health checks over them.
//!
//! The completion of each task is reported by [`Event::TaskCompleted`].
//!
//! - [`pool`]: known endpoints and the connections to them.
//! - [`connection`]: a connection and its read, process and write cycle.
//! - [`state`]: connection states and the outcome of an exchange when the connection fails.
//! - [`exchange`]: execution of one task, with its deadline.
//! - [`reply`]: the reply to one query.
//! - [`synchronization`]: what separates a reply from the next one.
//! - [`reuse`]: what happens to a connection after a reply.
//! - [`close_reason`]: why a connection is closed.
//! - [`connect_error`]: errors of opening a connection.

mod close_reason;
mod connect_error;
mod connection;
mod exchange;
mod pool;
mod reply;
mod reuse;
mod state;
mod synchronization;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;

use super::buffer::MemoryBudget;
use super::reactor::{ConnectionId, TimerEvent};
use super::{Context, Event, Task};
use crate::endpoint_list::ListedEndpoint;
use crate::interface::{EndpointId, Outcome, UpdateKind};
use close_reason::CloseReason;
use connect_error::ConnectError;
use connection::{BackendConnection, ExchangeStatus};
use exchange::Exchange;
use pool::Pool;
use reply::Reply;

/// Idle connections are closed after this fraction of the endpoint's keepalive time. A query sent while the
/// endpoint closes the connection would end in a reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Executes tasks on endpoints.
pub(crate) struct Backend {
    pool: Pool,
    budget: MemoryBudget,
    /// How long a connection may stay idle before it is closed.
    idle_timeout: Duration,
    /// Time limit for a connection to become ready for a query, and for a reply to complete once it has
    /// started: neither waits for the execution of a query.
    connect_timeout: Duration,
}

impl Backend {
    /// Creates a backend without connections. `keepalive` is how long endpoints keep idle connections open.
    pub fn new(
        max_connections: usize,
        budget: MemoryBudget,
        keepalive: Duration,
        connect_timeout: Duration,
    ) -> Backend {
        Backend {
            pool: Pool::new(max_connections),
            budget,
            idle_timeout: keepalive.mul_f64(IDLE_TIMEOUT_FRACTION),
            connect_timeout,
        }
    }

    /// Applies an update of the endpoint list. Unsent queries to endpoints that no longer serve end as
    /// [`NotSent`](Outcome::NotSent).
    pub fn update_endpoints(
        &mut self,
        kind: UpdateKind,
        endpoints: &[ListedEndpoint],
        context: &mut Context,
    ) {
        let no_longer_serving = self.pool.update_endpoints(kind, endpoints, context.reactor.now());
        for id in self.pool.connections_with_unsent_query(&no_longer_serving) {
            self.handle_status(id, ExchangeStatus::Failed(Outcome::NotSent), context);
        }
    }

    /// Closes the connections to an endpoint that carry no task.
    pub fn close_unused_connections(&mut self, endpoint: &EndpointId) {
        self.pool.close_unused_connections(endpoint, CloseReason::ConnectionShortage);
    }

    /// Starts a task and returns its connection, or `None` if none could be opened. The task waits for a
    /// connection that is being synchronized if none is idle, since opening one takes longer. If the task
    /// ends at once, its completion is queued as an event, and the returned connection may already be closed.
    pub fn send(
        &mut self,
        task: Task,
        endpoint: &EndpointId,
        timeout: Duration,
        context: &mut Context,
    ) -> Option<ConnectionId> {
        let now = context.reactor.now();
        let exchange = Exchange::new(task, now, timeout);
        if let Some(id) = self.pool.take_idle(endpoint) {
            if let Some(connection) = self.pool.get_mut(id) {
                let status = connection.start(exchange, now);
                context.reactor.set_timer(connection.state_deadline(), TimerEvent::Backend(id));
                self.handle_status(id, status, context);
                return Some(id);
            }
        }
        let synchronizing = self.pool.find_synchronizing(endpoint);
        if let Some((id, connection)) = synchronizing.and_then(|id| Some((id, self.pool.get_mut(id)?))) {
            connection.start_after_synchronization(exchange);
            return Some(id);
        }
        self.send_on_new_connection(exchange, endpoint, context)
    }

    fn send_on_new_connection(
        &mut self,
        exchange: Exchange,
        endpoint: &EndpointId,
        context: &mut Context,
    ) -> Option<ConnectionId> {
        let (address, stream) = match self.connect(endpoint) {
            Ok(connected) => connected,
            Err(error) => {
                exchange.complete(endpoint, error.outcome(), Reply::default(), context);
                return None;
            }
        };
        context.counters.backend_connects += 1;
        let connection = BackendConnection::new(
            endpoint.clone(),
            address,
            stream,
            exchange,
            self.connect_timeout,
            &self.budget,
        );
        let id = self.pool.insert(connection);
        self.register(id, context);
        Some(id)
    }

    /// Starts connecting to an endpoint.
    fn connect(&mut self, endpoint: &EndpointId) -> Result<(SocketAddr, TcpStream), ConnectError> {
        let address = self.pool.address(endpoint).ok_or(ConnectError::UnknownEndpoint)?;
        if !self.pool.ensure_capacity() {
            return Err(ConnectError::TooManyConnections);
        }
        let stream = TcpStream::connect(address)?;
        Ok((address, stream))
    }

    /// Sets the timer of a new connection and registers its socket for events.
    fn register(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        context.reactor.set_timer(connection.state_deadline(), TimerEvent::Backend(id));
        if connection.register(id, &mut context.reactor).is_err() {
            // A local resource shortage is not attributed to the endpoint.
            self.handle_status(id, ExchangeStatus::Failed(Outcome::NotSent), context);
        }
    }

    /// Handles a poll event of a connection, which may be readable or writable. One that will be resumed has
    /// used up its share of this turn.
    pub fn ready(&mut self, id: ConnectionId, context: &mut Context) {
        if self.pool.get_mut(id).is_some_and(|connection| !connection.is_cycle_scheduled()) {
            self.run_cycle(id, context);
        }
    }

    /// Resumes a connection that had more input than its share of an earlier turn.
    pub fn resume(&mut self, id: ConnectionId, context: &mut Context) {
        if self.pool.get_mut(id).is_some_and(BackendConnection::take_scheduled_cycle) {
            self.run_cycle(id, context);
        }
    }

    /// Runs a cycle of a connection.
    fn run_cycle(&mut self, id: ConnectionId, context: &mut Context) {
        let now = context.reactor.now();
        let Some(connection) = self.pool.get_mut(id) else { return };
        let previous_deadline = connection.state_deadline();
        let status = connection.run_cycle(now);
        if connection.state_deadline() != previous_deadline {
            context.reactor.set_timer(connection.state_deadline(), TimerEvent::Backend(id));
        }
        self.handle_status(id, status, context);
    }

    /// Handles an expired timer of a connection.
    pub fn timer_expired(&mut self, id: ConnectionId, context: &mut Context) {
        let now = context.reactor.now();
        // Timers are not cancelled: this one may belong to an earlier state of the connection.
        if !self.is_expired(id, now) {
            return;
        }
        // Data already received still counts, even if its poll event is not handled yet.
        self.run_cycle(id, context);
        if !self.is_expired(id, now) {
            return;
        }
        let Some(connection) = self.pool.get_mut(id) else { return };
        let status = connection.expire(now);
        self.handle_status(id, status, context);
    }

    /// Returns `true` if the connection exists and the deadline of its state has passed.
    fn is_expired(&mut self, id: ConnectionId, now: Instant) -> bool {
        self.pool.get_mut(id).is_some_and(|connection| connection.state_deadline() <= now)
    }

    /// Cancels the task on a connection by closing the connection, as after a failure. The endpoint gets no
    /// other notice, such as a CancelRequest.
    pub fn cancel(&mut self, id: ConnectionId, context: &mut Context) {
        self.handle_status(id, ExchangeStatus::Failed(Outcome::Cancelled), context);
    }

    /// Cancels the task on a connection if its query is not completely written.
    pub fn cancel_unsent(&mut self, id: ConnectionId, context: &mut Context) {
        if self.pool.get_mut(id).is_some_and(|connection| connection.has_unsent_query()) {
            self.cancel(id, context);
        }
    }

    fn handle_status(&mut self, id: ConnectionId, status: ExchangeStatus, context: &mut Context) {
        match status {
            ExchangeStatus::Pending => {
                if let Some(connection) = self.pool.get_mut(id) {
                    connection.schedule_cycle_if_needed(id, &mut context.reactor);
                }
            }
            ExchangeStatus::Ready => self.report_ready(id, context),
            ExchangeStatus::Done => self.finish_exchange(id, context),
            ExchangeStatus::Synchronized => self.release(id, context),
            ExchangeStatus::NotSynchronized(outcome) => {
                self.handle_failed_synchronization(id, outcome, context);
            }
            ExchangeStatus::Failed(outcome) => self.close(id, outcome, context),
            ExchangeStatus::Malformed(outcome) => {
                self.count_malformed(id, context);
                self.close(id, outcome, context);
            }
        }
    }

    /// Asks the pooler whether the query of an attempt may be sent.
    fn report_ready(&mut self, id: ConnectionId, context: &mut Context) {
        let attempt = self.pool.get_mut(id).and_then(|connection| connection.prepared_attempt().cloned());
        if let Some(attempt) = attempt {
            context.events.push_back(Event::AttemptReady { connection: id, attempt });
        }
    }

    /// Sends the query of an attempt that was reported as ready.
    pub fn send_prepared_query(&mut self, id: ConnectionId, context: &mut Context) {
        let now = context.reactor.now();
        let Some(connection) = self.pool.get_mut(id) else { return };
        let status = connection.send_prepared_query(now);
        context.reactor.set_timer(connection.state_deadline(), TimerEvent::Backend(id));
        self.handle_status(id, status, context);
    }

    /// Ends an attempt that was reported as ready as [`NotSent`](Outcome::NotSent), and keeps its connection.
    pub fn withdraw_prepared_query(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        if connection.prepared_attempt().is_none() {
            return;
        }
        let Some((exchange, reply)) = connection.take_exchange() else { return };
        let endpoint = connection.endpoint().clone();
        exchange.complete(&endpoint, Outcome::NotSent, reply, context);
        self.release(id, context);
    }

    /// Counts malformed data, received either during an exchange or on a connection without one.
    fn count_malformed(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        if connection.is_unused() {
            context.counters.unsolicited_messages += 1;
        } else {
            context.counters.malformed_answers += 1;
        }
    }

    /// Closes a connection and reports the completion of its exchange, if any.
    fn close(&mut self, id: ConnectionId, outcome: Outcome, context: &mut Context) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        let reason = if connection.is_idle() {
            CloseReason::IdleEnded(outcome)
        } else if connection.is_unused() {
            CloseReason::NotSynchronized(outcome)
        } else {
            CloseReason::ExchangeEnded(outcome)
        };
        let Some(mut connection) = self.pool.remove(id, reason) else { return };
        if let Some((exchange, reply)) = connection.take_exchange() {
            exchange.complete(connection.endpoint(), outcome, reply, context);
        }
    }
}

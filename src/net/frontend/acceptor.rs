//! Accepts client connections up to the connection limit.

use std::io::{self, ErrorKind};
use std::ops::ControlFlow;

use mio::net::{TcpListener, TcpStream};
use mio::Interest;

use super::connection::Connection;
use super::log_limiter::LogLimiter;
use super::Frontend;
use crate::net::postgres::CancelKey;
use crate::net::reactor::{ConnectionId, EventSource, TimerEvent};
use crate::net::Context;

/// Delay before accepting again after the system had no descriptor or memory for a connection (seconds).
const ACCEPT_RETRY_DELAY: f64 = 0.1;

/// The listening socket and what keeps it from accepting.
pub(super) struct Acceptor {
    /// None once it is closed for the shutdown.
    listener: Option<TcpListener>,
    /// Whether to close the listener as soon as no connection waits in its queue.
    is_closing: bool,
    /// Whether connections wait in the listener's queue until there is room.
    connections_wait: bool,
    log_limiter: LogLimiter,
}

impl Acceptor {
    /// Registers the listener with the reactor.
    pub(super) fn new(mut listener: TcpListener, context: &mut Context) -> io::Result<Acceptor> {
        context.reactor.register(&mut listener, EventSource::Listener, Interest::READABLE)?;
        Ok(Acceptor {
            listener: Some(listener),
            is_closing: false,
            connections_wait: false,
            log_limiter: LogLimiter::default(),
        })
    }

    /// Has the listening socket closed once all connections that wait in its queue are accepted. Closing it
    /// earlier would reset them, with the queries that their clients may have sent.
    pub(super) fn start_closing(&mut self) {
        self.is_closing = true;
    }

    /// Returns whether connections are still accepted.
    pub(super) fn is_open(&self) -> bool {
        self.listener.is_some()
    }

    /// Handles that no connection waits in the queue.
    fn on_queue_empty(&mut self) {
        if self.is_closing {
            self.listener = None;
        }
    }
}

/// Where a new connection can be placed.
pub(super) enum Room {
    /// The connection limit is not reached.
    Available,
    /// The limit is reached, but this connection can be closed in favour of a new one.
    Replace(ConnectionId),
    /// The limit is reached and all connections are busy.
    Full,
}

impl Frontend {
    /// Accepts all connections that wait, as far as there is room.
    pub fn accept(&mut self, context: &mut Context) {
        while self.acceptor.is_open() {
            if self.accept_next(context).is_break() {
                return;
            }
        }
    }

    /// Accepts again if connections were left waiting. The listener is edge-triggered and does not announce
    /// them a second time.
    pub(super) fn resume_accepting(&mut self, context: &mut Context) {
        if self.acceptor.connections_wait {
            self.acceptor.connections_wait = false;
            self.accept(context);
        }
    }

    /// Accepts one connection. Breaks when no more can be accepted for now.
    fn accept_next(&mut self, context: &mut Context) -> ControlFlow<()> {
        let now = context.reactor.now();
        let replaced = match self.find_room() {
            Room::Available => None,
            Room::Replace(id) => {
                // Input that has arrived by now makes the connection busy.
                self.ready(id, context);
                if !self.is_replaceable(id) {
                    return ControlFlow::Continue(());
                }
                Some(id)
            }
            Room::Full => {
                self.acceptor.connections_wait = true;
                self.warn_all_busy(now);
                return ControlFlow::Break(());
            }
        };
        let Some(listener) = &self.acceptor.listener else { return ControlFlow::Break(()) };
        match listener.accept() {
            Ok((stream, _)) => {
                if let Some(id) = replaced {
                    self.connections.remove(id);
                }
                self.add_connection(stream, context);
                ControlFlow::Continue(())
            }
            Err(error) => self.handle_accept_error(&error, now, context),
        }
    }

    fn handle_accept_error(&mut self, error: &io::Error, now: f64, context: &mut Context) -> ControlFlow<()> {
        match error.kind() {
            ErrorKind::WouldBlock => {
                self.acceptor.on_queue_empty();
                ControlFlow::Break(())
            }
            // An aborted connection was closed by its client while it was still in the queue.
            ErrorKind::ConnectionAborted | ErrorKind::Interrupted => ControlFlow::Continue(()),
            _ => {
                // There is no descriptor or no memory: the connection stays in the queue.
                context.reactor.set_timer(now + ACCEPT_RETRY_DELAY, TimerEvent::RetryAccept);
                if self.acceptor.log_limiter.permits(now) {
                    tracing::warn!(%error, "cannot accept a connection");
                }
                ControlFlow::Break(())
            }
        }
    }

    /// Looks for room for one connection. One whose last response is not written yet stays. An idle
    /// connection is closed only once a new one is there, so the new one uses a spare descriptor for a
    /// moment.
    pub(super) fn find_room(&self) -> Room {
        if self.connections.len() < self.max_connections {
            return Room::Available;
        }
        let closing = self.least_recently_active(|connection| connection.state.is_write_shut_down());
        let replaced = closing.or_else(|| self.least_recently_active(Connection::is_idle));
        replaced.map_or(Room::Full, Room::Replace)
    }

    fn is_replaceable(&mut self, id: ConnectionId) -> bool {
        self.connections
            .get_mut(id)
            .is_some_and(|connection| connection.state.is_write_shut_down() || connection.is_idle())
    }

    fn warn_all_busy(&mut self, now: f64) {
        if self.acceptor.log_limiter.permits(now) {
            let clients = self.connections.len();
            tracing::warn!(clients, "all client connections are busy: new connections wait");
        }
    }

    fn add_connection(&mut self, stream: TcpStream, context: &mut Context) {
        let _ = stream.set_nodelay(true);
        let cancel_key = CancelKey { process_id: self.rng.u32(..), secret: self.rng.u32(..) };
        let now = context.reactor.now();
        let connection = Connection::new(stream, cancel_key, &self.budget, self.response_timeout, now);
        let id = self.connections.insert(connection);
        context.counters.clients_accepted += 1;
        self.ready(id, context);
    }
}

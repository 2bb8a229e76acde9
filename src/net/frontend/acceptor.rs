//! The listening socket, which accepts connections until it is closed for the shutdown.

use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

use mio::net::{TcpListener, TcpStream};
use mio::Interest;

use super::log_limiter::LogLimiter;
use crate::net::reactor::{EventSource, Reactor, Resumption, TimerEvent};

/// Delay before accepting again after the system lacked a file descriptor or memory for a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The result of accepting one connection.
pub(super) enum AcceptStatus {
    /// A connection was accepted.
    Accepted(TcpStream),
    /// A connection was closed by its client before it was accepted. There may be more.
    Aborted,
    /// No connection can be accepted at present.
    Blocked,
}

/// The listening socket and the state of its accept queue.
pub(super) struct Acceptor {
    /// `None` once it is closed for the shutdown.
    listener: Option<TcpListener>,
    /// Whether to close the listener once its accept queue is empty.
    is_closing: bool,
    /// Whether connections may be waiting in the accept queue until the connection limit allows them.
    has_backlog: bool,
    resumption: Resumption,
    /// Shared by both warnings of the acceptor, so each of them suppresses the other.
    log_limiter: LogLimiter,
}

impl Acceptor {
    /// Registers the listener with the reactor. Fails if the system lacks the memory for it.
    pub(super) fn new(mut listener: TcpListener, reactor: &mut Reactor) -> io::Result<Acceptor> {
        reactor.register(&mut listener, EventSource::Listener, Interest::READABLE)?;
        Ok(Acceptor {
            listener: Some(listener),
            is_closing: false,
            has_backlog: false,
            resumption: Resumption::default(),
            log_limiter: LogLimiter::default(),
        })
    }

    /// Closes the listening socket once all connections in its accept queue are accepted. Closing it earlier
    /// would reset them, and queries that their clients may already have sent would be lost.
    pub(super) fn close_once_queue_is_empty(&mut self) {
        self.is_closing = true;
    }

    /// Returns `true` if connections are still accepted.
    pub(super) fn is_open(&self) -> bool {
        self.listener.is_some()
    }

    /// Records that connections are left in the accept queue until one of the `clients` connected now is
    /// removed. The listener is edge-triggered and does not announce them a second time.
    pub(super) fn pause_accepting(&mut self, clients: usize, now: Instant) {
        self.has_backlog = true;
        if self.log_limiter.should_log(now) {
            tracing::warn!(clients, "all client connections are busy: new connections wait");
        }
    }

    /// Returns `true` if connections were left in the accept queue since the last call.
    pub(super) fn take_backlog(&mut self) -> bool {
        std::mem::take(&mut self.has_backlog)
    }

    /// Lets the reactor resume the listener, to accept more connections after other sources had their turn.
    pub(super) fn schedule(&mut self, reactor: &mut Reactor) {
        self.resumption.schedule(EventSource::Listener, reactor);
    }

    /// Records that the reactor resumes the listener.
    pub(super) fn take_resumption(&mut self) -> bool {
        self.resumption.take()
    }

    /// Accepts the next connection in the accept queue. If the system lacks memory or a file descriptor for
    /// it, sets a timer to retry.
    pub(super) fn accept(&mut self, now: Instant, reactor: &mut Reactor) -> AcceptStatus {
        let Some(listener) = &self.listener else { return AcceptStatus::Blocked };
        match listener.accept() {
            Ok((stream, _)) => AcceptStatus::Accepted(stream),
            Err(error) => self.handle_error(&error, now, reactor),
        }
    }

    fn handle_error(&mut self, error: &io::Error, now: Instant, reactor: &mut Reactor) -> AcceptStatus {
        match error.kind() {
            ErrorKind::WouldBlock => {
                if self.is_closing {
                    self.listener = None;
                }
                AcceptStatus::Blocked
            }
            ErrorKind::ConnectionAborted | ErrorKind::Interrupted => AcceptStatus::Aborted,
            _ => {
                // The system lacks a file descriptor or memory: the connection stays in the accept queue.
                reactor.set_timer(now + ACCEPT_RETRY_DELAY, TimerEvent::RetryAccept);
                if self.log_limiter.should_log(now) {
                    tracing::warn!(%error, "cannot accept a connection");
                }
                AcceptStatus::Blocked
            }
        }
    }
}

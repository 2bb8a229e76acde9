//! Accepts connections up to the connection limit. At the limit, each replaces a half-closed or idle one.

use std::ops::ControlFlow;

use mio::net::TcpStream;

use super::acceptor::AcceptStatus;
use super::connection::ClientConnection;
use super::connections::Capacity;
use super::error::MustClose;
use super::Frontend;
use crate::net::{CancelKey, Context};

/// Maximum number of connections that are accepted in one turn of the event loop. Prevents clients that
/// connect continuously from blocking it.
const MAX_ACCEPTED_PER_TURN: usize = 16;
/// Maximum number of connections that are accepted at once before the listener is closed. The system limits
/// its accept queue to this length by default.
const MAX_ACCEPT_QUEUE: usize = 4096;

impl Frontend {
    /// Accepts connections until the accept queue is empty, no more can be accepted for now, or
    /// [`MAX_ACCEPTED_PER_TURN`] are accepted. In the last case, the reactor resumes the listener.
    pub fn accept(&mut self, context: &mut Context) {
        self.accept_up_to(MAX_ACCEPTED_PER_TURN, context);
    }

    /// Accepts connections that were left for a later turn.
    pub fn resume_accepting(&mut self, context: &mut Context) {
        if self.acceptor.take_resumption() {
            self.accept(context);
        }
    }

    /// Closes the listener once the connections in its accept queue are accepted: immediately, unless the
    /// connection limit is reached. Queries are still served until [`start_draining`](Self::start_draining).
    pub fn stop_accepting(&mut self, context: &mut Context) {
        self.acceptor.close_once_queue_is_empty();
        self.accept_up_to(MAX_ACCEPT_QUEUE, context);
    }

    /// Accepts connections that were left in the accept queue because of the connection limit.
    pub(super) fn accept_waiting(&mut self, context: &mut Context) {
        if self.acceptor.take_backlog() {
            self.accept(context);
        }
    }

    fn accept_up_to(&mut self, limit: usize, context: &mut Context) {
        for _ in 0..limit {
            if !self.acceptor.is_open() || self.accept_next(context).is_break() {
                return;
            }
        }
        self.acceptor.schedule(&mut context.reactor);
    }

    /// Accepts one connection. Breaks if no more can be accepted for now.
    fn accept_next(&mut self, context: &mut Context) -> ControlFlow<()> {
        let now = context.reactor.now();
        let evicted = match self.connections.capacity() {
            Capacity::Available => None,
            Capacity::Evict(id) => {
                // The socket may already hold new input, which makes the connection busy.
                self.run_cycle(id, context);
                if !self.connections.is_evictable(id) {
                    return ControlFlow::Continue(());
                }
                Some(id)
            }
            Capacity::Exhausted => {
                self.acceptor.pause_accepting(self.connections.len(), now);
                return ControlFlow::Break(());
            }
        };
        match self.acceptor.accept(now, &mut context.reactor) {
            AcceptStatus::Accepted(stream) => {
                // The old connection is closed only after the new one is accepted, which briefly takes a
                // reserved file descriptor.
                if let Some(id) = evicted {
                    self.connections.remove(id, MustClose::Replaced);
                }
                self.add_connection(stream, context);
                ControlFlow::Continue(())
            }
            AcceptStatus::Aborted => ControlFlow::Continue(()),
            AcceptStatus::Blocked => ControlFlow::Break(()),
        }
    }

    fn add_connection(&mut self, stream: TcpStream, context: &mut Context) {
        let _ = stream.set_nodelay(true);
        let cancel_key = CancelKey { process_id: self.rng.u32(..), secret: self.rng.u32(..) };
        let now = context.reactor.now();
        let connection =
            ClientConnection::new(stream, cancel_key, &self.budget, self.client_read_timeout, now);
        let id = self.connections.insert(connection);
        context.counters.clients_accepted += 1;
        self.run_cycle(id, context);
    }
}

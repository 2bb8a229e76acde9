//! What happens to a connection after a reply: it is synchronized and returned to the pool, or closed.

use mio::net::TcpStream;

use super::close_reason::CloseReason;
use super::connect_error::ConnectError;
use super::Backend;
use crate::interface::Outcome;
use crate::net::reactor::{ConnectionId, TimerEvent};
use crate::net::Context;

impl Backend {
    /// Reports the completion of an exchange, and synchronizes its connection for the next one.
    pub(super) fn finish_exchange(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        let Some((exchange, reply)) = connection.finish_exchange() else { return };
        if connection.has_unread_input() {
            context.counters.unsolicited_messages += 1;
        }
        let endpoint = connection.endpoint().clone();
        // A reply without a complete result set is invalid, but the request may have been executed.
        let outcome = reply.outcome().unwrap_or(Outcome::Error);
        exchange.complete(&endpoint, outcome, reply, context);
        self.synchronize(id, context);
    }

    /// Starts to synchronize a connection without an exchange, or closes it if it may not be reused.
    fn synchronize(&mut self, id: ConnectionId, context: &mut Context) {
        if !self.pool.is_reusable(id) {
            self.pool.remove(id, CloseReason::NotNeeded);
            return;
        }
        let Some(connection) = self.pool.get_mut(id) else { return };
        let status = connection.start_synchronizing(context.reactor.now());
        context.reactor.set_timer(connection.state_deadline(), TimerEvent::Backend(id));
        self.handle_status(id, status, context);
    }

    /// Closes a connection that could not be synchronized, or replaces its socket if an exchange waits for
    /// it.
    pub(super) fn handle_failed_synchronization(
        &mut self,
        id: ConnectionId,
        outcome: Outcome,
        context: &mut Context,
    ) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        if outcome == Outcome::Error {
            context.counters.unsolicited_messages += 1;
        }
        if connection.is_unused() {
            self.pool.remove(id, CloseReason::NotSynchronized(outcome));
        } else {
            self.reconnect(id, CloseReason::NotSynchronized(outcome), context);
        }
    }

    /// Replaces the socket of a connection whose exchange is not sent.
    fn reconnect(&mut self, id: ConnectionId, reason: CloseReason, context: &mut Context) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        let endpoint = connection.endpoint().clone();
        tracing::info!(%endpoint, connection = %id, %reason, "endpoint connection replaced");
        let address = self.pool.address(&endpoint).ok_or(ConnectError::UnknownEndpoint);
        let connected = address.and_then(|address| Ok((address, TcpStream::connect(address)?)));
        match connected {
            Ok((address, stream)) => {
                context.counters.backend_connects += 1;
                if let Some(connection) = self.pool.get_mut(id) {
                    connection.reconnect(address, stream);
                }
                self.register(id, context);
            }
            Err(error) => self.close(id, error.outcome(), context),
        }
    }

    /// Returns a synchronized connection to the pool.
    pub(super) fn release(&mut self, id: ConnectionId, context: &mut Context) {
        let idle_deadline = context.reactor.now() + self.idle_timeout;
        self.pool.release(id, idle_deadline);
        context.reactor.set_timer(idle_deadline, TimerEvent::Backend(id));
    }
}

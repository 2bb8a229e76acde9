//! Limits the time that a client may take for what it has to do next: to send its first query, to complete a
//! message, to read its responses, or to read the last message before the connection is closed.

use super::connection::{Connection, ConnectionClosed, State};
use crate::net::postgres::sqlstate;
use crate::net::reactor::{ConnectionId, TimerEvent};
use crate::net::Context;

/// Time that a client may take to send its first query, to complete a message and to read its responses
/// (seconds). Keeps clients that do none of these from using up the connection limit.
const CLIENT_TIMEOUT: f64 = 2.0;
/// Time that a client may take to read the last message before its connection is closed (seconds).
const CLOSE_LINGER: f64 = 1.0;

/// The time by which a client must have acted, if anything is due from it.
#[derive(Default)]
pub(super) struct ClientDeadline {
    expires_at: Option<f64>,
}

impl ClientDeadline {
    /// Removes the deadline.
    pub(super) fn clear(&mut self) {
        self.expires_at = None;
    }

    /// Returns whether the deadline has passed.
    pub(super) fn has_expired(&self, now: f64) -> bool {
        self.expires_at.is_some_and(|expires_at| now >= expires_at)
    }

    fn is_set(&self) -> bool {
        self.expires_at.is_some()
    }

    /// Sets the deadline, and a timer for it.
    fn set(&mut self, expires_at: f64, id: ConnectionId, context: &mut Context) {
        self.expires_at = Some(expires_at);
        context.reactor.set_timer(expires_at, TimerEvent::Client(id));
    }
}

impl Connection {
    /// Sets a deadline if something has become due from the client, and clears it if nothing is due any more.
    pub(super) fn update_deadline(&mut self, id: ConnectionId, context: &mut Context) {
        if !self.is_client_action_due() {
            self.deadline.clear();
        } else if !self.deadline.is_set() {
            let now = context.reactor.now();
            self.deadline.set(now + CLIENT_TIMEOUT, id, context);
        }
    }

    /// Starts to close the connection. The client has [`CLOSE_LINGER`] to read what it has been sent.
    pub(super) fn start_closing(&mut self, id: ConnectionId, context: &mut Context) {
        let now = context.reactor.now();
        self.state = State::Closing { write_shut_down: false };
        self.deadline.set(now + CLOSE_LINGER, id, context);
    }

    /// Closes the connection of a client that has not acted in time. An incomplete message is answered with
    /// an error. A client that has sent nothing gets none, since an error could be taken for the response to
    /// a query that it is just sending.
    pub(super) fn handle_missed_deadline(
        &mut self,
        id: ConnectionId,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        if self.state.is_closing() {
            return Err(ConnectionClosed);
        }
        context.counters.client_timeouts += 1;
        if !self.output.is_empty() {
            return Err(ConnectionClosed);
        }
        if !self.input.is_empty() {
            let message = "message not completed in time";
            return self.send_fatal_error(id, sqlstate::PROTOCOL_VIOLATION, message, context);
        }
        self.start_closing(id, context);
        Ok(())
    }

    /// Returns whether the client has to send or to read something.
    fn is_client_action_due(&self) -> bool {
        match self.state {
            State::Startup | State::Closing { .. } => true,
            State::Idle | State::SkippingToSync => {
                !self.has_queried || !self.input.is_empty() || !self.output.is_empty()
            }
            State::Busy | State::AwaitingEndpoints => false,
        }
    }
}

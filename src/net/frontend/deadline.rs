//! Limits the time that a client may take for what it has to do next: to send its first query, to complete a
//! message, to read its responses, or to read the last message before the connection is closed.

use std::time::{Duration, Instant};

use super::connection::{Connection, ConnectionClosed};
use super::protocol_state::Phase;
use crate::net::postgres::sqlstate;
use crate::net::reactor::{ConnectionId, TimerEvent};
use crate::net::Context;

/// Time that a client may take to send its first query and to complete a message. Keeps clients that do
/// neither from using up the connection limit.
const CLIENT_SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a client may take to read its responses beyond the longest deadline of any request.
/// After that no client waits for them.
const READ_MARGIN: Duration = Duration::from_millis(500);
/// Time that a connection stays open after its last message was written.
const CLOSE_LINGER: Duration = Duration::from_secs(1);

/// The time that clients may take to read their responses, where no request has a longer deadline than this.
pub(super) fn response_timeout(longest_deadline: Duration) -> Duration {
    longest_deadline.max(CLIENT_SEND_TIMEOUT) + READ_MARGIN
}

/// What a client has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DueAction {
    /// To send its first query or the rest of a message.
    Send,
    /// To read its responses.
    Read,
    /// To close the connection, of which the pooler has closed its side.
    Close,
}

/// The time by which a client must have acted, if anything is due from it.
#[derive(Default)]
pub(super) struct ClientDeadline {
    due: Option<(DueAction, Instant)>,
}

impl ClientDeadline {
    /// Removes the deadline.
    pub(super) fn clear(&mut self) {
        self.due = None;
    }

    /// Returns whether the deadline has passed.
    pub(super) fn has_expired(&self, now: Instant) -> bool {
        self.due.is_some_and(|(_, expires_at)| now >= expires_at)
    }

    fn is_set_for(&self, action: DueAction) -> bool {
        self.due.is_some_and(|(due, _)| due == action)
    }

    /// Sets the deadline, and a timer for it.
    fn set(&mut self, action: DueAction, expires_at: Instant, id: ConnectionId, context: &mut Context) {
        self.due = Some((action, expires_at));
        context.reactor.set_timer(expires_at, TimerEvent::Client(id));
    }
}

impl Connection {
    /// Sets a deadline if something has become due from the client, and clears it if nothing is due any more.
    pub(super) fn update_deadline(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(action) = self.due_action() else { return self.deadline.clear() };
        if self.deadline.is_set_for(action) {
            return;
        }
        let timeout = match action {
            DueAction::Send => CLIENT_SEND_TIMEOUT,
            DueAction::Read => self.response_timeout,
            DueAction::Close => CLOSE_LINGER,
        };
        let expires_at = context.reactor.now() + timeout;
        self.deadline.set(action, expires_at, id, context);
    }

    /// Starts to close the connection. The client has time to read what it has been sent.
    pub(super) fn start_closing(&mut self, id: ConnectionId, context: &mut Context) {
        self.state.start_closing();
        self.update_deadline(id, context);
    }

    /// Closes the connection of a client that has not acted in time. An incomplete message is answered with
    /// an error. A client that has sent nothing gets none, since an error could be taken for the response to
    /// a query that it is just sending.
    pub(super) fn handle_missed_deadline(
        &mut self,
        id: ConnectionId,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        if self.state.phase().is_closing() {
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

    /// Returns what the client has to do next, if anything.
    fn due_action(&self) -> Option<DueAction> {
        let has_unread_output = !self.output.is_empty();
        match self.state.phase() {
            Phase::Busy | Phase::AwaitingEndpoints => None,
            Phase::HalfClosed => Some(DueAction::Close),
            Phase::Closing => Some(DueAction::Read),
            Phase::Startup | Phase::Idle | Phase::SkippingToSync if has_unread_output => {
                Some(DueAction::Read)
            }
            Phase::Startup => Some(DueAction::Send),
            Phase::Idle | Phase::SkippingToSync => {
                (!self.state.has_queried() || !self.input.is_empty()).then_some(DueAction::Send)
            }
        }
    }
}

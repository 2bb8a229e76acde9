//! Limits the time that a client may take for the action expected from it next.

use std::time::{Duration, Instant};

/// Time limit for a client to send its first query and to complete a message. Prevents clients that do
/// neither from using up the connection limit.
const CLIENT_SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Lower limit of the time that a client may take to read its responses, however short the deadlines of
/// requests are. [`CLIENT_READ_MARGIN`] is added to it.
const MIN_CLIENT_READ_TIME: Duration = Duration::from_secs(2);
/// Time that a client may take to read its responses beyond the longest deadline of any request. After that,
/// no client waits for them any more.
const CLIENT_READ_MARGIN: Duration = Duration::from_millis(500);
/// Time that a half-closed connection stays open after its last message was written.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the time limit for clients to read their responses. `longest_deadline` is the longest deadline of
/// any request.
pub(super) fn client_read_timeout(longest_deadline: Duration) -> Duration {
    longest_deadline.max(MIN_CLIENT_READ_TIME) + CLIENT_READ_MARGIN
}

/// The action expected from a client next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpectedAction {
    /// Send its first query or the rest of a message.
    Send,
    /// Read its responses.
    Read,
    /// Close the connection, after the pooler has closed its side.
    Close,
}

/// An action expected from a client, and when its deadline expires.
#[derive(Clone, Copy, Debug)]
struct ActionDeadline {
    action: ExpectedAction,
    expires_at: Instant,
}

/// The deadline of the action expected from a client, if any.
#[derive(Debug)]
pub(super) struct ClientDeadline {
    current: Option<ActionDeadline>,
    /// When the timer expires that is set for it or for an earlier one. Timers cannot be cancelled.
    timer_at: Option<Instant>,
    client_read_timeout: Duration,
}

impl ClientDeadline {
    /// Creates the deadline of a client from which no action is expected. `client_read_timeout` is the time
    /// limit for reading its responses.
    pub(super) fn new(client_read_timeout: Duration) -> ClientDeadline {
        ClientDeadline { current: None, timer_at: None, client_read_timeout }
    }

    /// Removes the deadline.
    pub(super) fn clear(&mut self) {
        self.current = None;
    }

    /// Returns `true` if the deadline has passed.
    pub(super) fn has_expired(&self, now: Instant) -> bool {
        self.current.is_some_and(|current| now >= current.expires_at)
    }

    /// Sets a new deadline, counted from `now`, if `action` differs from the current one, and removes the
    /// deadline if no action is expected any more. Returns when a timer must expire that the caller must set.
    pub(super) fn update(&mut self, action: Option<ExpectedAction>, now: Instant) -> Option<Instant> {
        if action == self.current.map(|current| current.action) {
            return None;
        }
        self.current = action.map(|action| ActionDeadline { action, expires_at: now + self.timeout(action) });
        self.next_timer()
    }

    /// Records that a timer has expired. Returns when the next one must expire that the caller must set, if the
    /// deadline has moved since; `None` if it has passed.
    pub(super) fn timer_expired(&mut self, now: Instant) -> Option<Instant> {
        if self.timer_at.is_some_and(|at| at <= now) {
            self.timer_at = None;
        }
        if self.has_expired(now) {
            return None;
        }
        self.next_timer()
    }

    fn next_timer(&mut self) -> Option<Instant> {
        let expires_at = self.current?.expires_at;
        if self.timer_at.is_some_and(|at| at <= expires_at) {
            return None;
        }
        self.timer_at = Some(expires_at);
        self.timer_at
    }

    fn timeout(&self, action: ExpectedAction) -> Duration {
        match action {
            ExpectedAction::Send => CLIENT_SEND_TIMEOUT,
            ExpectedAction::Read => self.client_read_timeout,
            ExpectedAction::Close => LINGER_TIMEOUT,
        }
    }
}

#[cfg(test)]
mod tests;

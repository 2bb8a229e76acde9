//! Limits the time that a client may take for what it has to do next.

use std::time::{Duration, Instant};

/// Time that a client may take to send its first query and to complete a message. Keeps clients that do
/// neither from using up the connection limit.
const CLIENT_SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a client may take to read its responses however short the deadlines of requests are, to which
/// [`READ_MARGIN`] is added.
const MIN_READ_TIME: Duration = Duration::from_secs(2);
/// Time that a client may take to read its responses beyond the longest deadline of any request.
/// After that no client waits for them.
const READ_MARGIN: Duration = Duration::from_millis(500);
/// Time that a connection stays open after its last message was written.
const CLOSE_LINGER: Duration = Duration::from_secs(1);

/// The time that clients may take to read their responses, where no request has a longer deadline than this.
pub(super) fn response_timeout(longest_deadline: Duration) -> Duration {
    longest_deadline.max(MIN_READ_TIME) + READ_MARGIN
}

/// What a client has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DueAction {
    /// To send its first query or the rest of a message.
    Send,
    /// To read its responses.
    Read,
    /// To close the connection, of which the pooler has closed its side.
    Close,
}

/// What is due from a client, and until when.
#[derive(Clone, Copy, Debug)]
struct Due {
    action: DueAction,
    expires_at: Instant,
}

/// The time by which a client must have acted, if anything is due from it.
#[derive(Debug)]
pub(super) struct ClientDeadline {
    due: Option<Due>,
    response_timeout: Duration,
}

impl ClientDeadline {
    /// Creates the deadline of a client from which nothing is due. It may take `response_timeout` to read its
    /// responses.
    pub(super) fn new(response_timeout: Duration) -> ClientDeadline {
        ClientDeadline { due: None, response_timeout }
    }

    /// Removes the deadline.
    pub(super) fn clear(&mut self) {
        self.due = None;
    }

    /// Returns whether the deadline has passed.
    pub(super) fn has_expired(&self, now: Instant) -> bool {
        self.due.is_some_and(|due| now >= due.expires_at)
    }

    /// Sets a deadline if `action` has become due at `now`, and removes it if nothing is due any more.
    /// Returns when a new deadline expires, for which a timer has to be set.
    pub(super) fn update(&mut self, action: Option<DueAction>, now: Instant) -> Option<Instant> {
        if action == self.due.map(|due| due.action) {
            return None;
        }
        self.due = action.map(|action| Due { action, expires_at: now + self.timeout(action) });
        self.due.map(|due| due.expires_at)
    }

    fn timeout(&self, action: DueAction) -> Duration {
        match action {
            DueAction::Send => CLIENT_SEND_TIMEOUT,
            DueAction::Read => self.response_timeout,
            DueAction::Close => CLOSE_LINGER,
        }
    }
}

#[cfg(test)]
mod tests;

//! Timers in the order in which they expire.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

use super::connection_table::ConnectionId;

/// What a timer was set for. Timers cannot be cancelled: their receiver checks whether they still apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerEvent {
    /// A timer of the policy, with the cookie by which the policy knows it.
    Policy(u64),
    /// Accepting clients is tried again after an error.
    RetryAccept,
    /// Connections of idle clients are looked for.
    IdleSweep,
    /// A client connection has missed its deadline, is to run its next cycle (input is left that no event
    /// announces), or is to be registered again after the system lacked memory for that.
    Client(ConnectionId),
    /// A deadline of a connection to an endpoint.
    Backend(ConnectionId),
    /// A deadline of a connection to the discovery service.
    Discovery(ConnectionId),
    /// The grace period of the shutdown is over.
    GracePeriodOver,
    /// The kill is near: blocking requests, which have unread input behind them, are ended. Repeats until
    /// the process ends.
    EndBlockingRequests,
    /// Reading the configuration is tried again after an error.
    RetryReload,
}

/// A timer in the queue. Timers are ordered by time, and at the same time by the order in which they were
/// set.
struct Timer {
    expires_at: Instant,
    sequence: u64,
    event: TimerEvent,
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = self.expires_at.cmp(&other.expires_at);
        by_time.then(self.sequence.cmp(&other.sequence))
    }
}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Timer {}

/// The timers that have not expired.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<Timer>>,
    /// The number of timers set since the start.
    timers_set: u64,
}

impl TimerQueue {
    /// Adds a timer that expires at `expires_at`.
    pub fn push(&mut self, expires_at: Instant, event: TimerEvent) {
        self.timers_set += 1;
        self.timers.push(Reverse(Timer { expires_at, sequence: self.timers_set, event }));
    }

    /// Returns when the next timer expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        let Reverse(next) = self.timers.peek()?;
        Some(next.expires_at)
    }

    /// Removes the next timer that has expired at `now`.
    pub fn pop_expired(&mut self, now: Instant) -> Option<TimerEvent> {
        if self.next_expiry()? > now {
            return None;
        }
        let Reverse(timer) = self.timers.pop()?;
        Some(timer.event)
    }
}

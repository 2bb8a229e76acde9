//! Timer queue, ordered by expiry time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

use super::connection_table::ConnectionId;

/// The purpose of a timer. Timers cannot be cancelled; the receiver checks whether the event still applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerEvent {
    /// Timer set by the policy, identified by its cookie.
    Policy(u64),
    /// Retry accepting clients after an error.
    RetryAccept,
    /// Close idle client connections.
    IdleSweep,
    /// A client connection has reached its deadline, or must be registered again after the system was out of
    /// memory.
    Client(ConnectionId),
    /// Deadline of a connection to an endpoint.
    Backend(ConnectionId),
    /// Deadline of a connection to the discovery service.
    Discovery(ConnectionId),
    /// The grace period of the shutdown is over.
    GracePeriodOver,
    /// The kill is near: end blocking requests, which have unread input behind them. Repeats until the
    /// process exits.
    EndBlockingRequests,
    /// Retry the configuration reload after an error.
    RetryReload,
}

/// A pending timer. Ordered by expiry time; timers that expire at the same time, by the order in which they
/// were set.
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

/// Pending timers.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<Timer>>,
    /// Number of timers set since startup; the source of sequence numbers.
    timers_set: u64,
}

impl TimerQueue {
    /// Adds a timer that expires at `expires_at`.
    pub fn push(&mut self, expires_at: Instant, event: TimerEvent) {
        self.timers_set += 1;
        self.timers.push(Reverse(Timer { expires_at, sequence: self.timers_set, event }));
    }

    /// Returns the expiry time of the next timer, or `None` if no timer is pending.
    pub fn next_expiry(&self) -> Option<Instant> {
        let Reverse(next) = self.timers.peek()?;
        Some(next.expires_at)
    }

    /// Removes the timers that have expired by `now` and returns their events in order.
    pub fn take_expired(&mut self, now: Instant) -> Vec<TimerEvent> {
        std::iter::from_fn(|| self.pop_expired(now)).collect()
    }

    /// Removes the next timer and returns its event, if the timer has expired by `now`.
    pub fn pop_expired(&mut self, now: Instant) -> Option<TimerEvent> {
        if self.next_expiry()? > now {
            return None;
        }
        let Reverse(timer) = self.timers.pop()?;
        Some(timer.event)
    }
}

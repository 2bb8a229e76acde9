//! The graceful shutdown: what happens between SIGTERM and the kill.
//!
//! Instants count from the first SIGTERM or SIGINT; later ones change nothing.
//!
//! | Instant | What happens | Function |
//! | --- | --- | --- |
//! | 0 | The grace period starts. (1) | [`GracefulShutdown::start`] |
//! | [`GRACE_PERIOD`] | Draining starts. (2) | `Pooler::start_draining` |
//! | while draining | A connection is closed once all its queries are answered. | `Connection::can_close` |
//! | while draining | A query that is received now is rejected with 57P03. (3) | [`Drain::rejects`] |
//! | [`KILL_MARGIN`] before the kill | Blocking requests are ended. (4) | `Pooler::end_blocking_requests` |
//! | counted deadline (5) + [`KILL_DELAY`] | The earliest kill. | [`GracefulShutdown::earliest_kill`] |
//! | the listener and the last client connection are closed | The process ends. (6) | `Pooler::is_finished` |
//!
//! 1. Connections and queries are accepted as before, until the clients have learned of the shutdown.
//! 2. The connections in the listener's queue are accepted, then it is closed. Closing it earlier would reset
//!    them, with the queries sent on them.
//! 3. The process may be killed before the query ends. A query that was received earlier is executed.
//! 4. A blocking request has unread input of its client behind it, be it a complete query or not. It gets its
//!    final answer early, so that queries in that input are answered before the kill. Repeated every
//!    [`BLOCKING_REQUEST_INTERVAL`].
//! 5. The longest deadline of all classes, of which [`MAX_COUNTED_DEADLINE`] at most counts: a request with a
//!    longer deadline may be cut off by the kill.
//! 6. Only while draining. Attempts that no client waits for are dropped.

use std::time::{Duration, Instant};

use super::reactor::{Reactor, TimerEvent};

/// How long connections and queries are accepted as before. Clients connect for up to 0.4 s after SIGTERM; a
/// query received more than [`KILL_DELAY`] after it may be lost in the kill, since its deadline may be later.
const GRACE_PERIOD: Duration = Duration::from_millis(600);
/// Retry-After of rejected queries, as far as the settings allow it. By then another pooler accepts the
/// client's connections.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time from the longest deadline to the earliest kill.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The part of the longest deadline for which the kill waits at most.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time before the earliest kill in which no query may wait behind another.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which blocking requests are searched for in that time.
const BLOCKING_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// How far the shutdown has come. `Draining` starts when [`GracefulShutdown`] hands out its [`Drain`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No shutdown was requested.
    Running,
    /// A shutdown was requested. Connections and queries are still accepted.
    GracePeriod,
    /// No connection is accepted any more. Each open one is closed once its queries are answered.
    Draining,
}

/// Decides when each phase of the graceful shutdown starts. The pooler owns it and passes [`Drain`] on.
#[derive(Debug)]
pub(super) struct GracefulShutdown {
    phase: Phase,
    longest_deadline: Duration,
    /// None for no advice.
    retry_after: Option<Duration>,
}

impl GracefulShutdown {
    /// Creates the state before a shutdown is requested. `longest_deadline` is that of all classes,
    /// `max_retry_after` the longest Retry-After that the settings allow; none without such advice.
    pub fn new(longest_deadline: Duration, max_retry_after: Option<Duration>) -> GracefulShutdown {
        let retry_after = max_retry_after.map(|longest| longest.min(RETRY_AFTER));
        GracefulShutdown { phase: Phase::Running, longest_deadline, retry_after }
    }

    /// Starts the grace period, unless a shutdown was requested before. Sets the timers of what follows.
    pub fn start(&mut self, reactor: &mut Reactor) {
        if self.phase != Phase::Running {
            return;
        }
        self.phase = Phase::GracePeriod;
        tracing::info!("graceful shutdown started");
        let now = reactor.now();
        reactor.set_timer(now + GRACE_PERIOD, TimerEvent::GracePeriodOver);
        reactor.set_timer(self.earliest_kill(now) - KILL_MARGIN, TimerEvent::EndBlockingRequests);
    }

    /// Returns when a process that was asked to end at `requested_at` may be killed.
    fn earliest_kill(&self, requested_at: Instant) -> Instant {
        requested_at + self.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY
    }

    /// Starts the phase `Draining` at `now`, and returns what holds for client connections from then on.
    pub fn start_draining(&mut self, now: Instant) -> Drain {
        self.phase = Phase::Draining;
        Drain { started_at: now, retry_after: self.retry_after }
    }

    /// Returns whether the process ends once no client is connected.
    pub fn is_draining(&self) -> bool {
        self.phase == Phase::Draining
    }

    /// Schedules the next search for blocking requests.
    pub fn schedule_blocking_request_check(&self, reactor: &mut Reactor) {
        reactor.set_timer(reactor.now() + BLOCKING_REQUEST_INTERVAL, TimerEvent::EndBlockingRequests);
    }
}

/// What the phase `Draining` means for queries: which are rejected, and with which Retry-After.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    started_at: Instant,
    /// None for no advice.
    retry_after: Option<Duration>,
}

impl Drain {
    /// Returns whether a query that was received at this instant is rejected: the process may end before the
    /// query does, and another pooler can execute it.
    pub fn rejects(&self, received_at: Instant) -> bool {
        received_at > self.started_at
    }

    /// Returns the Retry-After of rejected queries; none for no advice.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

#[cfg(test)]
mod tests;

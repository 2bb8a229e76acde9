//! The graceful shutdown: what happens between SIGTERM and the kill.
//!
//! Instants count from the first SIGTERM or SIGINT; later ones change nothing.
//!
//! | Instant | What happens | Function |
//! | --- | --- | --- |
//! | 0 | The grace period starts: connections and queries are accepted as before. (1) | [`GracefulShutdown::start`] |
//! | [`GRACE_PERIOD`] | Draining starts: the connections in the listener's queue are accepted, then it is closed. (2) | [`Frontend::start_draining`] |
//! | while draining | A connection is closed once all its queries are answered. | `Connection::can_close` |
//! | while draining | A query that is received now is rejected, with [`RETRY_AFTER`] at most. (3) | [`Drain::rejects`] |
//! | [`KILL_MARGIN`] before the earliest kill, then every [`BLOCKING_REQUEST_INTERVAL`] | Each request behind which other queries of its connection wait gets its final answer. (4) | `Pooler::end_blocking_requests` |
//! | the longest deadline, at most [`MAX_COUNTED_DEADLINE`], and [`KILL_DELAY`] | The earliest kill. | [`GracefulShutdown::earliest_kill`] |
//! | the last client connection is closed while draining | The process ends. Attempts that no client waits for are dropped. | `Pooler::is_finished` |
//!
//! 1. Clients connect and send queries until they learn of the shutdown.
//! 2. Closing the listener earlier would reset the waiting connections, with the queries sent on them.
//! 3. The process may be killed before the query ends. A query that was received earlier is executed.
//! 4. Those behind it came during the shutdown and must be answered before the kill; it came earlier and need
//!    not be.
//!
//! [`Frontend::start_draining`]: super::frontend::Frontend::start_draining

use std::time::{Duration, Instant};

use super::reactor::{Reactor, TimerEvent};

/// How long connections and queries are accepted as before. New connections arrive for up to 0.4 s; a query
/// that arrives after 0.7 s is lost if it outlives the process.
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
/// Interval at which queries that wait behind another are looked for in that time.
const BLOCKING_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No shutdown was requested.
    Running,
    /// A shutdown was requested. Connections and queries are still accepted.
    GracePeriod,
    /// No connection is accepted any more. Each open one is closed once its queries are answered.
    Draining,
}

/// Decides when each phase of the graceful shutdown starts.
#[derive(Debug)]
pub(super) struct GracefulShutdown {
    phase: Phase,
    longest_deadline: Duration,
    /// None for no advice.
    retry_after: Option<Duration>,
}

impl GracefulShutdown {
    /// Creates the state before a shutdown is requested. `longest_deadline` is that of all classes of requests,
    /// and `max_retry_after` the longest Retry-After that the settings allow; none without such advice.
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
        reactor.set_timer(self.earliest_kill(now) - KILL_MARGIN, TimerEvent::KillImminent);
    }

    /// Returns when a process that was asked to end at `requested_at` may be killed.
    fn earliest_kill(&self, requested_at: Instant) -> Instant {
        requested_at + self.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY
    }

    /// Starts to drain the client connections. Returns the Retry-After of queries that are rejected from now
    /// on; none for no advice.
    pub fn start_draining(&mut self) -> Option<Duration> {
        self.phase = Phase::Draining;
        self.retry_after
    }

    /// Returns whether the process ends once no client is connected.
    pub fn is_draining(&self) -> bool {
        self.phase == Phase::Draining
    }

    /// Has the requests that block others looked for again after an interval.
    pub fn schedule_next_search(&self, reactor: &mut Reactor) {
        reactor.set_timer(reactor.now() + BLOCKING_REQUEST_INTERVAL, TimerEvent::KillImminent);
    }
}

/// What holds for the queries of clients while their connections are drained.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    started_at: Instant,
    /// None for no advice.
    retry_after: Option<Duration>,
}

impl Drain {
    /// Draining that starts at an instant. `retry_after` is that of rejected queries; none for no advice.
    pub fn new(started_at: Instant, retry_after: Option<Duration>) -> Drain {
        Drain { started_at, retry_after }
    }

    /// Returns whether a query that was received at this instant is rejected: the process may end before the
    /// query does, and another pooler has all the time for it.
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

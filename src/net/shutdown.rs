//! Graceful shutdown, from SIGTERM until the process exits or is killed.
//!
//! Times are relative to the first SIGTERM or SIGINT; further signals have no effect.
//!
//! | Time | What happens | Function |
//! | --- | --- | --- |
//! | 0 | The grace period starts. (1) | [`GracefulShutdown::start`] |
//! | [`GRACE_PERIOD`] | Draining starts. (2) | `Pooler::start_draining` |
//! | while draining | A connection is closed once its queries are answered. | `ClientConnection::can_close` |
//! | while draining | Newly received queries are rejected with 57P03. (3) | [`Drain::rejects`] |
//! | while draining | An empty query that waits for an endpoint is rejected if others wait behind it. | `Frontend::start_draining` |
//! | [`KILL_MARGIN`] before the kill | Blocking requests are ended. (4) | `Pooler::end_blocking_requests` |
//! | from then on | Queries that have waited behind others are rejected as well. (4) | [`Drain::rejects`] |
//! | counted deadline (5) + [`KILL_DELAY`] | Earliest kill. | [`GracefulShutdown::earliest_kill`] |
//! | listener and last client connection are closed | The process exits. (6) | `Pooler::is_finished` |
//!
//! 1. Connections and queries are accepted as before, to give clients time to learn of the shutdown.
//! 2. The connections in the accept queue are accepted before the listener is closed. Closing it first would
//!    reset them and lose the queries already sent on them.
//! 3. The process may be killed before such a query completes. Queries received earlier are executed.
//! 4. A request is blocking if its connection has unread input behind it, whether or not that input holds a
//!    complete query (head-of-line blocking). It gets its final response early, and the queries behind it are
//!    not started any more, so that all of them are answered before the kill. A request that begins to block
//!    later is ended at once.
//! 5. The longest deadline of all classes, capped at [`MAX_COUNTED_DEADLINE`]: requests with a longer
//!    deadline may be cut off by the kill.
//! 6. Only while draining. Attempts that no client waits for are dropped.

use std::time::{Duration, Instant};

use super::reactor::{Reactor, TimerEvent};

/// How long connections and queries are still accepted. Clients open connections for up to 0.4 s after
/// SIGTERM. A query received more than [`KILL_DELAY`] after SIGTERM may be lost to the kill, since its
/// deadline may be later than the kill.
const GRACE_PERIOD: Duration = Duration::from_millis(600);
/// Retry-After of rejected queries, capped by the settings. After this time another pooler accepts the
/// client's connections.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time from the longest deadline to the earliest kill.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Maximum part of the longest deadline that the kill waits for, in addition to [`KILL_DELAY`].
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Period before the earliest kill in which no query may wait behind another.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Phase of the shutdown. `Draining` starts when [`GracefulShutdown`] returns its [`Drain`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No shutdown was requested.
    Running,
    /// Shutdown was requested. Connections and queries are still accepted.
    GracePeriod,
    /// No new connections are accepted. Each open connection is closed once its queries are answered.
    Draining,
}

/// State machine of the graceful shutdown. Owned by the pooler, which passes [`Drain`] to the frontend.
#[derive(Debug)]
pub(super) struct GracefulShutdown {
    phase: Phase,
    /// When the shutdown was requested, if it was.
    requested_at: Option<Instant>,
    longest_deadline: Duration,
    /// `None` to send no Retry-After.
    retry_after: Option<Duration>,
}

impl GracefulShutdown {
    /// Creates the state before a shutdown is requested. `longest_deadline` is the longest of all classes and
    /// `max_retry_after` the longest Retry-After that the settings allow, or `None` if they allow none.
    pub fn new(longest_deadline: Duration, max_retry_after: Option<Duration>) -> GracefulShutdown {
        let retry_after = max_retry_after.map(|longest| longest.min(RETRY_AFTER));
        GracefulShutdown { phase: Phase::Running, requested_at: None, longest_deadline, retry_after }
    }

    /// Starts the grace period and sets the timers of the later phases. Has no effect once a shutdown was
    /// requested.
    pub fn start(&mut self, reactor: &mut Reactor) {
        if self.phase != Phase::Running {
            return;
        }
        self.phase = Phase::GracePeriod;
        tracing::info!("graceful shutdown started");
        let now = reactor.now();
        self.requested_at = Some(now);
        reactor.set_timer(now + GRACE_PERIOD, TimerEvent::GracePeriodOver);
        reactor.set_timer(self.end_of_waiting(now), TimerEvent::EndBlockingRequests);
    }

    /// Returns the earliest time at which the process may be killed if shutdown was requested at
    /// `requested_at`.
    fn earliest_kill(&self, requested_at: Instant) -> Instant {
        requested_at + self.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY
    }

    /// Returns from when on no query may wait behind another if shutdown was requested at `requested_at`.
    fn end_of_waiting(&self, requested_at: Instant) -> Instant {
        self.earliest_kill(requested_at) - KILL_MARGIN
    }

    /// Enters the phase `Draining` and returns the rules that apply to client connections from `now` on.
    pub fn start_draining(&mut self, now: Instant) -> Drain {
        self.phase = Phase::Draining;
        let end_of_waiting = self.end_of_waiting(self.requested_at.unwrap_or(now));
        Drain { started_at: now, end_of_waiting, retry_after: self.retry_after }
    }

    /// Returns `true` if the process exits once no client is connected.
    pub fn is_draining(&self) -> bool {
        self.phase == Phase::Draining
    }
}

/// Rules for queries during the phase `Draining`: which are rejected, and with which Retry-After.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    started_at: Instant,
    /// From when on no query may wait behind another.
    end_of_waiting: Instant,
    /// `None` to send no Retry-After.
    retry_after: Option<Duration>,
}

impl Drain {
    /// Returns `true` if a query received at `received_at` is rejected at `now` instead of being started: the
    /// process may be killed before the query completes, while another pooler can execute it.
    pub fn rejects(&self, received_at: Instant, now: Instant) -> bool {
        received_at > self.started_at || self.is_waiting_over(now)
    }

    /// Returns `true` if no query may wait behind another any more.
    pub fn is_waiting_over(&self, now: Instant) -> bool {
        now >= self.end_of_waiting
    }

    /// Returns the Retry-After of rejected queries, or `None` to send none.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

#[cfg(test)]
mod tests;

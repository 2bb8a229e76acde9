//! Event loop: polls sockets, signals and timers and dispatches their events to a [`Handler`].
//!
//! In each turn of the loop, a handler does a limited share of the work that a source has at hand. It leaves
//! the rest to a later turn with [`Resumption::schedule`], so that no source keeps the loop to itself.

mod clock;
mod connection_table;
mod run_queue;
mod stopwatch;
#[cfg(test)]
mod tests;
mod timers;
mod tokens;

use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

use mio::event::{Event, Source};
use mio::{Events, Interest, Poll, Registry};

use super::Context;
use crate::time::LocalInstant;
use clock::Clock;
pub(crate) use clock::{duration_of, span_of};
pub(crate) use connection_table::{ConnectionId, ConnectionTable};
pub(crate) use run_queue::Resumption;
use run_queue::RunQueue;
use stopwatch::Stopwatch;
pub(crate) use timers::TimerEvent;
use timers::TimerQueue;
pub(crate) use tokens::EventSource;

/// Maximum number of events returned by one poll.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Time in each turn of the loop for sources that are resumed. Those left over come first in the next turn.
const RESUME_TIME_SLICE: Duration = Duration::from_millis(5);

/// Registry of event sources, timers and clock.
pub(crate) struct Reactor {
    registry: Registry,
    timers: TimerQueue,
    run_queue: RunQueue,
    clock: Clock,
    /// Number of upcoming registrations that fail as if the system were out of memory.
    #[cfg(test)]
    pub failing_registrations: usize,
}

impl Reactor {
    /// Creates a reactor that registers event sources with `poll`. Fails if no file descriptor is left.
    pub fn new(poll: &Poll) -> io::Result<Reactor> {
        Ok(Reactor {
            registry: poll.registry().try_clone()?,
            timers: TimerQueue::default(),
            run_queue: RunQueue::default(),
            clock: Clock::start(),
            #[cfg(test)]
            failing_registrations: 0,
        })
    }

    /// Registers a socket or the signals; their events are reported as `source`. Fails if the system is out
    /// of memory.
    pub fn register(
        &mut self,
        socket: &mut impl Source,
        source: EventSource,
        interest: Interest,
    ) -> io::Result<()> {
        #[cfg(test)]
        if self.failing_registrations > 0 {
            self.failing_registrations -= 1;
            return Err(ErrorKind::OutOfMemory.into());
        }
        self.registry.register(socket, source.into(), interest)
    }

    /// Reads the monotonic clock; the result is not cached.
    pub fn now(&self) -> Instant {
        Instant::now()
    }

    /// Converts an instant to policy time: the system clock at startup (Unix time) plus the monotonic time
    /// since.
    pub fn policy_time(&self, instant: Instant) -> LocalInstant {
        self.clock.policy_time(instant)
    }

    /// Converts policy time to an instant. Out-of-range times are clamped to the start or to a hundred years
    /// after it.
    pub fn instant_of(&self, policy_time: LocalInstant) -> Instant {
        self.clock.instant_of(policy_time)
    }

    /// Sets a timer that reports `event` at `at`.
    pub fn set_timer(&mut self, at: Instant, event: TimerEvent) {
        self.timers.push(at, event);
    }

    /// Returns the time until the next timer expires, or `None` if no timer is set. Zero if a source waits to
    /// be resumed.
    fn poll_timeout(&self) -> Option<Duration> {
        if !self.run_queue.is_empty() {
            return Some(Duration::ZERO);
        }
        let next_expiry = self.timers.next_expiry()?;
        Some(next_expiry.saturating_duration_since(self.now()))
    }
}

/// Readiness reported by a poll event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// The source is readable or writable.
    Ready,
    /// The peer has closed its side. Data received before may still be unread.
    Disconnected,
}

/// Handles the events of the loop.
pub(crate) trait Handler {
    /// Called when a source has become ready.
    fn ready(&mut self, source: EventSource, readiness: Readiness, context: &mut Context);
    /// Called for a source whose [`Resumption`] is scheduled.
    fn resume(&mut self, source: EventSource, context: &mut Context);
    /// Called when a timer has expired.
    fn timer_expired(&mut self, event: TimerEvent, context: &mut Context);
    /// Returns `true` if the loop should stop.
    fn is_finished(&self) -> bool;
}

/// Runs the event loop until the handler is finished. Fails if polling fails.
pub(crate) fn run(poll: &mut Poll, handler: &mut impl Handler, context: &mut Context) -> io::Result<()> {
    let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
    while !handler.is_finished() {
        match poll.poll(&mut events, context.reactor.poll_timeout()) {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            result => result?,
        }
        handle_poll_events(&events, handler, context);
        handle_expired_timers(handler, context);
        resume_sources(handler, context);
    }
    Ok(())
}

/// Handles the events of one poll. Client disconnects are handled first, because other events may allow
/// queries to proceed and nothing may be sent for a disconnected client.
fn handle_poll_events(events: &Events, handler: &mut impl Handler, context: &mut Context) {
    let ready = events.iter().map(|event| (EventSource::from(event.token()), readiness(event)));
    let (disconnected_clients, others): (Vec<_>, Vec<_>) =
        ready.partition(|(source, readiness)| *readiness == Readiness::Disconnected && source.is_client());
    let mut stopwatch = Stopwatch::start(&context.reactor);
    for (source, readiness) in disconnected_clients.into_iter().chain(others) {
        handler.ready(source, readiness, context);
        stopwatch.record_callback(source, context);
    }
}

fn readiness(event: &Event) -> Readiness {
    if event.is_read_closed() {
        Readiness::Disconnected
    } else {
        Readiness::Ready
    }
}

/// Handles the timers that have expired now. A timer that a handler sets meanwhile is handled in the next
/// turn at the earliest, after the sockets were polled.
fn handle_expired_timers(handler: &mut impl Handler, context: &mut Context) {
    let now = context.reactor.now();
    let expired = context.reactor.timers.take_expired(now);
    let mut stopwatch = Stopwatch::start(&context.reactor);
    for event in expired {
        handler.timer_expired(event, context);
        stopwatch.record_callback(event, context);
    }
}

/// Resumes the sources that wait for it, each at most once, until [`RESUME_TIME_SLICE`] is used up.
fn resume_sources(handler: &mut impl Handler, context: &mut Context) {
    let mut stopwatch = Stopwatch::start(&context.reactor);
    let slice_ends_at = stopwatch.last_ended_at() + RESUME_TIME_SLICE;
    for _ in 0..context.reactor.run_queue.len() {
        let Some(source) = context.reactor.run_queue.pop() else { return };
        handler.resume(source, context);
        stopwatch.record_callback(source, context);
        if stopwatch.last_ended_at() >= slice_ends_at {
            return;
        }
    }
}

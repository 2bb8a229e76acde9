//! The event loop: waits for sockets, signals and timers, and calls their handler.

mod clock;
mod connection_table;
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
pub(crate) use timers::TimerEvent;
use timers::TimerQueue;
pub(crate) use tokens::EventSource;

/// The most poll events that are fetched at once.
const MAX_EVENTS_PER_POLL: usize = 256;

/// The registry of event sources, the timers and the clock.
pub(crate) struct Reactor {
    registry: Registry,
    timers: TimerQueue,
    clock: Clock,
    /// How many registrations are still to fail, as the system lets them when it has no memory.
    #[cfg(test)]
    pub failing_registrations: usize,
}

impl Reactor {
    /// Creates a reactor whose registry belongs to `poll`. Fails if the system has no file descriptor left.
    pub fn new(poll: &Poll) -> io::Result<Reactor> {
        Ok(Reactor {
            registry: poll.registry().try_clone()?,
            timers: TimerQueue::default(),
            clock: Clock::start(),
            #[cfg(test)]
            failing_registrations: 0,
        })
    }

    /// Registers a socket or the signals: their events are reported under the name `source`. Fails if the
    /// system has no memory for the registration.
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

    /// Returns the present time of the monotonic clock. Each call reads the clock anew.
    pub fn now(&self) -> Instant {
        Instant::now()
    }

    /// Returns the policy's time at an instant: Unix time by the system clock at the start and the monotonic
    /// clock since.
    pub fn policy_time(&self, instant: Instant) -> LocalInstant {
        self.clock.policy_time(instant)
    }

    /// Returns the instant of a policy's time. Never fails: a time out of range counts as the start or as a
    /// hundred years later.
    pub fn instant_of(&self, policy_time: LocalInstant) -> Instant {
        self.clock.instant_of(policy_time)
    }

    /// Sets a timer that expires at `at`.
    pub fn set_timer(&mut self, at: Instant, event: TimerEvent) {
        self.timers.push(at, event);
    }

    /// Returns the time until the next timer expires, or `None` without timers.
    fn poll_timeout(&self) -> Option<Duration> {
        let next_expiry = self.timers.next_expiry()?;
        Some(next_expiry.saturating_duration_since(self.now()))
    }
}

/// What the event of a source announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// The source can be read or written.
    Ready,
    /// The peer has closed its side. Earlier bytes may be still unread.
    Disconnected,
}

/// Receives the events of the loop.
pub(crate) trait Handler {
    /// Called when a source has become ready.
    fn ready(&mut self, source: EventSource, readiness: Readiness, context: &mut Context);
    /// Called when a timer has expired.
    fn timer_expired(&mut self, event: TimerEvent, context: &mut Context);
    /// Returns whether the loop is to end.
    fn is_finished(&self) -> bool;
}

/// Runs the event loop until the handler has finished. Fails if the system cannot wait for events.
pub(crate) fn run(poll: &mut Poll, handler: &mut impl Handler, context: &mut Context) -> io::Result<()> {
    let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
    while !handler.is_finished() {
        match poll.poll(&mut events, context.reactor.poll_timeout()) {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            result => result?,
        }
        handle_poll_events(&events, handler, context);
        handle_expired_timers(handler, context);
    }
    Ok(())
}

/// Handles the events of one poll. Clients that have disconnected come first: other events may be what their
/// queries were waiting for, and nothing must be sent for them any more.
fn handle_poll_events(events: &Events, handler: &mut impl Handler, context: &mut Context) {
    let ready = events.iter().map(|event| (EventSource::from(event.token()), readiness(event)));
    let (disconnected_clients, others): (Vec<_>, Vec<_>) =
        ready.partition(|(source, readiness)| *readiness == Readiness::Disconnected && source.is_client());
    for (source, readiness) in disconnected_clients.into_iter().chain(others) {
        handler.ready(source, readiness, context);
    }
}

fn readiness(event: &Event) -> Readiness {
    if event.is_read_closed() {
        Readiness::Disconnected
    } else {
        Readiness::Ready
    }
}

/// Handles the timers that have expired by now. The clock is read once: a timer that a handler sets for its
/// own present time waits for the next round, so that the sockets are polled in between.
fn handle_expired_timers(handler: &mut impl Handler, context: &mut Context) {
    let now = context.reactor.now();
    while let Some(event) = context.reactor.timers.pop_expired(now) {
        handler.timer_expired(event, context);
    }
}

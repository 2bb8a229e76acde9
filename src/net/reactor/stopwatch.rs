//! Measures how long the event loop spends on each event. Nothing else is handled meanwhile, so that one long
//! callback delays every client.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use super::Reactor;
use crate::net::Context;

/// Callbacks that take longer are logged.
const LONG_CALLBACK: Duration = Duration::from_millis(50);

/// Measures consecutive callbacks.
pub(super) struct Stopwatch {
    /// When the last callback ended.
    last_ended_at: Instant,
}

impl Stopwatch {
    /// Starts to measure the first callback.
    pub(super) fn start(reactor: &Reactor) -> Stopwatch {
        Stopwatch { last_ended_at: reactor.now() }
    }

    /// Returns when the last callback ended, or the start if there was none.
    pub(super) fn last_ended_at(&self) -> Instant {
        self.last_ended_at
    }

    /// Records the end of the callback for `event`, and starts to measure the next one.
    pub(super) fn record_callback(&mut self, event: impl Debug, context: &mut Context) {
        let now = context.reactor.now();
        let elapsed = now.saturating_duration_since(self.last_ended_at);
        self.last_ended_at = now;
        let longest = &mut context.counters.longest_callback;
        *longest = elapsed.max(*longest);
        if elapsed > LONG_CALLBACK {
            tracing::warn!(?event, ?elapsed, "event loop held up");
        }
    }
}

//! The sources of events that have more work at hand, in the order in which they are resumed.

use std::collections::VecDeque;

use super::tokens::EventSource;
use super::Reactor;

/// Sources that wait to be resumed.
#[derive(Default)]
pub(super) struct RunQueue {
    sources: VecDeque<EventSource>,
}

impl RunQueue {
    /// Removes the source that has waited for longest.
    pub(super) fn pop(&mut self) -> Option<EventSource> {
        self.sources.pop_front()
    }

    /// Returns the number of sources that wait.
    pub(super) fn len(&self) -> usize {
        self.sources.len()
    }

    /// Returns `true` if no source waits.
    pub(super) fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }
}

/// Whether the reactor will resume a source. Owned by the source, which waits in the queue at most once.
#[derive(Default)]
pub(crate) struct Resumption {
    is_scheduled: bool,
}

impl Resumption {
    /// Lets the reactor call [`Handler::resume`](super::Handler::resume) for `source`, which owns this
    /// object, after other sources had their turn. Has no effect if that is already scheduled.
    pub fn schedule(&mut self, source: EventSource, reactor: &mut Reactor) {
        if !self.is_scheduled {
            self.is_scheduled = true;
            reactor.run_queue.sources.push_back(source);
        }
    }

    /// Returns `true` if the source will be resumed.
    pub fn is_scheduled(&self) -> bool {
        self.is_scheduled
    }

    /// Records that the source is resumed now. Returns `true` if that was scheduled.
    pub fn take(&mut self) -> bool {
        std::mem::take(&mut self.is_scheduled)
    }
}

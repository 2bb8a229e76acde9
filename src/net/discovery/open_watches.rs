//! The watches that are open at the same time, and which of them are closed in favor of others.
//!
//! A watch is not closed because it is late: the service may be slow. The policy requests another one beside
//! it, and the first to deliver a message replaces those before it.

use std::time::Instant;

use super::error::WatchError;
use super::time_limits::MAX_GAP;
use super::watch::WatchConnection;
use crate::net::reactor::{ConnectionId, ConnectionTable};

/// Maximum number of answered watches, each of which may hold a part of a list in memory.
pub(crate) const MAX_ANSWERED_WATCHES: usize = 3;

/// Why a watch is closed. Its `Display` output is the text in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CloseReason {
    /// It failed.
    #[error("failed: {0}")]
    Failed(WatchError),
    /// There are too many unanswered watches, and others were opened shortly before and after it.
    #[error("redundant")]
    Redundant,
    /// There are too many answered watches, and it has been silent for longest.
    #[error("too many answered watches")]
    TooManyAnswered,
    /// Another watch has delivered a message.
    #[error("another watch has delivered a message")]
    Superseded,
    /// The address of the service has changed.
    #[error("address changed")]
    AddressChanged,
}

/// The open watches, in the order in which they were opened.
pub(super) struct OpenWatches {
    connections: ConnectionTable<WatchConnection>,
    by_age: Vec<ConnectionId>,
    max_unanswered: usize,
}

impl OpenWatches {
    /// Creates an empty collection, which will hold at most `max_unanswered` watches that are not answered.
    pub fn new(max_unanswered: usize) -> OpenWatches {
        OpenWatches { connections: ConnectionTable::new(), by_age: Vec::new(), max_unanswered }
    }

    /// Adds the latest watch and returns its ID.
    pub fn insert(&mut self, watch: WatchConnection) -> ConnectionId {
        let id = self.connections.insert(watch);
        self.by_age.push(id);
        id
    }

    /// Returns the watch with this ID, or `None` if it was closed.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut WatchConnection> {
        self.connections.get_mut(id)
    }

    /// Closes a watch.
    pub fn close(&mut self, id: ConnectionId, reason: CloseReason) {
        self.by_age.retain(|open| *open != id);
        if let Some(watch) = self.connections.remove(id) {
            let age = watch.opened_at().elapsed();
            tracing::info!(watch = %id, ?age, %reason, "endpoint watch closed");
        }
    }

    /// Closes all watches.
    pub fn close_all(&mut self, reason: CloseReason) {
        self.close_each(self.by_age.clone(), reason);
    }

    /// Returns `true` if a watch is answered and not overdue.
    pub fn any_current(&self) -> bool {
        self.connections.iter().any(|(_, watch)| watch.is_answered() && !watch.is_overdue())
    }

    /// Closes an unanswered watch if the next one would exceed their maximum number.
    pub fn limit_unanswered(&mut self, now: Instant) {
        if self.unanswered().len() >= self.max_unanswered {
            self.close_redundant(now);
        }
    }

    /// Closes the unanswered watch that is least likely to be answered in time if the others are not. Returns
    /// `false` if there are less than two.
    pub fn close_redundant(&mut self, now: Instant) -> bool {
        let unanswered = self.unanswered();
        let opened_at: Vec<Instant> = unanswered.iter().map(|(_, opened_at)| *opened_at).collect();
        let Some(position) = redundant(&opened_at, now) else { return false };
        self.close(unanswered[position].0, CloseReason::Redundant);
        true
    }

    /// Closes the answered watch that has been silent for longest if there are too many beside `answered`.
    pub fn limit_answered(&mut self, answered: ConnectionId) {
        let others = self.connections.iter().filter(|(id, watch)| *id != answered && watch.is_answered());
        let others: Vec<_> = others.map(|(id, watch)| (watch.last_received_at(), id)).collect();
        if others.len() < MAX_ANSWERED_WATCHES {
            return;
        }
        if let Some((_, silent)) = others.into_iter().min_by_key(|(last_received_at, _)| *last_received_at) {
            self.close(silent, CloseReason::TooManyAnswered);
        }
    }

    /// Closes the watches that are not needed any more now that `delivering` has delivered a message: those
    /// before it, and the unanswered ones.
    pub fn close_superseded(&mut self, delivering: ConnectionId) {
        let Some(position) = self.by_age.iter().position(|id| *id == delivering) else { return };
        let (older, rest) = self.by_age.split_at(position);
        let unanswered = rest.iter().filter(|id| !self.is_answered(**id));
        let superseded = older.iter().chain(unanswered).copied().collect();
        self.close_each(superseded, CloseReason::Superseded);
    }

    fn close_each(&mut self, ids: Vec<ConnectionId>, reason: CloseReason) {
        for id in ids {
            self.close(id, reason);
        }
    }

    fn is_answered(&self, id: ConnectionId) -> bool {
        self.connections.get(id).is_some_and(WatchConnection::is_answered)
    }

    /// Returns the unanswered watches, oldest first, and when each was opened.
    fn unanswered(&self) -> Vec<(ConnectionId, Instant)> {
        let watches = self.by_age.iter().filter_map(|id| Some((*id, self.connections.get(*id)?)));
        let unanswered = watches.filter(|(_, watch)| !watch.is_answered());
        unanswered.map(|(id, watch)| (id, watch.opened_at())).collect()
    }
}

/// Returns which of the unanswered watches to close, by their position in the order of opening, for one that
/// is opened at `now`. Never the oldest, which a service that answers in order answers first.
fn redundant(opened_at: &[Instant], now: Instant) -> Option<usize> {
    let successors = opened_at.iter().skip(2).chain([&now]);
    let gap_without = |(before, after): (&Instant, &Instant)| after.saturating_duration_since(*before);
    let mut gaps = opened_at.iter().zip(successors).map(gap_without);
    let has_others = opened_at.len() >= 2;
    has_others.then(|| gaps.position(|gap| gap <= MAX_GAP).map_or(1, |before| before + 1))
}

#[cfg(test)]
mod tests;

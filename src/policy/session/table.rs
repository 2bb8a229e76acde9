//! The last commit of each session.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::time::LogPosition;

/// A recorded write of a session.
struct SessionWrite {
    session: Arc<str>,
    commit: LogPosition,
}

/// The last commit of each session with a recent write.
#[derive(Default)]
pub(crate) struct SessionTable {
    last_commits: HashMap<Arc<str>, LogPosition>,
    /// All recorded writes, in the order in which they were recorded.
    writes: VecDeque<SessionWrite>,
    /// The latest commit of an evicted session: a session that is not in the table may have written until
    /// this time.
    evicted_until: Option<LogPosition>,
}

impl SessionTable {
    /// Returns the latest commit that a session may have made; `None` if it has no recorded write and no
    /// session was evicted.
    pub(crate) fn last_commit(&self, session: Option<&Arc<str>>) -> Option<LogPosition> {
        let known = session.and_then(|session| self.last_commits.get(session));
        known.copied().or(self.evicted_until)
    }

    /// Records a commit. Commits may be recorded out of order.
    pub(crate) fn record(&mut self, session: Arc<str>, commit: LogPosition) {
        let last = self.last_commits.entry(session.clone()).or_insert(commit);
        *last = commit.max(*last);
        self.writes.push_back(SessionWrite { session, commit });
    }

    /// Evicts writes in the order of recording, until at most `max_writes` are left and the first of those is
    /// not older than `horizon`.
    pub(crate) fn evict(&mut self, max_writes: usize, horizon: LogPosition) {
        while let Some(oldest) = self.writes.front() {
            if self.writes.len() <= max_writes && oldest.commit >= horizon {
                break;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(SessionWrite { session, commit }) = self.writes.pop_front() else { return };
        if self.last_commits.get(&session).is_some_and(|last| *last <= commit) {
            self.last_commits.remove(&session);
            self.assume_writes_until(commit);
        }
    }

    /// Assumes that any session that is not in the table may have written until `time`.
    fn assume_writes_until(&mut self, time: LogPosition) {
        self.evicted_until = self.evicted_until.max(Some(time));
    }
}

#[cfg(test)]
mod tests;

//! The last commits of sessions.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::time::LogPosition;

/// The last commit of each session that wrote lately.
pub(crate) struct SessionTable {
    last_commit: HashMap<Arc<str>, LogPosition>,
    /// Every write, in the order in which they were remembered.
    writes: VecDeque<(Arc<str>, LogPosition)>,
    /// Sessions that are not in the table may have written until then.
    forgotten_until: LogPosition,
}

impl Default for SessionTable {
    fn default() -> Self {
        SessionTable {
            last_commit: HashMap::new(),
            writes: VecDeque::new(),
            forgotten_until: LogPosition::from_secs(f64::NEG_INFINITY),
        }
    }
}

impl SessionTable {
    /// The latest commit that a session may have made.
    pub fn last_commit(&self, session: Option<&Arc<str>>) -> LogPosition {
        let known = session.and_then(|session| self.last_commit.get(session));
        *known.unwrap_or(&self.forgotten_until)
    }

    /// From now on any session that is not known may have written until this time.
    pub fn assume_writes_until(&mut self, time: LogPosition) {
        self.forgotten_until = self.forgotten_until.max(time);
    }

    /// Remembers a commit.
    pub fn remember(&mut self, session: Arc<str>, commit: LogPosition) {
        let last = self.last_commit.entry(session.clone()).or_insert(commit);
        *last = commit.max(*last);
        self.writes.push_back((session, commit));
    }

    /// Forgets the oldest writes, down to so many and those since `horizon`.
    pub fn forget(&mut self, max_writes: usize, horizon: LogPosition) {
        while let Some((_, commit)) = self.writes.front() {
            if self.writes.len() <= max_writes && *commit >= horizon {
                break;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((session, commit)) = self.writes.pop_front() else { return };
        if self.last_commit.get(&session).is_some_and(|last| *last <= commit) {
            self.last_commit.remove(&session);
            self.assume_writes_until(commit);
        }
    }
}

//! The IDs of all requests that were received and are not finished, so that no two of them share an ID.
//!
//! A request whose client has left, or which has failed, may still run at an endpoint. Its ID is kept for a
//! while.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the ID of a request is kept that may still run.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of IDs that are kept. Beyond it, the oldest ones are forgotten.
const MAX_RETAINED: usize = 10_000;

/// The IDs in use, as hashes: clients choose IDs of any length. Clones share the same IDs.
#[derive(Clone, Default)]
pub(crate) struct RequestIds {
    hasher: RandomState,
    table: Rc<RefCell<IdTable>>,
}

impl RequestIds {
    /// Claims an ID for a request that was received. Returns `None` if another request has claimed it.
    pub fn claim(&self, id: &str, now: Instant) -> Option<IdClaim> {
        let hash = self.hasher.hash_one(id);
        let mut table = self.table.borrow_mut();
        table.forget_expired(now);
        let is_new = table.in_use.insert(hash);
        is_new.then(|| IdClaim { hash, retained_until: None, table: self.table.clone() })
    }
}

/// The IDs that are claimed or retained.
#[derive(Default)]
struct IdTable {
    in_use: HashSet<u64>,
    /// Those whose requests are over, in the order in which they were added.
    retained: VecDeque<RetainedId>,
}

/// The ID of a request that is over and may still run.
struct RetainedId {
    hash: u64,
    until: Instant,
}

impl IdTable {
    fn release(&mut self, hash: u64, retained_until: Option<Instant>) {
        match retained_until {
            None => {
                self.in_use.remove(&hash);
            }
            Some(until) => self.retained.push_back(RetainedId { hash, until }),
        }
        if self.retained.len() > MAX_RETAINED {
            self.forget_oldest();
        }
    }

    fn forget_expired(&mut self, now: Instant) {
        while self.retained.front().is_some_and(|oldest| oldest.until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.retained.pop_front() {
            self.in_use.remove(&oldest.hash);
        }
    }
}

/// The claim of a request to its ID. Dropping it lets another request use the ID, at once or after a while.
pub(crate) struct IdClaim {
    hash: u64,
    retained_until: Option<Instant>,
    table: Rc<RefCell<IdTable>>,
}

impl IdClaim {
    /// Keeps the ID in use for [`RETENTION`], also if the claim is dropped before.
    pub fn retain(&mut self, now: Instant) {
        self.retained_until = Some(now + RETENTION);
    }
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        self.table.borrow_mut().release(self.hash, self.retained_until);
    }
}

impl fmt::Debug for IdClaim {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "claim {:016x}", self.hash)
    }
}

#[cfg(test)]
mod tests;

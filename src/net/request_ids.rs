//! The IDs of all requests that were received and are not finished, so that no two of them share an ID.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

/// The IDs in use, as hashes: clients choose IDs of any length. Clones share the same IDs.
#[derive(Clone, Default)]
pub(crate) struct RequestIds {
    hasher: RandomState,
    in_use: Rc<RefCell<HashSet<u64>>>,
}

impl RequestIds {
    /// Claims an ID for a request that was received. Returns `None` if another request has claimed it.
    pub fn claim(&self, id: &str) -> Option<IdClaim> {
        let hash = self.hasher.hash_one(id);
        let is_new = self.in_use.borrow_mut().insert(hash);
        is_new.then(|| IdClaim { hash, in_use: self.in_use.clone() })
    }
}

/// The claim of a request to its ID. Dropping it lets another request use the ID.
pub(crate) struct IdClaim {
    hash: u64,
    in_use: Rc<RefCell<HashSet<u64>>>,
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        self.in_use.borrow_mut().remove(&self.hash);
    }
}

impl fmt::Debug for IdClaim {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "claim {:016x}", self.hash)
    }
}

#[cfg(test)]
mod tests;

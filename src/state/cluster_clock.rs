//! What is known of the database hosts' clock.

use crate::time::{LocalInstant, Span};

/// A bound on an offset, and when it was found.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OffsetBound {
    pub offset: Span,
    pub found_at: LocalInstant,
}

/// What the answer of a primary shows of an offset: it lies between these.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OffsetInterval {
    pub min: Span,
    pub max: Span,
}

impl OffsetInterval {
    /// Whether some offset lies in both intervals.
    pub fn overlaps(&self, other: &OffsetInterval) -> bool {
        self.min <= other.max && other.min <= self.max
    }
}

/// The clock of the database hosts, by which log positions and the start times of endpoints are given.
///
/// It is ahead of the pooler's own clock by an offset that is known within bounds. The pooler's own clock
/// runs evenly, but may have been wrong when it was read at the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClusterClock {
    /// The pooler reads the same clock as the hosts: there is no offset.
    pub is_shared: bool,
    pub min_offset: Option<OffsetBound>,
    pub max_offset: Option<OffsetBound>,
    /// The latest evidence that contradicts the bounds. It replaces them once more evidence agrees with it.
    pub contradiction: Option<OffsetInterval>,
}

impl ClusterClock {
    /// A clock of which nothing is known but whether it is the pooler's own.
    pub const fn new(is_shared: bool) -> ClusterClock {
        ClusterClock { is_shared, min_offset: None, max_offset: None, contradiction: None }
    }
}

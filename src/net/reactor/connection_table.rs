//! Table of connections by ID. Generations keep the ID of a removed connection from matching the next
//! connection in the same slot.

use std::fmt;

use slab::Slab;

/// Number of bits of a generation. An event token holds the generation together with the slot index and the
/// kind of the source.
pub(super) const GENERATION_BITS: u32 = 29;
/// The largest generation; the next one wraps around to 0.
pub(super) const MAX_GENERATION: u32 = (1 << GENERATION_BITS) - 1;

/// Identifies a connection in a [`ConnectionTable`]. Slots are reused; the generation ensures that an event
/// for a removed connection does not reach the next connection in the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ConnectionId {
    pub(super) index: u32,
    pub(super) generation: u32,
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.index, self.generation)
    }
}

/// An occupied slot: a connection and the generation of its ID.
struct Entry<T> {
    generation: u32,
    connection: T,
}

/// Connections indexed by [`ConnectionId`].
pub(crate) struct ConnectionTable<T> {
    entries: Slab<Entry<T>>,
    next_generation: u32,
}

impl<T> ConnectionTable<T> {
    /// Creates an empty table.
    pub fn new() -> Self {
        ConnectionTable { entries: Slab::new(), next_generation: 0 }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds a connection and returns its ID.
    pub fn insert(&mut self, connection: T) -> ConnectionId {
        let generation = self.next_generation;
        self.next_generation = (generation + 1) & MAX_GENERATION;
        let index = self.entries.insert(Entry { generation, connection });
        ConnectionId { index: index as u32, generation }
    }

    /// Returns the connection with this ID, or `None` if it was removed.
    pub fn get(&self, id: ConnectionId) -> Option<&T> {
        let entry = self.entries.get(id.index as usize)?;
        (entry.generation == id.generation).then_some(&entry.connection)
    }

    /// Returns the connection with this ID for changes, or `None` if it was removed.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut T> {
        let entry = self.entries.get_mut(id.index as usize)?;
        (entry.generation == id.generation).then_some(&mut entry.connection)
    }

    /// Removes and returns the connection with this ID, or `None` if it was already removed.
    pub fn remove(&mut self, id: ConnectionId) -> Option<T> {
        self.get_mut(id)?;
        let entry = self.entries.try_remove(id.index as usize)?;
        Some(entry.connection)
    }

    /// Iterates over all connections in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &T)> {
        self.entries.iter().map(|(index, entry)| {
            let id = ConnectionId { index: index as u32, generation: entry.generation };
            (id, &entry.connection)
        })
    }
}

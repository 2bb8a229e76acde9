//! Limit on the total memory of all connections.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use thiserror::Error;

/// The requested size exceeds the maximum buffer size or the remaining memory budget.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("buffer size limit or memory budget exceeded")]
pub(crate) struct CapacityExceeded;

/// Largest reservation for input that may use the share of the budget that is set aside (bytes).
const MAX_SMALL_RESERVATION: usize = 2 * 1024;
/// The share of the budget that is set aside for answers and for input that needs little: one in this many
/// bytes. Without it, clients that stop in the middle of large messages would use up the whole budget.
const SET_ASIDE_DIVISOR: usize = 8;

/// Memory budget shared by all connections. Each buffer has a size limit of its own, but many buffers
/// together could exceed the memory limit of the process. Clones share the same budget.
#[derive(Clone)]
pub(crate) struct MemoryBudget {
    available: Rc<Cell<usize>>,
    total: usize,
    /// Bytes that must stay available after a reservation of more than [`MAX_SMALL_RESERVATION`].
    set_aside: usize,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        MemoryBudget { available: Rc::new(Cell::new(bytes)), total: bytes, set_aside: 0 }
    }

    /// Returns the same budget for the input of clients: a part of it is set aside.
    pub fn for_input(&self) -> MemoryBudget {
        MemoryBudget { set_aside: self.total / SET_ASIDE_DIVISOR, ..self.clone() }
    }

    /// Returns an empty reservation against this budget.
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }

    /// Returns the number of unreserved bytes.
    pub(super) fn available(&self) -> usize {
        self.available.get()
    }
}

/// Bytes reserved from a [`MemoryBudget`]. Dropping the reservation returns them to the budget.
pub(crate) struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// Sets the size of the reservation in bytes. On failure the reservation is unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), CapacityExceeded> {
        let available_without_this = self.budget.available() + self.bytes;
        let available = available_without_this.checked_sub(bytes).ok_or(CapacityExceeded)?;
        let is_large = bytes > self.bytes.max(MAX_SMALL_RESERVATION);
        if is_large && available < self.budget.set_aside {
            return Err(CapacityExceeded);
        }
        self.budget.available.set(available);
        self.bytes = bytes;
        Ok(())
    }

    /// Creates a separate reservation of `bytes` against the same budget.
    pub(super) fn reserve_separately(&self, bytes: usize) -> Result<MemoryReservation, CapacityExceeded> {
        let mut reservation = self.budget.reservation();
        reservation.resize(bytes)?;
        Ok(reservation)
    }

    /// Returns all bytes to the budget.
    pub fn release(&mut self) {
        // Shrinking a reservation cannot exceed the budget.
        let _ = self.resize(0);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.release();
    }
}

impl fmt::Debug for MemoryReservation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} bytes", self.bytes)
    }
}

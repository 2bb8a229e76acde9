//! A limit on the memory of all connections together.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use thiserror::Error;

/// More bytes were requested than the buffer or the memory budget has left.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the buffer or the memory budget has no capacity left")]
pub(crate) struct CapacityExceeded;

/// The number of bytes that all connections together may still reserve. Each buffer has a limit of its own,
/// but many together could exceed the memory limit of the process. Clones share the same budget.
#[derive(Clone)]
pub(crate) struct MemoryBudget {
    available: Rc<Cell<usize>>,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        MemoryBudget { available: Rc::new(Cell::new(bytes)) }
    }

    /// Returns an empty reservation on this budget.
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }

    /// Returns how many bytes are not reserved.
    pub(super) fn available(&self) -> usize {
        self.available.get()
    }
}

/// A number of bytes taken from a [`MemoryBudget`]. Dropping it returns them to the budget.
pub(crate) struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// Sets the size of the reservation (bytes). Fails, and changes nothing, if the budget is too small.
    pub fn resize(&mut self, bytes: usize) -> Result<(), CapacityExceeded> {
        let available_without_this = self.budget.available() + self.bytes;
        let available = available_without_this.checked_sub(bytes).ok_or(CapacityExceeded)?;
        self.budget.available.set(available);
        self.bytes = bytes;
        Ok(())
    }

    /// Makes a separate reservation of `bytes` on the same budget.
    pub(super) fn reserve_separately(&self, bytes: usize) -> Result<MemoryReservation, CapacityExceeded> {
        let mut reservation = self.budget.reservation();
        reservation.resize(bytes)?;
        Ok(reservation)
    }

    /// Returns all bytes to the budget.
    pub(super) fn release(&mut self) {
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

//! Connection buffers and their shared memory budget.

mod memory_budget;
mod ring_buffer;
#[cfg(test)]
mod tests;

pub(crate) use memory_budget::{CapacityExceeded, MemoryBudget, MemoryReservation};
pub(crate) use ring_buffer::{ReadStatus, RingBuffer, MAX_BUFFER_SIZE};

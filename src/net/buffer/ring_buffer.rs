//! Ring buffer; each connection has one per direction.

use std::io::{self, ErrorKind, Read, Write};
use std::ops::Range;

use super::memory_budget::{CapacityExceeded, MemoryBudget, MemoryReservation};

/// Size of the first allocation, in bytes.
pub(super) const INITIAL_SIZE: usize = 1024;

/// Empty buffers with a larger allocation free it, so that idle connections do not keep the memory of their
/// largest message.
const MAX_IDLE_SIZE: usize = 4 * 1024;

/// Maximum size of a buffer in bytes: the largest message of either protocol, including its header. A value
/// is at most 64 KiB, or twice that in hexadecimal.
pub(crate) const MAX_BUFFER_SIZE: usize = 160 * 1024;

/// Why reading into a buffer stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadStatus {
    /// The source has no more data available.
    WouldBlock,
    /// The source has reached end of stream.
    EndOfStream,
    /// The buffer has reached its maximum size or the memory budget is exhausted.
    Full,
}

/// Byte queue that grows on demand, up to [`MAX_BUFFER_SIZE`] and within its memory budget.
pub(crate) struct RingBuffer {
    storage: Vec<u8>,
    /// Index of the first byte in `storage`.
    head: usize,
    len: usize,
    /// Number of bytes added since the buffer was created.
    total_received: u64,
    reservation: MemoryReservation,
}

impl RingBuffer {
    /// Creates an empty buffer without allocating.
    pub fn new(budget: &MemoryBudget) -> Self {
        RingBuffer {
            storage: Vec::new(),
            head: 0,
            len: 0,
            total_received: 0,
            reservation: budget.reservation(),
        }
    }

    /// Reserves `bytes` against the budget of this buffer, for data that is kept after its removal from the
    /// buffer.
    pub fn reserve_memory(&self, bytes: usize) -> Result<MemoryReservation, CapacityExceeded> {
        self.reservation.reserve_separately(bytes)
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns `true` if the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of bytes added since the buffer was created.
    pub fn total_received(&self) -> u64 {
        self.total_received
    }

    /// Returns the number of bytes removed since the buffer was created.
    pub fn total_consumed(&self) -> u64 {
        self.total_received - self.len as u64
    }

    /// Reads until the source would block or ends, or the buffer is full.
    pub fn read_from(&mut self, source: &mut impl Read) -> io::Result<ReadStatus> {
        loop {
            if self.len == self.storage.len() && self.reserve(1).is_err() {
                return Ok(ReadStatus::Full);
            }
            let free = self.first_free_range();
            match source.read(&mut self.storage[free]) {
                Ok(0) => return Ok(ReadStatus::EndOfStream),
                Ok(count) => self.record_added(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.free_if_empty();
                    return Ok(ReadStatus::WouldBlock);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Writes until the buffer is empty or the sink would block. Returns `true` if the buffer is empty.
    pub fn write_to(&mut self, sink: &mut impl Write) -> io::Result<bool> {
        while self.len > 0 {
            let end = (self.head + self.len).min(self.storage.len());
            match sink.write(&self.storage[self.head..end]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.consume(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Appends all of `bytes`. On failure the buffer is unchanged.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), CapacityExceeded> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.reserve(bytes.len())?;
        let tail = self.tail();
        let before_wrap = bytes.len().min(self.storage.len() - tail);
        let (first, second) = bytes.split_at(before_wrap);
        self.storage[tail..tail + first.len()].copy_from_slice(first);
        self.storage[..second.len()].copy_from_slice(second);
        self.record_added(bytes.len());
        Ok(())
    }

    /// Returns the first `N` bytes without removing them, or `None` if the buffer holds fewer.
    pub fn peek<const N: usize>(&self) -> Option<[u8; N]> {
        self.peek_at(0)
    }

    /// Returns the `N` bytes that start `offset` bytes behind the front without removing them, or `None` if
    /// the buffer ends before.
    pub fn peek_at<const N: usize>(&self, offset: usize) -> Option<[u8; N]> {
        if self.len < offset + N {
            return None;
        }
        let mut bytes = [0; N];
        self.copy_from(offset, &mut bytes);
        Some(bytes)
    }

    /// Returns the `count` bytes that start `offset` bytes behind the front without removing them, or `None`
    /// if the buffer ends before.
    pub fn peek_range(&self, offset: usize, count: usize) -> Option<Vec<u8>> {
        if self.len < offset + count {
            return None;
        }
        let mut bytes = vec![0; count];
        self.copy_from(offset, &mut bytes);
        Some(bytes)
    }

    /// Returns up to `count` bytes from the front without removing them.
    pub fn peek_up_to(&self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count.min(self.len)];
        self.copy_from(0, &mut bytes);
        bytes
    }

    /// Removes and returns up to `count` bytes from the front.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        let bytes = self.peek_up_to(count);
        self.consume(bytes.len());
        bytes
    }

    /// Removes up to `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        self.head = if self.len == 0 { 0 } else { (self.head + count) % self.storage.len() };
        self.free_if_empty();
    }

    /// Removes and returns the bytes that start `offset` bytes behind the front. They do not count as received
    /// any more.
    pub fn split_off(&mut self, offset: usize) -> Vec<u8> {
        let offset = offset.min(self.len);
        let mut bytes = vec![0; self.len - offset];
        self.copy_from(offset, &mut bytes);
        self.len = offset;
        self.total_received -= bytes.len() as u64;
        self.free_if_empty();
        bytes
    }

    /// Grows the buffer if it has no room for `additional` bytes.
    fn reserve(&mut self, additional: usize) -> Result<(), CapacityExceeded> {
        let needed = self.len + additional;
        if needed > MAX_BUFFER_SIZE {
            return Err(CapacityExceeded);
        }
        if needed > self.storage.len() {
            self.grow(needed.next_power_of_two().clamp(INITIAL_SIZE, MAX_BUFFER_SIZE))?;
        }
        Ok(())
    }

    /// Moves the contents to a new allocation of `size` bytes.
    fn grow(&mut self, size: usize) -> Result<(), CapacityExceeded> {
        self.reservation.resize(size)?;
        let mut storage = vec![0; size];
        self.copy_from(0, &mut storage[..self.len]);
        self.storage = storage;
        self.head = 0;
        Ok(())
    }

    /// Fills `destination` with the bytes that start `offset` bytes behind the front. The contents must not
    /// end before.
    fn copy_from(&self, offset: usize, destination: &mut [u8]) {
        if destination.is_empty() {
            return;
        }
        let start = (self.head + offset) % self.storage.len();
        let before_wrap = destination.len().min(self.storage.len() - start);
        let (first, second) = destination.split_at_mut(before_wrap);
        first.copy_from_slice(&self.storage[start..start + first.len()]);
        second.copy_from_slice(&self.storage[..second.len()]);
    }

    /// Returns the index in `storage` at which the next byte is added. `storage` must not be empty.
    fn tail(&self) -> usize {
        (self.head + self.len) % self.storage.len()
    }

    /// Returns the contiguous free range of `storage` that starts at the tail. The buffer must not be full.
    fn first_free_range(&self) -> Range<usize> {
        let tail = self.tail();
        let end = if tail < self.head { self.head } else { self.storage.len() };
        tail..end
    }

    /// Records that `count` bytes were written to `storage` at the tail.
    fn record_added(&mut self, count: usize) {
        self.len += count;
        self.total_received += count as u64;
    }

    /// Frees the allocation if the buffer is empty and the allocation is larger than [`MAX_IDLE_SIZE`].
    fn free_if_empty(&mut self) {
        if self.len == 0 && self.storage.len() > MAX_IDLE_SIZE {
            self.storage = Vec::new();
            self.reservation.release();
        }
    }
}

//! Tests of the ring buffer and the memory budget.

use std::io::{self, ErrorKind, Read};

use super::ring_buffer::INITIAL_SIZE;
use super::*;

/// A source whose reads always fail with `WouldBlock`.
struct BlockedSource;

impl Read for BlockedSource {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(ErrorKind::WouldBlock.into())
    }
}

#[test]
fn ring_buffer_keeps_byte_order_across_wraparound_and_growth() {
    let mut buffer = RingBuffer::new(&MemoryBudget::new(MAX_BUFFER_SIZE));
    let mut next_pushed: u8 = 0;
    let mut next_taken: u8 = 0;
    let mut check = |bytes: Vec<u8>| {
        for byte in bytes {
            assert_eq!(byte, next_taken);
            next_taken = next_taken.wrapping_add(1);
        }
        next_taken
    };
    // Odd sizes move the wraparound over every index. More is pushed than taken, so the buffer also grows.
    for round in 0..2000 {
        let bytes: Vec<u8> = (0..round % 37).map(|n| next_pushed.wrapping_add(n as u8)).collect();
        buffer.push(&bytes).unwrap();
        next_pushed = next_pushed.wrapping_add(bytes.len() as u8);
        check(buffer.take(round % 31));
    }
    let mut written = Vec::new();
    assert!(buffer.write_to(&mut written).unwrap());
    assert_eq!(check(written), next_pushed);
}

#[test]
fn buffers_share_their_memory_budget_and_return_it() {
    let budget = MemoryBudget::new(MAX_BUFFER_SIZE + INITIAL_SIZE);
    let mut first = RingBuffer::new(&budget);
    let mut second = RingBuffer::new(&budget);
    first.push(&vec![1; MAX_BUFFER_SIZE]).unwrap();
    assert!(first.push(&[1]).is_err(), "exceeds the maximum buffer size");
    second.push(&[2]).unwrap();
    assert!(second.push(&vec![2; INITIAL_SIZE]).is_err(), "exceeds the shared budget");
    assert_eq!(second.read_from(&mut &[3; MAX_BUFFER_SIZE][..]).unwrap(), ReadStatus::Full);
    first.consume(MAX_BUFFER_SIZE);
    assert_eq!(second.read_from(&mut &[3; INITIAL_SIZE][..]).unwrap(), ReadStatus::EndOfStream);
    drop((first, second));
    assert_eq!(budget.available(), MAX_BUFFER_SIZE + INITIAL_SIZE);
}

#[test]
fn failed_push_leaves_the_buffer_unchanged() {
    let mut buffer = RingBuffer::new(&MemoryBudget::new(INITIAL_SIZE));
    buffer.push(b"left").unwrap();
    assert_eq!(buffer.push(&[0; INITIAL_SIZE]), Err(CapacityExceeded));
    assert_eq!(buffer.total_received(), 4);
    assert_eq!(buffer.take(INITIAL_SIZE), b"left");
}

#[test]
fn peek_removes_nothing_and_returns_none_if_bytes_are_missing() {
    let mut buffer = RingBuffer::new(&MemoryBudget::new(INITIAL_SIZE));
    assert_eq!(buffer.peek::<0>(), Some([]));
    assert_eq!(buffer.peek_up_to(3), b"");
    buffer.push(b"abc").unwrap();
    assert_eq!(buffer.peek(), Some(*b"ab"));
    assert_eq!(buffer.peek::<4>(), None);
    assert_eq!(buffer.peek_up_to(9), b"abc");
    assert_eq!(buffer.len(), 3);
}

#[test]
fn totals_count_added_and_removed_bytes() {
    let mut buffer = RingBuffer::new(&MemoryBudget::new(INITIAL_SIZE));
    buffer.push(b"abc").unwrap();
    buffer.read_from(&mut &b"de"[..]).unwrap();
    buffer.consume(4);
    assert_eq!((buffer.total_received(), buffer.total_consumed()), (5, 4));
    buffer.consume(100);
    assert_eq!((buffer.total_received(), buffer.total_consumed()), (5, 5));
    assert!(buffer.is_empty());
}

#[test]
fn empty_buffer_frees_a_large_allocation_but_keeps_a_small_one() {
    let budget = MemoryBudget::new(MAX_BUFFER_SIZE);
    let mut buffer = RingBuffer::new(&budget);
    assert_eq!(buffer.read_from(&mut BlockedSource).unwrap(), ReadStatus::WouldBlock);
    assert_eq!(budget.available(), MAX_BUFFER_SIZE - INITIAL_SIZE);
    buffer.push(&[0; 8 * INITIAL_SIZE]).unwrap();
    buffer.consume(8 * INITIAL_SIZE);
    assert_eq!(budget.available(), MAX_BUFFER_SIZE);
}

#[test]
fn separate_reservation_counts_against_the_same_budget() {
    let budget = MemoryBudget::new(100);
    let buffer = RingBuffer::new(&budget);
    let mut reservation = buffer.reserve_memory(60).unwrap();
    assert!(buffer.reserve_memory(41).is_err());
    assert_eq!(reservation.resize(101), Err(CapacityExceeded));
    assert_eq!(budget.available(), 40, "a failed resize changes nothing");
    drop(reservation);
    assert_eq!(budget.available(), 100);
}

#[test]
fn bytes_that_are_split_off_do_not_count_as_received() {
    let mut buffer = RingBuffer::new(&MemoryBudget::new(MAX_BUFFER_SIZE));
    buffer.push(&[0; INITIAL_SIZE - 2]).unwrap();
    buffer.consume(INITIAL_SIZE - 4);
    // The content wraps around the end of the allocation.
    buffer.push(b"abcd").unwrap();
    assert_eq!(buffer.split_off(3), b"bcd");
    assert_eq!((buffer.total_received(), buffer.len()), (INITIAL_SIZE as u64 - 1, 3));
    assert_eq!(buffer.split_off(9), b"");
    buffer.push(b"e").unwrap();
    assert_eq!(buffer.take(9), b"\0\0ae");
}

/// Guards against large messages that leave no memory for the answers to other clients.
#[test]
fn large_input_leaves_a_part_of_the_budget_to_answers_and_small_input() {
    let budget = MemoryBudget::new(80 * 1024);
    let input = budget.for_input();
    let mut large = input.reservation();
    assert_eq!(large.resize(71 * 1024), Err(CapacityExceeded));
    large.resize(70 * 1024).unwrap();
    assert_eq!(input.reservation().resize(3 * 1024), Err(CapacityExceeded));
    let mut small = input.reservation();
    small.resize(2 * 1024).unwrap();
    let mut answer = budget.reservation();
    answer.resize(8 * 1024).unwrap();
    assert_eq!(budget.available(), 0);
    small.resize(1024).expect("less is always granted");
}

use std::io::Cursor;
use std::time::Duration;

use super::*;

const MEMORY: usize = 1_000_000;
/// A `Sync` message, which has no body.
const SYNC: &[u8] = b"S\0\0\0\x04";

fn input(now: Instant) -> Input {
    Input::new(&MemoryBudget::new(MEMORY), now)
}

/// A source that yields these bytes and then would block.
struct Source<'a>(&'a [u8]);

impl Read for Source<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.0.is_empty() {
            return Err(std::io::ErrorKind::WouldBlock.into());
        }
        self.0.read(buffer)
    }
}

#[test]
fn a_message_is_received_with_its_last_byte() {
    let start = Instant::now();
    let (first, second) = (start + Duration::from_secs(1), start + Duration::from_secs(2));
    let mut input = input(start);
    input.read_from(&mut Source(&SYNC[..3]), first).unwrap();
    assert!(input.take_message().unwrap().is_none());
    input.read_from(&mut Source(&SYNC[3..]), second).unwrap();
    assert!(input.take_message().unwrap().is_some());
    assert_eq!(input.message_received_at(), second);
    assert!(input.is_empty());
}

#[test]
fn only_new_input_counts_as_received() {
    let start = Instant::now();
    let (first, second) = (start + Duration::from_secs(1), start + Duration::from_secs(2));
    let mut input = input(start);
    assert_eq!(input.last_received_at(), start);
    input.read_from(&mut Source(SYNC), first).unwrap();
    input.read_from(&mut Source(b""), second).unwrap();
    assert_eq!(input.last_received_at(), first);
}

#[test]
fn discarded_input_does_not_count_as_received() {
    let start = Instant::now();
    let mut input = input(start);
    assert!(!input.discard_from(&mut Source(SYNC)).unwrap(), "all of it was read");
    assert!(input.is_empty());
    assert_eq!(input.last_received_at(), start);
}

#[test]
fn one_buffer_at_most_is_discarded() {
    let endless = vec![0; MEMORY];
    let mut input = input(Instant::now());
    assert!(input.discard_from(&mut Source(&endless)).unwrap(), "more is left");
    assert!(input.is_empty());
}

#[test]
fn the_end_of_the_source_closes_the_connection() {
    let now = Instant::now();
    assert!(input(now).read_from(&mut Cursor::new(SYNC), now).is_err());
    assert!(input(now).discard_from(&mut Cursor::new(SYNC)).is_err());
}

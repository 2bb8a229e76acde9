use std::io::Cursor;
use std::time::Duration;

use super::*;
use crate::net::buffer::MAX_BUFFER_SIZE;
use crate::net::request_ids::RequestIds;

const MEMORY: usize = 1_000_000;
/// A `Sync` message, which has no body.
const SYNC: &[u8] = b"S\0\0\0\x04";
/// A query without a statement.
const EMPTY_QUERY: &[u8] = b"Q\0\0\0\x06;\0";

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
    input.read_from(&mut Source(&SYNC[..3]), InputPrecedence::AfterRefusals, first).unwrap();
    assert!(input.take_message().unwrap().is_none());
    input.read_from(&mut Source(&SYNC[3..]), InputPrecedence::AfterRefusals, second).unwrap();
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
    input.read_from(&mut Source(SYNC), InputPrecedence::AfterRefusals, first).unwrap();
    input.read_from(&mut Source(b""), InputPrecedence::AfterRefusals, second).unwrap();
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
    assert!(input(now).read_from(&mut Cursor::new(SYNC), InputPrecedence::AfterRefusals, now).is_err());
    assert!(input(now).discard_from(&mut Cursor::new(SYNC)).is_err());
}

/// Guards against leaving input in the socket, where it hides the end of the connection, while a query runs.
#[test]
fn input_that_does_not_fit_behind_a_running_query_is_read_and_refused() {
    let now = Instant::now();
    let mut input = input(now);
    // The buffer holds all but the last 300 messages, and a part of one of these.
    let messages = EMPTY_QUERY.repeat(MAX_BUFFER_SIZE / EMPTY_QUERY.len() + 300);
    assert_ne!(MAX_BUFFER_SIZE % EMPTY_QUERY.len(), 0);
    let mut source = Source(&messages);
    assert_eq!(input.read_from(&mut source, InputPrecedence::First, now).unwrap(), InputStatus::Full);
    input.claim_waiting_ids(&RequestIds::default());
    input.refuse_excess();
    assert_eq!(input.read_from(&mut source, InputPrecedence::First, now).unwrap(), InputStatus::Drained);
    assert_eq!(input.next_excess_step(), Ok(ExcessStep::Wait), "the messages in the buffer come first");
    while input.take_message().unwrap().is_some() {}
    for _ in 0..300 {
        assert!(!input.is_empty());
        assert_eq!(input.next_excess_step(), Ok(ExcessStep::Refuse));
    }
    assert!(input.is_empty());
    // Later input is kept again, with its own time of arrival.
    let later = now + Duration::from_secs(1);
    assert_eq!(
        input.read_from(&mut Source(SYNC), InputPrecedence::AfterRefusals, later).unwrap(),
        InputStatus::Drained
    );
    assert!(input.take_message().unwrap().is_some());
    assert_eq!(input.message_received_at(), later);
}

/// A client that does not read its responses must not make the pooler count its messages forever.
#[test]
fn no_excess_is_read_between_queries_while_refusals_are_due() {
    let now = Instant::now();
    let mut input = input(now);
    input.refuse_excess();
    let mut source = Source(SYNC);
    assert_eq!(input.read_from(&mut source, InputPrecedence::First, now).unwrap(), InputStatus::Drained);
    let mut source = Source(SYNC);
    assert_eq!(input.read_from(&mut source, InputPrecedence::AfterRefusals, now).unwrap(), InputStatus::Full);
    assert_eq!(source.0, SYNC);
}

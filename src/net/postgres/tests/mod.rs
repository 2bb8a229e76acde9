//! Tests of the parsing and writing of PostgreSQL messages.

mod backend_messages;
mod error_response;
mod framing;
mod message;
mod message_kind;
mod query;
mod sqlstate;
mod startup;

use super::message::{write_message, Message};
use super::*;
use crate::net::buffer::{MemoryBudget, RingBuffer, MAX_BUFFER_SIZE};

/// Seeds the random inputs, so that every run has the same.
const SEED: u64 = 20_240_607;

fn buffer_with(bytes: &[u8]) -> RingBuffer {
    let mut buffer = RingBuffer::new(&MemoryBudget::new(MAX_BUFFER_SIZE));
    buffer.push(bytes).unwrap();
    buffer
}

/// A message as it is on the wire.
fn wire_message(kind: impl Into<u8>, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, kind, |out| out.extend(body));
    out
}

fn random_bytes(rng: &mut fastrand::Rng, max_length: usize) -> Vec<u8> {
    let length = rng.usize(..=max_length);
    (0..length).map(|_| rng.u8(..)).collect()
}

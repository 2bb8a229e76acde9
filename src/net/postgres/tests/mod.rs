//! Tests of parsing and encoding PostgreSQL messages.

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

/// Seeds the random inputs, so that every run uses the same ones.
const SEED: u64 = 20_240_607;

fn buffer_with(bytes: &[u8]) -> RingBuffer {
    let mut buffer = RingBuffer::new(&MemoryBudget::new(MAX_BUFFER_SIZE));
    buffer.push(bytes).unwrap();
    buffer
}

/// Encodes a message as it is sent on the wire.
fn wire_message(kind: impl Into<u8>, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, kind, |out| out.extend(body));
    out
}

fn random_bytes(rng: &mut fastrand::Rng, max_length: usize) -> Vec<u8> {
    let length = rng.usize(..=max_length);
    (0..length).map(|_| rng.u8(..)).collect()
}

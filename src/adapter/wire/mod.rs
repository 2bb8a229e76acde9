//! The simulator's wire format: lines of JSON, each an array of a message name and the message's fields.
//!
//! [`names`] and [`layout`] map the names on the wire to the terms used in the code; no other module contains
//! them.

mod base_time;
mod decode;
mod encode;
mod error;
mod fields;
mod layout;
mod names;

pub use base_time::BaseTime;
pub use decode::{decode_line, DecodedEvent, InstanceLine, Message, NewInstance};
pub use encode::write_reply;
pub use error::WireError;

/// Identifies a policy instance on the wire.
pub type InstanceId = i64;
/// Identifies an inventory of endpoints on the wire.
pub type InventoryId = u64;

//! The simulator's wire: lines of JSON, each an array of the name of a message and its fields.
//!
//! [`names`] and [`layout`] map the words of the wire to the terms that the code uses; no other module knows
//! them.

mod base_time;
mod decode;
mod encode;
mod error;
mod fields;
mod layout;
mod names;

pub use base_time::BaseTime;
pub use decode::{decode_line, InstanceLine, InstanceMessage, Message, NewInstance};
pub use encode::write_reply;
pub use error::WireError;

/// Identifies an instance of the policy on the wire.
pub type InstanceId = i64;
/// Identifies an inventory of endpoints on the wire.
pub type InventoryId = u64;

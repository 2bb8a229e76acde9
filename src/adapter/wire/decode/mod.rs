//! Decodes the lines that the simulator sends. This module decodes those for the adapter itself; its
//! submodules decode what the policy takes.

mod endpoints;
mod instance_messages;
mod results;

use pg_pooler::config::decode_settings;
use pg_pooler::interface::Endpoint;
use pg_pooler::settings::Settings;
use pg_pooler::time::LocalInstant;
use serde_json::Value;

use super::fields::Fields;
use super::names::MessageName;
use super::{layout, BaseTime, InstanceId, InventoryId, WireError};

pub use instance_messages::{InstanceLine, InstanceMessage};

/// Some times on the wire are in milliseconds.
const MILLIS_PER_SECOND: f64 = 1000.0;

/// A line of the simulator.
pub enum Message {
    /// The time of the messages that follow.
    Turn { now: LocalInstant },
    /// The batch is complete; the simulator waits for the reply.
    EndOfBatch,
    /// A list of endpoints to which later messages refer.
    Inventory { id: InventoryId, endpoints: Vec<Endpoint> },
    /// Creates an instance of the policy.
    OpenInstance(Box<NewInstance>),
    /// Removes an instance.
    KillInstance { instance: InstanceId },
    /// Of no meaning to the policy.
    Ignored,
    /// A message to one instance.
    Instance(InstanceLine),
}

/// What an instance is created from.
pub struct NewInstance {
    /// Identifies the instance.
    pub id: InstanceId,
    /// Seeds the random numbers of the policy.
    pub seed: u64,
    /// The settings of the policy.
    pub settings: Settings,
    /// The time to which the log positions in its messages are relative.
    pub base_time: BaseTime,
}

/// Decodes a line, except for the fields of a message to an instance.
///
/// Fails where the line is no message, the message is unknown, or one of its fields or settings has a wrong
/// type.
pub fn decode_line(line: &[u8]) -> Result<Message, WireError> {
    let (name, values) = split_line(line)?;
    let fields = Fields(&values);
    let Some(message) = MessageName::from_wire(&name) else {
        // An unknown message counts as one to an instance, so a malformed instance is reported first.
        decode_instance_id(fields)?;
        return Err(WireError::UnknownMessage(name));
    };
    Ok(match message {
        MessageName::Turn => {
            Message::Turn { now: LocalInstant::from_secs(fields.number(layout::turn::NOW)?) }
        }
        MessageName::EndOfBatch => Message::EndOfBatch,
        MessageName::Inventory => decode_inventory(fields)?,
        MessageName::OpenInstance => Message::OpenInstance(Box::new(decode_new_instance(fields)?)),
        MessageName::KillInstance => Message::KillInstance { instance: decode_instance_id(fields)? },
        MessageName::Ignored => Message::Ignored,
        MessageName::Instance(name) => {
            let instance = decode_instance_id(fields)?;
            Message::Instance(InstanceLine::new(instance, name, values))
        }
    })
}

/// Splits a line into the name of its message and the values of its fields.
fn split_line(line: &[u8]) -> Result<(String, Vec<Value>), WireError> {
    let Value::Array(mut values) = serde_json::from_slice(line)? else {
        return Err(WireError::LineNotAnArray);
    };
    if values.is_empty() {
        return Err(WireError::EmptyLine);
    }
    match values.remove(0) {
        Value::String(name) => Ok((name, values)),
        _ => Err(WireError::NoMessageName),
    }
}

fn decode_instance_id(fields: Fields) -> Result<InstanceId, WireError> {
    fields.integer(layout::INSTANCE)
}

fn decode_inventory(fields: Fields) -> Result<Message, WireError> {
    let id = fields.integer_or_zero(layout::inventory::ID)? as InventoryId;
    let endpoints = endpoints::decode_endpoints(fields.array(layout::inventory::ENDPOINTS)?)?;
    Ok(Message::Inventory { id, endpoints })
}

fn decode_new_instance(fields: Fields) -> Result<NewInstance, WireError> {
    let settings = fields.value(layout::new_instance::SETTINGS);
    Ok(NewInstance {
        settings: decode_settings(settings)?,
        base_time: BaseTime::from_settings(settings),
        seed: fields.unsigned_bits(layout::new_instance::SEED)?,
        id: decode_instance_id(fields)?,
    })
}

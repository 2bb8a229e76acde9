//! Decoding of lines from the simulator. This module decodes messages to the adapter itself, and
//! [`instance_messages`] those to policy instances.

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

pub use instance_messages::{DecodedEvent, InstanceLine};

/// Converts the times that are in milliseconds on the wire.
const MILLIS_PER_SECOND: f64 = 1000.0;

/// A message from the simulator.
pub enum Message {
    /// Sets the time of the following messages.
    SetTime { now: LocalInstant },
    /// Ends a batch; the simulator waits for the reply.
    EndOfBatch,
    /// Defines an inventory of endpoints that later messages refer to.
    Inventory { id: InventoryId, endpoints: Vec<Endpoint> },
    /// Creates a policy instance.
    OpenInstance(Box<NewInstance>),
    /// Removes a policy instance.
    CloseInstance { instance: InstanceId },
    /// Has no meaning for the policy.
    Ignored,
    /// A message to one policy instance.
    Instance(InstanceLine),
}

/// The parameters of a new policy instance.
pub struct NewInstance {
    /// Identifies the instance.
    pub id: InstanceId,
    /// Seed of the policy's random number generator.
    pub seed: u64,
    /// The policy settings.
    pub settings: Settings,
    /// The time that log positions in its messages are relative to.
    pub base_time: BaseTime,
}

/// Decodes a line, except for the fields of a message to an instance.
///
/// Fails if the line is not a message, the message is unknown, or a field or setting has the wrong type.
pub fn decode_line(line: &[u8]) -> Result<Message, WireError> {
    let (name, values) = split_line(line)?;
    let fields = Fields(&values);
    let Some(message) = MessageName::from_wire(&name) else {
        // As in messages to an instance, an invalid instance is reported first.
        decode_instance_id(fields)?;
        return Err(WireError::UnknownMessage(name));
    };
    Ok(match message {
        MessageName::SetTime => {
            Message::SetTime { now: LocalInstant::from_secs(fields.number(layout::set_time::NOW)?) }
        }
        MessageName::EndOfBatch => Message::EndOfBatch,
        MessageName::Inventory => decode_inventory(fields)?,
        MessageName::OpenInstance => Message::OpenInstance(Box::new(decode_new_instance(fields)?)),
        MessageName::CloseInstance => Message::CloseInstance { instance: decode_instance_id(fields)? },
        MessageName::Ignored => Message::Ignored,
        MessageName::Instance(name) => {
            let instance = decode_instance_id(fields)?;
            Message::Instance(InstanceLine::new(instance, name, values))
        }
    })
}

/// Splits a line into the message name and the field values.
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

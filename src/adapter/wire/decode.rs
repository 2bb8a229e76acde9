//! Decodes the lines that the simulator sends.

use std::sync::Arc;

use pg_pooler::config::decode_settings;
use pg_pooler::interface::{
    AttemptResult, Endpoint, EndpointStatus, Event, LoadReport, Outcome, Request, UpdateKind,
};
use pg_pooler::settings::Settings;
use serde_json::Value;

use super::fields::{Field, Fields};
use super::names::{InstanceMessageName, MessageName};
use super::{layout, names, InstanceId, InventoryId, WireError};

/// A log position and a role share one number. These bits hold the role; the position is in the bits above.
const ROLE_MASK: i64 = 3;
const ROLE_BITS: u32 = 2;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// A line of the simulator.
pub enum Message {
    /// The time of the messages that follow (seconds).
    Turn { now: f64 },
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
    /// The time to which the log positions on the wire are relative (Unix seconds).
    pub base_time: f64,
}

/// A line for one instance. Its times can only be decoded with the base time of that instance.
pub struct InstanceLine {
    /// The instance that it is for.
    pub instance: InstanceId,
    name: InstanceMessageName,
    values: Vec<Value>,
}

/// A decoded line for one instance.
pub enum InstanceMessage {
    /// The endpoints have changed to those of an inventory.
    EndpointsFromInventory { kind: UpdateKind, inventory: InventoryId },
    /// An event that is complete in itself.
    Event(Event),
}

/// Decodes a line.
pub fn decode_line(line: &[u8]) -> Result<Message, WireError> {
    let (name, values) = split_line(line)?;
    let fields = Fields(&values);
    let Some(message) = MessageName::from_wire(&name) else {
        // An unknown message counts as one to an instance, so a malformed instance is reported first.
        decode_instance_id(fields)?;
        return Err(WireError::UnknownMessage(name));
    };
    Ok(match message {
        MessageName::Turn => Message::Turn { now: fields.number(layout::turn::NOW)? },
        MessageName::EndOfBatch => Message::EndOfBatch,
        MessageName::Inventory => decode_inventory(fields)?,
        MessageName::OpenInstance => Message::OpenInstance(Box::new(decode_new_instance(fields)?)),
        MessageName::KillInstance => Message::KillInstance { instance: decode_instance_id(fields)? },
        MessageName::Ignored => Message::Ignored,
        MessageName::Instance(name) => {
            let instance = decode_instance_id(fields)?;
            Message::Instance(InstanceLine { instance, name, values })
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
    let entries = fields.array(layout::inventory::ENDPOINTS)?;
    let endpoints = entries.iter().map(decode_endpoint).collect::<Result<_, _>>()?;
    Ok(Message::Inventory { id, endpoints })
}

fn decode_endpoint(entry: &Value) -> Result<Endpoint, WireError> {
    let fields = Fields(entry.as_array().ok_or(WireError::EntryNotAnArray)?);
    Ok(Endpoint {
        id: fields.text(layout::endpoint::ID)?.into(),
        zone: fields.integer_or_zero(layout::endpoint::ZONE)? as u32,
        group: fields.integer_or_zero(layout::endpoint::GROUP)? as u32,
        status: decode_status(fields)?,
        started_at: fields.number_or_zero(layout::endpoint::STARTED_AT)?,
        primary: names::is_set(fields.number_or_zero(layout::endpoint::IS_PRIMARY)?),
    })
}

fn decode_status(fields: Fields) -> Result<EndpointStatus, WireError> {
    let phase = fields.text(layout::endpoint::STATUS)?;
    names::endpoint_status(phase).ok_or_else(|| WireError::UnknownPhase(phase.to_string()))
}

fn decode_new_instance(fields: Fields) -> Result<NewInstance, WireError> {
    let settings = fields.value(layout::new_instance::SETTINGS);
    let base_time = settings.pointer(names::BASE_TIME_POINTER).and_then(Value::as_f64);
    Ok(NewInstance {
        settings: decode_settings(settings)?,
        base_time: base_time.unwrap_or(0.0),
        seed: fields.unsigned_bits(layout::new_instance::SEED)?,
        id: decode_instance_id(fields)?,
    })
}

impl InstanceLine {
    /// Decodes the message; `base_time` is that of the instance.
    pub fn decode(&self, base_time: f64) -> Result<InstanceMessage, WireError> {
        let fields = Fields(&self.values);
        let event = match self.name {
            InstanceMessageName::EndpointsUpdated => return decode_endpoint_update(fields),
            InstanceMessageName::RequestReceived => Event::Request(decode_request(fields)?),
            InstanceMessageName::AttemptFinished => {
                Event::AttemptFinished(decode_attempt_result(fields, base_time)?)
            }
            InstanceMessageName::HealthChecked => decode_health_check(fields, base_time)?,
            InstanceMessageName::ResponseStarted => {
                Event::ResponseStarted { id: fields.text(layout::REQUEST_ID)?.into() }
            }
            InstanceMessageName::ClientDisconnected => {
                Event::ClientDisconnected { id: fields.text(layout::REQUEST_ID)?.into() }
            }
            InstanceMessageName::TimerExpired => {
                Event::Timer { cookie: fields.integer_or_zero(layout::timer::COOKIE)? as u64 }
            }
        };
        Ok(InstanceMessage::Event(event))
    }
}

fn decode_endpoint_update(fields: Fields) -> Result<InstanceMessage, WireError> {
    let kind = fields.text(layout::endpoint_update::KIND)?;
    let kind = names::update_kind(kind).ok_or_else(|| WireError::UnknownUpdateKind(kind.to_string()))?;
    let inventory = fields.integer_or_zero(layout::endpoint_update::INVENTORY)? as InventoryId;
    Ok(InstanceMessage::EndpointsFromInventory { kind, inventory })
}

fn decode_request(fields: Fields) -> Result<Request, WireError> {
    let options = fields.integer_or_zero(layout::request::OPTIONS)?;
    let token_age = fields.number_or_zero(layout::request::SESSION_TOKEN_AGE)? / MILLIS_PER_SECOND;
    let predicted_work = fields.value(layout::request::PREDICTED_WORK).as_f64();
    Ok(Request {
        id: fields.text(layout::REQUEST_ID)?.into(),
        timeout: fields.number(layout::request::TIMEOUT)?,
        session_token_age: Some(token_age).filter(|age| *age > 0.0),
        session: fields.value(layout::request::SESSION).as_str().map(Arc::from),
        tenant: fields.integer_or_zero(layout::request::TENANT)? as usize,
        predicted_work: predicted_work.filter(|_| options & names::request_option::PREDICTED_WORK != 0),
        client_retry: options & names::request_option::CLIENT_RETRY != 0,
        class: fields.integer_or_zero(layout::request::CLASS)? as usize,
        group: fields.integer_or_zero(layout::request::GROUP)? as u32,
    })
}

fn decode_attempt_result(fields: Fields, base_time: f64) -> Result<AttemptResult, WireError> {
    let position_and_role = fields.integer_or_zero(layout::attempt_result::POSITION_AND_ROLE)?;
    Ok(AttemptResult {
        id: fields.text(layout::REQUEST_ID)?.into(),
        endpoint: fields.text(layout::attempt_result::ENDPOINT)?.into(),
        request_finished: fields.flag(layout::attempt_result::REQUEST_FINISHED),
        elapsed: fields.number_or_zero(layout::attempt_result::ELAPSED)?,
        attempt: fields.integer_or_zero(layout::attempt_result::ATTEMPT)? as usize,
        outcome: decode_outcome(fields, layout::attempt_result::OUTCOME)?,
        log_position: decode_log_position(position_and_role, base_time),
        primary: names::is_primary(position_and_role & ROLE_MASK),
        report: decode_load_report(fields.value(layout::attempt_result::LOAD_REPORT), base_time),
    })
}

fn decode_log_position(position_and_role: i64, base_time: f64) -> Option<f64> {
    let millis = position_and_role >> ROLE_BITS;
    (millis > 0).then(|| base_time + millis as f64 / MILLIS_PER_SECOND)
}

fn decode_health_check(fields: Fields, base_time: f64) -> Result<Event, WireError> {
    Ok(Event::HealthChecked {
        endpoint: fields.text(layout::health_check::ENDPOINT)?.into(),
        outcome: decode_outcome(fields, layout::health_check::OUTCOME)?,
        report: decode_load_report(fields.value(layout::health_check::LOAD_REPORT), base_time),
    })
}

fn decode_load_report(report: &Value, base_time: f64) -> LoadReport {
    let log_position = report[names::load_report::LOG_POSITION].as_f64();
    LoadReport {
        log_position: log_position.map(|position| base_time + position),
        primary: report[names::load_report::IS_PRIMARY].as_f64().map(names::is_set),
    }
}

fn decode_outcome(fields: Fields, field: Field) -> Result<Outcome, WireError> {
    let code = fields.integer_or_zero(field)?;
    names::outcome(code).ok_or(WireError::UnknownOutcome(code))
}

//! Decodes the lines that the simulator sends.
//!
//! A line is a JSON array of the name of a message and its fields.

use std::sync::Arc;

use pg_pooler::config::decode_settings;
use pg_pooler::interface::{
    AttemptResult, Endpoint, EndpointStatus, Event, LoadReport, Outcome, Request, Role, UpdateKind,
};
use pg_pooler::settings::Settings;
use pg_pooler::time::{ClusterInstant, LocalInstant, LogPosition, Span};
use serde_json::Value;

use crate::error::WireError;
use crate::fields::Fields;

/// The bit of a request's options that says that the predicted work is valid.
const OPTION_PREDICTED_WORK: i64 = 1;
/// A log position and a role share one number. These bits hold the role; the position is in the bits above.
const ROLE_MASK: i64 = 3;
const ROLE_BITS: u32 = 2;
const ROLE_PRIMARY: i64 = 1;
const ROLE_REPLICA: i64 = 2;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Identifies an instance of the policy on the wire.
pub type InstanceId = i64;
/// Identifies an inventory of endpoints on the wire.
pub type InventoryId = u64;

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
    Kill { instance: InstanceId },
    /// Of no meaning to the policy.
    Ignored,
    /// A message to one instance.
    Instance(InstanceLine),
}

/// What an instance is created from.
pub struct NewInstance {
    pub id: InstanceId,
    pub seed: u64,
    pub settings: Settings,
    /// The time to which the log positions on the wire are relative (Unix seconds).
    pub base_time: f64,
}

/// A line for one instance. Its times can only be decoded with the base time of that instance.
pub struct InstanceLine {
    pub instance: InstanceId,
    name: String,
    fields: Vec<Value>,
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
    let Value::Array(mut values) = serde_json::from_slice(line)? else {
        return Err(WireError::LineNotAnArray);
    };
    if values.is_empty() {
        return Err(WireError::EmptyLine);
    }
    let Value::String(name) = values.remove(0) else {
        return Err(WireError::NoMessageName);
    };
    let fields = Fields(&values);
    Ok(match name.as_str() {
        "turn" => Message::Turn { now: LocalInstant::from_secs(fields.number(0, "turn")?) },
        "yourTurn" => Message::EndOfBatch,
        "inventory" => decode_inventory(fields)?,
        "openInstance" => Message::OpenInstance(Box::new(decode_new_instance(fields)?)),
        "kill" => Message::Kill { instance: decode_instance_id(fields)? },
        "message" => Message::Ignored,
        _ => {
            let instance = decode_instance_id(fields)?;
            Message::Instance(InstanceLine { instance, name, fields: values })
        }
    })
}

fn decode_instance_id(fields: Fields) -> Result<InstanceId, WireError> {
    fields.value(0).as_i64().ok_or(WireError::NotAWholeNumber("proxy"))
}

fn decode_inventory(fields: Fields) -> Result<Message, WireError> {
    let id = fields.integer_or_zero(0, "bank")? as InventoryId;
    let entries = fields.array(1, "membersList")?;
    let endpoints = entries.iter().map(decode_endpoint).collect::<Result<_, _>>()?;
    Ok(Message::Inventory { id, endpoints })
}

fn decode_endpoint(entry: &Value) -> Result<Endpoint, WireError> {
    let fields = Fields(entry.as_array().ok_or(WireError::EntryNotAnArray)?);
    Ok(Endpoint {
        id: fields.text(0, "member")?.into(),
        zone: fields.integer_or_zero(1, "failureDomain")? as u32,
        group: fields.integer_or_zero(3, "cell")? as u32,
        status: decode_status(fields.text(4, "phase")?)?,
        started_at: decode_start(fields.number_or_zero(6, "startedAt")?),
        role: role_of(fields.number_or_zero(7, "isPrimary")? == 1.0),
    })
}

/// When an endpoint last started; 0 stands for long ago.
fn decode_start(started_at: f64) -> Option<ClusterInstant> {
    (started_at > 0.0).then_some(ClusterInstant::from_secs(started_at))
}

fn role_of(is_primary: bool) -> Role {
    if is_primary {
        Role::Primary
    } else {
        Role::Replica
    }
}

fn decode_status(phase: &str) -> Result<EndpointStatus, WireError> {
    match phase {
        "active" => Ok(EndpointStatus::Serving),
        "leaving" => Ok(EndpointStatus::Draining),
        "left" => Ok(EndpointStatus::Removed),
        other => Err(WireError::UnknownPhase(other.to_string())),
    }
}

fn decode_new_instance(fields: Fields) -> Result<NewInstance, WireError> {
    let info = fields.value(2);
    let base_time = info.pointer("/specifics/baseTime").and_then(Value::as_f64);
    Ok(NewInstance {
        settings: decode_settings(info)?,
        base_time: base_time.unwrap_or(0.0),
        seed: decode_seed(fields.value(1))?,
        id: decode_instance_id(fields)?,
    })
}

/// Decodes a seed. A negative one stands for the unsigned number with the same bits.
fn decode_seed(value: &Value) -> Result<u64, WireError> {
    let signed = || value.as_i64().map(|seed| seed as u64);
    value.as_u64().or_else(signed).ok_or(WireError::NotANumber("seed"))
}

impl InstanceLine {
    /// Decodes the message; `base_time` is that of the instance.
    pub fn decode(&self, base_time: f64) -> Result<InstanceMessage, WireError> {
        let fields = Fields(&self.fields);
        let event = match self.name.as_str() {
            "members" => return decode_endpoint_update(fields),
            "arrival" => Event::Request(decode_request(fields)?),
            "done" => Event::AttemptFinished(decode_attempt_result(fields, base_time)?),
            "echo" => decode_health_check(fields, base_time)?,
            "accepted" => Event::ResponseStarted { id: fields.text(1, "corr")?.into() },
            "cancelledByClient" => Event::ClientDisconnected { id: fields.text(1, "corr")?.into() },
            "timeoutFired" => Event::Timer { cookie: fields.integer_or_zero(1, "cookie")? as u64 },
            other => return Err(WireError::UnknownMessage(other.to_string())),
        };
        Ok(InstanceMessage::Event(event))
    }
}

fn decode_endpoint_update(fields: Fields) -> Result<InstanceMessage, WireError> {
    let kind = decode_update_kind(fields.text(1, "kind")?)?;
    let inventory = fields.integer_or_zero(3, "bank")? as InventoryId;
    Ok(InstanceMessage::EndpointsFromInventory { kind, inventory })
}

fn decode_update_kind(kind: &str) -> Result<UpdateKind, WireError> {
    match kind {
        "INCREMENTAL" => Ok(UpdateKind::Delta),
        "FULL" => Ok(UpdateKind::Snapshot),
        "SAVED" => Ok(UpdateKind::Cached),
        "FAILED" => Ok(UpdateKind::WatchFailed),
        other => Err(WireError::UnknownUpdateKind(other.to_string())),
    }
}

fn decode_request(fields: Fields) -> Result<Request, WireError> {
    let options = fields.integer_or_zero(6, "opts")?;
    let token_age = fields.number_or_zero(3, "tokenAgeMs")? / MILLIS_PER_SECOND;
    let predicted_work = fields.value(7).as_f64();
    Ok(Request {
        id: fields.text(1, "corr")?.into(),
        timeout: Span::from_secs(fields.number(2, "expiresIn")?),
        session_token_age: Some(token_age).filter(|age| *age > 0.0).map(Span::from_secs),
        session: fields.value(4).as_str().map(Arc::from),
        tenant: fields.integer_or_zero(5, "realm")? as usize,
        predicted_work: predicted_work.filter(|_| options & OPTION_PREDICTED_WORK != 0).map(Span::from_secs),
        class: fields.integer_or_zero(8, "tierClass")? as usize,
        group: fields.integer_or_zero(9, "clusterNo")? as u32,
    })
}

fn decode_attempt_result(fields: Fields, base_time: f64) -> Result<AttemptResult, WireError> {
    let position_and_role = fields.integer_or_zero(2, "posRole")?;
    Ok(AttemptResult {
        id: fields.text(1, "corr")?.into(),
        endpoint: fields.text(3, "member")?.into(),
        request_finished: fields.flag(4),
        elapsed: Span::from_secs(fields.number_or_zero(5, "costTime")?),
        attempt: fields.integer_or_zero(6, "sendNo")? as usize,
        outcome: decode_outcome(fields.integer_or_zero(7, "result")?)?,
        log_position: decode_log_position(position_and_role, base_time),
        role: decode_role(position_and_role),
        report: decode_load_report(fields.value(8), base_time),
    })
}

fn decode_log_position(position_and_role: i64, base_time: f64) -> Option<LogPosition> {
    let millis = position_and_role >> ROLE_BITS;
    (millis > 0).then(|| LogPosition::from_secs(base_time + millis as f64 / MILLIS_PER_SECOND))
}

/// Whether the endpoint answered as the primary; `None` where it did not tell.
fn decode_role(position_and_role: i64) -> Option<Role> {
    match position_and_role & ROLE_MASK {
        ROLE_PRIMARY => Some(Role::Primary),
        ROLE_REPLICA => Some(Role::Replica),
        _ => None,
    }
}

fn decode_health_check(fields: Fields, base_time: f64) -> Result<Event, WireError> {
    Ok(Event::HealthChecked {
        endpoint: fields.text(1, "member")?.into(),
        outcome: decode_outcome(fields.integer_or_zero(2, "result")?)?,
        report: decode_load_report(fields.value(4), base_time),
    })
}

fn decode_load_report(report: &Value, base_time: f64) -> LoadReport {
    LoadReport {
        log_position: report["x0"].as_f64().map(|position| LogPosition::from_secs(base_time + position)),
        role: report["x1"].as_f64().map(|flag| role_of(flag == 1.0)),
    }
}

fn decode_outcome(code: i64) -> Result<Outcome, WireError> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Success,
        2 => Outcome::Overloaded,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::ConnectionReset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        8 => Outcome::Ineligible,
        other => return Err(WireError::UnknownOutcome(other)),
    })
}

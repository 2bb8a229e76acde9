//! Decoding of messages to policy instances.

use std::sync::Arc;

use pg_pooler::interface::{Event, Request, RequestId, UpdateKind};
use pg_pooler::time::Span;
use serde_json::Value;

use super::{endpoints, results, MILLIS_PER_SECOND};
use crate::wire::fields::Fields;
use crate::wire::names::{request_option, InstanceMessageName, UpdateResult};
use crate::wire::{layout, BaseTime, InstanceId, InventoryId, WireError};

/// A line for one instance. Its log positions can only be decoded with the base time of the instance.
pub struct InstanceLine {
    /// The instance that the line is for.
    pub instance: InstanceId,
    name: InstanceMessageName,
    values: Vec<Value>,
}

/// An event for one instance, whose endpoints may still have to be looked up.
pub enum DecodedEvent {
    /// An update of the endpoint list with the endpoints of an inventory.
    EndpointsFromInventory { kind: UpdateKind, inventory: InventoryId },
    /// An event that refers to no inventory.
    Complete(Event),
}

impl InstanceLine {
    /// Creates a line whose values are not decoded yet.
    pub(super) fn new(instance: InstanceId, name: InstanceMessageName, values: Vec<Value>) -> InstanceLine {
        InstanceLine { instance, name, values }
    }

    /// Decodes the event; `base_time` is that of the instance. Fails if a field has the wrong type or an
    /// unknown value.
    pub fn decode(&self, base_time: BaseTime) -> Result<DecodedEvent, WireError> {
        let fields = Fields(&self.values);
        let event = match self.name {
            // The update only refers to an inventory, which the caller has to look up.
            InstanceMessageName::EndpointsUpdated => {
                return Ok(match endpoints::decode_update(fields)? {
                    (UpdateResult::Failed, _) => DecodedEvent::Complete(Event::WatchFailed),
                    (UpdateResult::Received(kind), inventory) => {
                        DecodedEvent::EndpointsFromInventory { kind, inventory }
                    }
                });
            }
            InstanceMessageName::RequestReceived => Event::Request(decode_request(fields)?),
            InstanceMessageName::AttemptFinished => {
                Event::AttemptFinished(results::decode_attempt_result(fields, base_time)?)
            }
            InstanceMessageName::HealthCheckFinished => results::decode_health_check(fields, base_time)?,
            InstanceMessageName::ResponseStarted => Event::ResponseStarted { id: decode_request_id(fields)? },
            InstanceMessageName::ClientDisconnected => {
                Event::ClientDisconnected { id: decode_request_id(fields)? }
            }
            InstanceMessageName::TimerExpired => Event::TimerExpired { cookie: decode_cookie(fields)? },
        };
        Ok(DecodedEvent::Complete(event))
    }
}

/// Decodes the identifier of the request that a message refers to.
pub(super) fn decode_request_id(fields: Fields) -> Result<RequestId, WireError> {
    Ok(fields.string(layout::REQUEST_ID)?.into())
}

fn decode_cookie(fields: Fields) -> Result<u64, WireError> {
    Ok(fields.integer_or_zero(layout::timer::COOKIE)? as u64)
}

fn decode_request(fields: Fields) -> Result<Request, WireError> {
    let options = fields.integer_or_zero(layout::request::OPTIONS)?;
    let session_token_age = decode_session_token_age(fields)?;
    let predicted_work = fields.value(layout::request::PREDICTED_WORK).as_f64();
    Ok(Request {
        id: decode_request_id(fields)?,
        timeout: Span::from_secs(fields.number(layout::request::TIMEOUT)?),
        session_token_age,
        session: fields.value(layout::request::SESSION).as_str().map(Arc::from),
        tenant: fields.integer_or_zero(layout::request::TENANT)? as usize,
        predicted_work: predicted_work
            .filter(|_| options & request_option::PREDICTED_WORK != 0)
            .map(Span::from_secs),
        class: fields.integer_or_zero(layout::request::CLASS)? as usize,
        group: fields.integer_or_zero(layout::request::GROUP)? as u32,
    })
}

/// Decodes the age of the session's last write, or returns `None` if the client sent no session token.
fn decode_session_token_age(fields: Fields) -> Result<Option<Span>, WireError> {
    let age = fields.number_or_zero(layout::request::SESSION_TOKEN_AGE)? / MILLIS_PER_SECOND;
    Ok((age > 0.0).then_some(Span::from_secs(age)))
}

//! Decoding of inventories of endpoints and of endpoint list updates.

use pg_pooler::interface::{Endpoint, EndpointStatus, Role};
use pg_pooler::time::ClusterInstant;
use serde_json::Value;

use crate::wire::fields::Fields;
use crate::wire::names::UpdateResult;
use crate::wire::{layout, names, InventoryId, WireError};

/// Decodes the entries of an inventory. Fails if any entry is malformed.
pub fn decode_endpoints(entries: &[Value]) -> Result<Vec<Endpoint>, WireError> {
    entries.iter().map(decode_endpoint).collect()
}

fn decode_endpoint(entry: &Value) -> Result<Endpoint, WireError> {
    let fields = Fields(entry.as_array().ok_or(WireError::EntryNotAnArray)?);
    Ok(Endpoint {
        id: fields.string(layout::endpoint::ID)?.into(),
        zone: fields.integer_or_zero(layout::endpoint::ZONE)? as u32,
        group: fields.integer_or_zero(layout::endpoint::GROUP)? as u32,
        status: decode_status(fields)?,
        started_at: decode_start(fields)?,
        role: Role::primary_if(names::is_set(fields.number_or_zero(layout::endpoint::IS_PRIMARY)?)),
    })
}

/// Decodes when an endpoint last started, or returns `None` if it started long ago.
fn decode_start(fields: Fields) -> Result<Option<ClusterInstant>, WireError> {
    let started_at = fields.number_or_zero(layout::endpoint::STARTED_AT)?;
    Ok((started_at > 0.0).then_some(ClusterInstant::from_secs(started_at)))
}

fn decode_status(fields: Fields) -> Result<EndpointStatus, WireError> {
    let status = fields.string(layout::endpoint::STATUS)?;
    names::endpoint_status(status).ok_or_else(|| WireError::UnknownStatus(status.to_string()))
}

/// Decodes the result of an endpoint list update, and the identifier of the inventory with its endpoints.
pub fn decode_update(fields: Fields) -> Result<(UpdateResult, InventoryId), WireError> {
    let result = decode_update_result(fields)?;
    let inventory = fields.integer_or_zero(layout::endpoint_update::INVENTORY)? as InventoryId;
    Ok((result, inventory))
}

fn decode_update_result(fields: Fields) -> Result<UpdateResult, WireError> {
    let kind = fields.string(layout::endpoint_update::KIND)?;
    names::update_result(kind).ok_or_else(|| WireError::UnknownUpdateKind(kind.to_string()))
}

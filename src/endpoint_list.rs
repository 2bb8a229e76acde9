//! The JSON format of the endpoint list, which service discovery sends and the configuration file caches.
//!
//! No other module uses the keys of this format or the values of its text fields.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::Deserialize;

use crate::interface::{EndpointId, EndpointStatus, Role};
use crate::json::lenient;
use crate::time::ClusterInstant;

/// The address of a removed endpoint whose list entry has no valid address.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The value of `access` for the primary of a group.
const PRIMARY_ACCESS: &str = "writer";

const MILLIS_PER_SECOND: f64 = 1000.0;

/// A snapshot of the endpoint list, or a delta to an earlier version of it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(try_from = "RawEndpointList")]
pub(crate) struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// Whether this is a snapshot, which contains every endpoint. A delta contains those that have changed.
    pub is_snapshot: bool,
    /// Whether every entry was valid. An endpoint that is missing from an incomplete list is not known to be
    /// removed.
    pub is_complete: bool,
    /// The valid entries.
    pub endpoints: Vec<ListedEndpoint>,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct ListedEndpoint {
    /// Its name, which the policy uses as its identifier.
    pub name: EndpointId,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The number of its replica group.
    pub group: u32,
    /// Whether it accepts requests.
    pub status: EndpointStatus,
    /// When it last started; `None` if that was long ago, for which the list has 0 or no value.
    pub started_at: Option<ClusterInstant>,
    /// Its role according to the list.
    pub role: Role,
}

/// The whole endpoint list is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum EndpointListError {
    /// The version of the list is missing or has another type.
    #[error("'index' is not a number")]
    MissingVersion,
    /// The array of entries is missing or has another type.
    #[error("'endpoints' is not an array")]
    MissingEndpoints,
}

/// The JSON format of an endpoint list.
#[derive(Deserialize)]
struct RawEndpointList {
    #[serde(rename = "index", default, deserialize_with = "lenient::value")]
    version: Option<f64>,
    #[serde(rename = "snapshot", default, deserialize_with = "lenient::value")]
    is_snapshot: bool,
    #[serde(rename = "endpoints", default, deserialize_with = "lenient::list")]
    entries: Option<Vec<RawEndpoint>>,
}

/// The JSON format of an entry.
#[derive(Default, Deserialize)]
struct RawEndpoint {
    #[serde(default, deserialize_with = "lenient::value")]
    name: Option<String>,
    #[serde(default, deserialize_with = "lenient::value")]
    address: Option<String>,
    #[serde(default, deserialize_with = "lenient::value")]
    zone: Option<String>,
    #[serde(default, deserialize_with = "lenient::value")]
    group: Option<f64>,
    #[serde(default, deserialize_with = "lenient::value")]
    status: Option<String>,
    #[serde(rename = "since_ms", default, deserialize_with = "lenient::value")]
    started_at_millis: Option<f64>,
    #[serde(default, deserialize_with = "lenient::value")]
    access: Option<String>,
}

impl TryFrom<RawEndpointList> for EndpointList {
    type Error = EndpointListError;

    /// Omits invalid entries and marks the list as incomplete if there are any. Fails if the version or the
    /// array of entries is missing.
    fn try_from(raw: RawEndpointList) -> Result<Self, Self::Error> {
        let entries = raw.entries.ok_or(EndpointListError::MissingEndpoints)?;
        let version = raw.version.ok_or(EndpointListError::MissingVersion)?;
        let entry_count = entries.len();
        let endpoints: Vec<ListedEndpoint> = entries.into_iter().filter_map(RawEndpoint::decode).collect();
        Ok(EndpointList {
            version: version as u64,
            is_snapshot: raw.is_snapshot,
            is_complete: endpoints.len() == entry_count,
            endpoints,
        })
    }
}

impl RawEndpoint {
    /// Returns `None` if a required field is missing or invalid.
    fn decode(self) -> Option<ListedEndpoint> {
        let status = decode_status(&self.status?)?;
        Some(ListedEndpoint {
            name: self.name?.into(),
            address: decode_address(self.address.as_deref(), status)?,
            zone: self.zone?,
            group: self.group? as u32,
            status,
            started_at: self.started_at_millis.and_then(decode_started_at),
            role: Role::primary_if(self.access.as_deref() == Some(PRIMARY_ACCESS)),
        })
    }
}

fn decode_status(text: &str) -> Option<EndpointStatus> {
    Some(match text {
        "SERVING" => EndpointStatus::Serving,
        "DRAINING" => EndpointStatus::Draining,
        "DELETED" => EndpointStatus::Removed,
        _ => return None,
    })
}

/// Decodes a start time in Unix milliseconds. Returns `None` for 0.
fn decode_started_at(millis: f64) -> Option<ClusterInstant> {
    let seconds = millis / MILLIS_PER_SECOND;
    (seconds != 0.0).then_some(ClusterInstant::from_secs(seconds))
}

/// Decodes an address. A removed endpoint needs no valid address: its removal must take effect all the same.
fn decode_address(text: Option<&str>, status: EndpointStatus) -> Option<SocketAddr> {
    let address = text.and_then(|text| text.parse().ok());
    if status == EndpointStatus::Removed {
        return address.or(Some(NO_ADDRESS));
    }
    address
}

#[cfg(test)]
mod tests;

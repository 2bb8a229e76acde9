//! The endpoint list as service discovery sends it and as the configuration caches it.
//!
//! This is the one place that knows the names of its JSON fields and the texts in them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::Deserialize;

use crate::interface::{EndpointId, EndpointStatus, Role};
use crate::json::lenient;
use crate::time::ClusterInstant;

/// Stands for the address of a removed endpoint that has none any more.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The access that an endpoint offers if it is the primary of its group.
const PRIMARY_ACCESS: &str = "writer";

const MILLIS_PER_SECOND: f64 = 1000.0;

/// A message of service discovery: a snapshot of the endpoint list, or a delta.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(try_from = "RawEndpointList")]
pub(crate) struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// Whether it is a snapshot, with every endpoint; a delta has those that have changed.
    pub is_snapshot: bool,
    /// Whether every entry could be read. What a list lacks that is not complete is unknown, not removed.
    pub is_complete: bool,
    /// The entries that could be read.
    pub endpoints: Vec<ListedEndpoint>,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct ListedEndpoint {
    /// Its name, by which the policy identifies it.
    pub name: EndpointId,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The number of its replica group.
    pub group: u32,
    /// Whether it takes requests.
    pub status: EndpointStatus,
    /// When it last started; `None` for long ago, which the list says with 0 or not at all.
    pub started_at: Option<ClusterInstant>,
    /// The role that the list gives it.
    pub role: Role,
}

/// Why an endpoint list cannot be used at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum EndpointListError {
    /// The list has no version.
    #[error("'index' is not a number")]
    NoIndex,
    /// The list has no entries, not even an empty array of them.
    #[error("'endpoints' is not an array")]
    NoEndpoints,
}

/// An endpoint list in its JSON form.
#[derive(Deserialize)]
struct RawEndpointList {
    #[serde(rename = "index", default, deserialize_with = "lenient::value")]
    version: Option<f64>,
    #[serde(rename = "snapshot", default, deserialize_with = "lenient::value")]
    is_snapshot: bool,
    #[serde(rename = "endpoints", default, deserialize_with = "lenient::list")]
    entries: Option<Vec<RawEndpoint>>,
}

/// An entry of an endpoint list in its JSON form.
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

    /// Leaves out entries that cannot be read; the list is not complete then. Fails where the list has no
    /// version or no entries.
    fn try_from(raw: RawEndpointList) -> Result<Self, Self::Error> {
        let entries = raw.entries.ok_or(EndpointListError::NoEndpoints)?;
        let version = raw.version.ok_or(EndpointListError::NoIndex)?;
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
    /// Returns the entry, or `None` where a required field is missing or cannot be read.
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

/// Decodes a start time (Unix milliseconds). Returns `None` for 0.
fn decode_started_at(millis: f64) -> Option<ClusterInstant> {
    let seconds = millis / MILLIS_PER_SECOND;
    (seconds != 0.0).then_some(ClusterInstant::from_secs(seconds))
}

/// Decodes an address. A removed endpoint may have none: its removal has to be known all the same.
fn decode_address(text: Option<&str>, status: EndpointStatus) -> Option<SocketAddr> {
    let address = text.and_then(|text| text.parse().ok());
    if status == EndpointStatus::Removed {
        return address.or(Some(NO_ADDRESS));
    }
    address
}

#[cfg(test)]
mod tests;

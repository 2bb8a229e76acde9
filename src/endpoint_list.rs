//! The endpoint list as service discovery sends it and as the configuration caches it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::Deserialize;

use crate::interface::{EndpointId, EndpointStatus};
use crate::json::lenient;

/// Stands for the address of a removed endpoint that has none any more.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// A message of discovery: the list of database hosts, or what has changed in it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(try_from = "RawEndpointList")]
pub(crate) struct EndpointList {
    /// The version of the list.
    pub index: u64,
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// Whether every entry could be read.
    pub complete: bool,
    /// The entries that could be read.
    pub endpoints: Vec<ListedEndpoint>,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct ListedEndpoint {
    /// The name by which the policy knows it.
    pub name: EndpointId,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The number of its replica group.
    pub group: u32,
    /// Whether it takes requests.
    pub status: EndpointStatus,
    /// When it last started (Unix seconds); 0 means long ago.
    pub started_at: f64,
    /// Whether the list names it as its group's primary.
    pub primary: bool,
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
    #[serde(default, deserialize_with = "lenient::value")]
    index: Option<f64>,
    #[serde(default, deserialize_with = "lenient::value")]
    snapshot: bool,
    #[serde(default, deserialize_with = "lenient::list")]
    endpoints: Option<Vec<RawEndpoint>>,
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
    #[serde(default, deserialize_with = "lenient::value")]
    since_ms: Option<f64>,
    #[serde(default, deserialize_with = "lenient::value")]
    access: Option<String>,
}

impl TryFrom<RawEndpointList> for EndpointList {
    type Error = EndpointListError;

    /// Leaves out entries that cannot be read; the list is not complete then.
    fn try_from(raw: RawEndpointList) -> Result<Self, Self::Error> {
        let entries = raw.endpoints.ok_or(EndpointListError::NoEndpoints)?;
        let index = raw.index.ok_or(EndpointListError::NoIndex)?;
        let entry_count = entries.len();
        let endpoints: Vec<ListedEndpoint> = entries.into_iter().filter_map(RawEndpoint::decode).collect();
        Ok(EndpointList {
            index: index as u64,
            snapshot: raw.snapshot,
            complete: endpoints.len() == entry_count,
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
            started_at: self.since_ms.unwrap_or(0.0) / 1000.0,
            primary: self.access.as_deref() == Some("writer"),
        })
    }
}

fn decode_status(text: &str) -> Option<EndpointStatus> {
    match text {
        "SERVING" => Some(EndpointStatus::Serving),
        "DRAINING" => Some(EndpointStatus::Draining),
        "DELETED" => Some(EndpointStatus::Removed),
        _ => None,
    }
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

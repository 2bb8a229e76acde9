//! The endpoint list as discovery sends it and as the configuration caches it.

use std::net::SocketAddr;

use crate::interface::{EndpointId, EndpointStatus};

/// A message of discovery: the list of database hosts, or what has changed in it.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointList {
    /// The version of the list.
    pub index: u64,
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// Whether every entry could be read.
    pub complete: bool,
    pub endpoints: Vec<ListedEndpoint>,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct ListedEndpoint {
    pub name: EndpointId,
    pub address: SocketAddr,
    pub zone: String,
    pub group: u32,
    pub status: EndpointStatus,
    /// When it last started (Unix seconds); 0 means long ago.
    pub started_at: f64,
    /// Whether the list names it as its group's primary.
    pub primary: bool,
}

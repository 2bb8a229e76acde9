//! The discovery service, which serves the endpoint list over HTTP.

use std::fmt;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use super::{listen_on_loopback, EVENT_TIMEOUT};

/// The head of a response whose body follows in chunks.
pub const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One database host of the endpoint list. Displays as JSON.
pub struct EndpointEntry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Such as `SERVING` or `DRAINING`.
    pub status: &'static str,
    /// `writer` for the primary, `reader` for a replica, if the list tells.
    pub access: Option<&'static str>,
    /// The group that the host belongs to.
    pub group: u32,
    /// When it last started, in milliseconds since the Unix epoch; 0 for long ago.
    pub since_ms: i64,
}

impl EndpointEntry {
    /// Sets the status, such as `DRAINING`.
    pub fn with_status(self, status: &'static str) -> EndpointEntry {
        EndpointEntry { status, ..self }
    }

    /// Sets the group.
    pub fn with_group(self, group: u32) -> EndpointEntry {
        EndpointEntry { group, ..self }
    }

    /// Sets when the host last started.
    pub fn with_start_time(self, since_ms: i64) -> EndpointEntry {
        EndpointEntry { since_ms, ..self }
    }

    /// Marks the host as the primary (`writer`) or as a replica (`reader`).
    pub fn with_access(self, access: &'static str) -> EndpointEntry {
        EndpointEntry { access: Some(access), ..self }
    }
}

impl fmt::Display for EndpointEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let EndpointEntry { name, address, zone, status, access, group, since_ms } = self;
        let access = access.map(|access| format!(r#""access":"{access}","#)).unwrap_or_default();
        write!(
            f,
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"m2","group":{group},"status":"{status}","weight":1.0,{access}"since_ms":{since_ms}}}"#
        )
    }
}

/// A list of the discovery service. Displays as JSON.
pub struct EndpointList {
    /// The version of the list, from which the next watch continues.
    pub index: u64,
    /// Whether hosts that are not in the list have been removed. Otherwise the list holds changes only.
    pub snapshot: bool,
    pub entries: Vec<EndpointEntry>,
}

impl EndpointList {
    /// A complete list.
    pub fn snapshot(index: u64, entries: impl Into<Vec<EndpointEntry>>) -> EndpointList {
        EndpointList { index, snapshot: true, entries: entries.into() }
    }

    /// Changes since an earlier list.
    pub fn update(index: u64, entries: impl Into<Vec<EndpointEntry>>) -> EndpointList {
        EndpointList { index, snapshot: false, entries: entries.into() }
    }
}

impl fmt::Display for EndpointList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let EndpointList { index, snapshot, entries } = self;
        let entries: Vec<String> = entries.iter().map(EndpointEntry::to_string).collect();
        write!(f, r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
    }
}

/// The service, which accepts the calls of the pooler.
pub struct DiscoveryService {
    listener: TcpListener,
}

impl DiscoveryService {
    /// Starts to listen on a free port.
    pub fn new() -> DiscoveryService {
        DiscoveryService { listener: listen_on_loopback() }
    }

    /// The address that the configuration of the pooler names.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts the next call and reads the head of its request.
    pub fn accept(&self) -> Watch {
        self.next_watch().expect("the pooler calls")
    }

    /// The next call, of which the head is read; none if there is none for a long time, or it breaks.
    pub fn next_watch(&self) -> Option<Watch> {
        let (mut stream, _) = self.listener.accept().ok()?;
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).unwrap();
        Some(Watch { stream, request_line: head.lines().next().unwrap().to_string() })
    }
}

/// A call of the pooler that waits for the endpoint list and its changes.
pub struct Watch {
    /// The socket, for tests that read it or send in the background.
    pub stream: TcpStream,
    /// The first line of the request.
    pub request_line: String,
}

impl Watch {
    /// Sends all of `bytes`.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends the head of the response and one line of JSON as a single chunk.
    pub fn send_json(&mut self, json: &str) {
        let line = format!("{json}\n");
        self.send(&[CHUNKED_HEAD.as_bytes(), &chunk(line.as_bytes())].concat());
    }

    /// Sends the head of the response and the list.
    pub fn send_list(&mut self, list: &EndpointList) {
        self.send_json(&list.to_string());
    }

    /// Requires that the pooler has asked for changes since this index.
    #[track_caller]
    pub fn expect_since(&self, index: u64) {
        let line = &self.request_line;
        assert!(line.contains(&format!("follow=1&since={index} ")), "{line}");
    }
}

/// One chunk of a body in chunks.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// `bytes` split into chunks of `size`.
pub fn chunks_of(bytes: &[u8], size: usize) -> Vec<u8> {
    bytes.chunks(size).flat_map(chunk).collect()
}

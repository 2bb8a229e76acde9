//! A scripted discovery service, which serves the endpoint list over HTTP.

use std::fmt;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use super::{listen_on_loopback, EVENT_TIMEOUT};

/// The head of a response with a chunked body.
pub const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One database host in the endpoint list. Formatted as JSON.
#[derive(Clone)]
pub struct EndpointEntry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub status: &'static str,
    /// `writer` for the primary, `reader` for a replica, `None` if the list omits the field.
    pub access: Option<&'static str>,
    /// The group of database hosts that it belongs to.
    pub group: u32,
    /// When it last started, in milliseconds since the Unix epoch. 0 means long ago.
    pub since_ms: i64,
}

impl EndpointEntry {
    /// Sets the status, such as `DRAINING`.
    pub fn with_status(self, status: &'static str) -> EndpointEntry {
        EndpointEntry { status, ..self }
    }

    pub fn with_group(self, group: u32) -> EndpointEntry {
        EndpointEntry { group, ..self }
    }

    /// Sets the time of the host's last start.
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

/// A list that the discovery service sends. Formatted as JSON.
pub struct EndpointList {
    /// The version of the list. The next watch requests the changes since this version.
    pub index: u64,
    /// Whether the list is complete, so that hosts missing from it are removed. Otherwise it holds only the
    /// changes.
    pub snapshot: bool,
    pub entries: Vec<EndpointEntry>,
}

impl EndpointList {
    /// Creates a complete list.
    pub fn snapshot(index: u64, entries: impl Into<Vec<EndpointEntry>>) -> EndpointList {
        EndpointList { index, snapshot: true, entries: entries.into() }
    }

    /// Creates a list of changes since an earlier list.
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

/// The service, which accepts the watches of the pooler.
pub struct DiscoveryService {
    listener: TcpListener,
}

impl DiscoveryService {
    /// Starts listening on a free port.
    pub fn new() -> DiscoveryService {
        DiscoveryService { listener: listen_on_loopback() }
    }

    /// Returns the address for the configuration of the pooler.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts the next watch and reads the head of its request.
    pub fn accept(&self) -> Watch {
        self.next_watch().expect("the pooler opened no watch")
    }

    /// Accepts the next watch and reads the head of its request. Skips connections that fail before. Returns
    /// `None` if there is no watch within [`EVENT_TIMEOUT`].
    pub fn next_watch(&self) -> Option<Watch> {
        loop {
            let (stream, _) = self.listener.accept().ok()?;
            if let Some(watch) = Watch::read_request(stream) {
                return Some(watch);
            }
        }
    }
}

/// A request of the pooler for the endpoint list and its changes.
pub struct Watch {
    /// The socket, for tests that read from it or send in the background.
    pub stream: TcpStream,
    /// The first line of the request.
    pub request_line: String,
}

impl Watch {
    /// Reads the head of the request. Returns `None` if the connection fails before.
    pub fn read_request(mut stream: TcpStream) -> Option<Watch> {
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

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends the head of the response and one line of JSON as a single chunk.
    pub fn send_json(&mut self, json: &str) {
        self.send(&response_with_line(json));
    }

    /// Sends the head of the response and the list as a single chunk.
    pub fn send_list(&mut self, list: &EndpointList) {
        self.send_json(&list.to_string());
    }

    /// Asserts that the pooler requests changes since this index.
    #[track_caller]
    pub fn expect_since(&self, index: u64) {
        let line = &self.request_line;
        assert!(line.contains(&format!("follow=1&since={index} ")), "{line}");
    }
}

/// Returns the head of a response and one line of its body as a single chunk.
pub fn response_with_line(line: impl fmt::Display) -> Vec<u8> {
    [CHUNKED_HEAD.as_bytes(), &line_chunk(line)].concat()
}

/// Encodes one line of a chunked body as a single chunk.
pub fn line_chunk(line: impl fmt::Display) -> Vec<u8> {
    chunk(format!("{line}\n").as_bytes())
}

/// Encodes one chunk of a chunked body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Encodes `bytes` as chunks of at most `size` bytes each.
pub fn chunks_of(bytes: &[u8], size: usize) -> Vec<u8> {
    bytes.chunks(size).flat_map(chunk).collect()
}

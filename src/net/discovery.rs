//! Discovery's side: one watch on the list of database hosts, over HTTP/1.1.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use mio::net::TcpStream;
use mio::Interest;

use super::buffer::{MemoryBudget, ReadStatus, RingBuffer};
use super::reactor::{ConnectionId, ConnectionTable, EventSource, TimerEvent};
use super::{Context, Event};
use crate::config::{json, Node, DEEPEST};
use crate::endpoint_list::{EndpointList, ListedEndpoint};
use crate::interface::{EndpointStatus, UpdateKind};

const PATH: &str = "/catalog/members";
/// What a watch misses counts as told 6 s after it fell silent. So one that says nothing for so long is given up
/// (seconds; an empty line is due every 2 s) ...
const SILENCE: f64 = 2.8;
/// ... and so is a call whose head does not come, which the agent would send at once, ...
const OPENING: f64 = 1.0;
/// ... and one on which a list has begun and does not end.
const LISTING: f64 = 2.8;
/// Most header fields of an answer that are looked at.
const FIELDS: usize = 32;
/// Longest head of an answer, longest line that gives a chunk's size, and longest list.
const LONGEST_HEAD: usize = 8 * 1024;
const LONGEST_SIZE: usize = 256;
const LONGEST_LIST: usize = 1024 * 1024;

const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Where in the answer the next byte stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Head,
    Size,
    /// So many bytes of a chunk are still to come.
    Chunk(u64),
    /// The line end behind a chunk.
    End,
}

/// The watch is of no further use; why, for the log.
type WatchError = &'static str;

/// Something whole that has come over a watch.
#[derive(Debug, PartialEq, Eq)]
enum Update {
    /// Nothing has changed.
    Heartbeat,
    /// The text of a list.
    List(Vec<u8>),
}

/// Decodes what comes over a watch: lists, which may be indented over many lines, and empty lines.
#[derive(Default)]
struct Decoder {
    list: Vec<u8>,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Decoder {
    fn take(&mut self, bytes: &[u8], updates: &mut Vec<Update>) -> Result<(), WatchError> {
        for byte in bytes {
            if self.depth == 0 && *byte != b'{' {
                match byte {
                    b'\n' => updates.push(Update::Heartbeat),
                    b' ' | b'\t' | b'\r' => {}
                    _ => return Err("a line that is no list"),
                }
                continue;
            }
            self.list.push(*byte);
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                b'{' | b'[' if !self.quoted => self.depth += 1,
                b'}' | b']' if !self.quoted => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                updates.push(Update::List(std::mem::take(&mut self.list)));
            } else if self.depth > DEEPEST || self.list.len() > LONGEST_LIST {
                return Err("a list too long or nested too deep");
            }
        }
        Ok(())
    }
}

struct Watch {
    stream: TcpStream,
    input: RingBuffer,
    output: RingBuffer,
    part: Part,
    decoder: Decoder,
    /// Whether any news, or word that there is none, has come over it.
    told: bool,
    heard: f64,
    /// Since when a list has been coming that is not whole yet.
    begun: Option<f64>,
}

impl Watch {
    /// When it has been silent for too long, if nothing comes until then.
    fn until(&self) -> f64 {
        match self.part {
            Part::Head => self.heard + OPENING,
            _ => self.begun.map_or(f64::INFINITY, |since| since + LISTING).min(self.heard + SILENCE),
        }
    }

    /// Reads and writes as far as it goes; what is whole.
    fn turn(&mut self, updates: &mut Vec<Update>) -> Result<(), WatchError> {
        if self.stream.peer_addr().is_err() {
            return match self.stream.take_error() {
                Ok(None) => Ok(()),
                _ => Err("no connection"),
            };
        }
        self.output.write_to(&mut self.stream).map_err(|_| "the connection broke")?;
        loop {
            let fill = self.input.read_from(&mut self.stream).map_err(|_| "the connection broke")?;
            let before = self.input.len();
            while self.part(updates)? {}
            match fill {
                ReadStatus::EndOfStream => return Err("the watch ended"),
                ReadStatus::WouldBlock => return Ok(()),
                ReadStatus::Full if self.input.len() == before => return Err("an answer too long"),
                ReadStatus::Full => {}
            }
        }
    }

    /// Takes the next part of the answer; false when it is not all there.
    fn part(&mut self, updates: &mut Vec<Update>) -> Result<bool, WatchError> {
        match self.part {
            Part::Head => {
                let head = self.input.peek_up_to(LONGEST_HEAD);
                let mut fields = [httparse::EMPTY_HEADER; FIELDS];
                let mut response = httparse::Response::new(&mut fields);
                match response.parse(&head) {
                    Ok(httparse::Status::Complete(length)) => {
                        let field = |name: &str| {
                            let mut fields = response.headers.iter();
                            fields
                                .find(|field| field.name.eq_ignore_ascii_case(name))
                                .map(|field| field.value)
                        };
                        let coding = field("transfer-encoding");
                        let chunked = coding.is_some_and(|coding| coding.eq_ignore_ascii_case(b"chunked"));
                        let sized = field("content-length").is_some() || coding.is_some();
                        if response.code != Some(200) || !chunked && sized {
                            return Err("the call was turned down");
                        }
                        // What has no length goes on until the connection ends.
                        self.part = if chunked { Part::Size } else { Part::Chunk(u64::MAX) };
                        self.input.skip(length);
                        Ok(true)
                    }
                    Ok(httparse::Status::Partial) if head.len() < LONGEST_HEAD => Ok(false),
                    _ => Err("not HTTP"),
                }
            }
            Part::Size => {
                let size = self.input.peek_up_to(LONGEST_SIZE);
                match httparse::parse_chunk_size(&size) {
                    Ok(httparse::Status::Complete((_, 0))) => Err("the watch ended"),
                    Ok(httparse::Status::Complete((length, size))) => {
                        self.input.skip(length);
                        self.part = Part::Chunk(size);
                        Ok(true)
                    }
                    Ok(httparse::Status::Partial) if size.len() < LONGEST_SIZE => Ok(false),
                    _ => Err("not a chunk"),
                }
            }
            Part::Chunk(left) => {
                let bytes = self.input.take(usize::try_from(left).unwrap_or(usize::MAX));
                let left = left - bytes.len() as u64;
                self.part = if left == 0 { Part::End } else { Part::Chunk(left) };
                self.decoder.take(&bytes, updates)?;
                Ok(left == 0)
            }
            Part::End => match self.input.peek() {
                None => Ok(false),
                Some([b'\r', b'\n']) => {
                    self.input.skip(2);
                    self.part = Part::Size;
                    Ok(true)
                }
                Some(_) => Err("not a chunk"),
            },
        }
    }
}

/// The watch on the list, and how far it has come.
pub(crate) struct Discovery {
    address: SocketAddr,
    watches: ConnectionTable<Watch>,
    current: Option<ConnectionId>,
    budget: MemoryBudget,
    index: u64,
    /// What is wrong at present; logged when it changes, not with each call that fails.
    trouble: Option<WatchError>,
}

impl Discovery {
    /// Holds the list of that index, and no watch yet.
    pub fn new(address: SocketAddr, index: u64, budget: MemoryBudget) -> Discovery {
        Discovery { address, watches: ConnectionTable::new(), current: None, budget, index, trouble: None }
    }

    /// Watches the list at another address from now on; the watch that is open there is left as it is.
    pub fn move_to(&mut self, address: SocketAddr, context: &mut Context) {
        if std::mem::replace(&mut self.address, address) != address {
            // The versions of one service mean nothing to another: the whole list is asked for.
            self.index = 0;
            self.listen(context);
        }
    }

    /// Opens the watch from the list held, in place of one that may still be there.
    pub fn listen(&mut self, context: &mut Context) {
        if let Some(slot) = self.current.take() {
            self.watches.remove(slot);
        }
        let Ok(stream) = TcpStream::connect(self.address) else {
            return self.failed("no connection", context);
        };
        let (mut output, heard) = (RingBuffer::new(&self.budget), context.reactor.now());
        let (index, host) = (self.index, self.address);
        let request = format!(
            "GET {PATH}?follow=1&since={index} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
        );
        let pushed = output.push(request.as_bytes());
        let (input, decoder) = (RingBuffer::new(&self.budget), Decoder::default());
        let watch =
            Watch { stream, input, output, part: Part::Head, decoder, told: false, heard, begun: None };
        let slot = self.watches.insert(watch);
        self.current = Some(slot);
        let Some(watch) = self.watches.get_mut(slot) else { return };
        let (token, both) = (EventSource::Discovery(slot).into(), Interest::READABLE | Interest::WRITABLE);
        let registered = context.reactor.registry.register(&mut watch.stream, token, both);
        if pushed.is_err() || registered.is_err() {
            return self.failed("no connection", context);
        }
        context.reactor.set_timer(heard + OPENING, TimerEvent::Discovery(slot));
    }

    fn failed(&mut self, why: WatchError, context: &mut Context) {
        if let Some(slot) = self.current.take() {
            self.watches.remove(slot);
        }
        if self.trouble.replace(why) != Some(why) {
            tracing::warn!(error = %why, "endpoint watch failed");
        }
        context.events.push_back(Event::EndpointsUpdated(UpdateKind::WatchFailed, Vec::new()));
    }

    /// The watch may be read from or written to.
    pub fn ready(&mut self, slot: ConnectionId, context: &mut Context) {
        let Some(watch) = self.watches.get_mut(slot) else { return };
        let now = context.reactor.now();
        let (received, mut updates) = (watch.input.total_received(), Vec::new());
        let mut result = watch.turn(&mut updates);
        if watch.part != Part::Head && watch.input.total_received() > received {
            watch.heard = now;
        }
        if watch.decoder.depth == 0 {
            watch.begun = None;
        } else if watch.begun.is_none() || !updates.is_empty() {
            watch.begun = Some(now);
        }
        for update in updates {
            self.trouble = None;
            let Update::List(text) = update else {
                // Nothing has changed since the list held: that, too, answers the call.
                if !std::mem::replace(&mut watch.told, true) {
                    context.events.push_back(Event::EndpointsUpdated(UpdateKind::Delta, Vec::new()));
                }
                continue;
            };
            let value = std::str::from_utf8(&text).ok().and_then(|text| json(text).ok());
            // A list with an entry that cannot be read is not taken at all: what is left of a whole list
            // would say that the host is gone.
            let Some(endpoint_list) = value
                .and_then(|value| endpoint_list(Node::new(&value)))
                .filter(|endpoint_list| endpoint_list.complete)
            else {
                result = Err("a list that cannot be read");
                break;
            };
            (watch.told, self.index) = (true, endpoint_list.index);
            let kind = if endpoint_list.snapshot { UpdateKind::Snapshot } else { UpdateKind::Delta };
            context.events.push_back(Event::EndpointsUpdated(kind, endpoint_list.endpoints));
        }
        if let Err(why) = result {
            self.failed(why, context);
        }
    }

    /// Looks whether the watch has been silent for too long: one that is cut off would stay open for ever.
    pub fn timer_expired(&mut self, slot: ConnectionId, context: &mut Context) {
        // What has arrived by now still counts, though its event has not been taken up yet.
        self.ready(slot, context);
        let Some(watch) = self.watches.get_mut(slot) else { return };
        let until = watch.until();
        if context.reactor.now() >= until {
            self.failed("silent", context);
        } else {
            context.reactor.set_timer(until, TimerEvent::Discovery(slot));
        }
    }
}

/// Reads one message of the list; none where it is not of the agreed form. A single entry that cannot be
/// read is left out, and the message is not sound.
pub(crate) fn endpoint_list(root: Node) -> Option<EndpointList> {
    let entries = root.at("endpoints").items()?;
    let endpoints: Vec<ListedEndpoint> =
        entries.iter().filter_map(|entry| listed(Node::new(entry))).collect();
    Some(EndpointList {
        index: root.at("index").number()? as u64,
        snapshot: root.at("snapshot").flag(),
        complete: endpoints.len() == entries.len(),
        endpoints,
    })
}

fn listed(entry: Node) -> Option<ListedEndpoint> {
    let status = match entry.at("status").text()? {
        "SERVING" => EndpointStatus::Serving,
        "DRAINING" => EndpointStatus::Draining,
        "DELETED" => EndpointStatus::Removed,
        _ => return None,
    };
    let address = entry.at("address").text().and_then(|address| address.parse().ok());
    Some(ListedEndpoint {
        name: entry.at("name").text()?.into(),
        // One that is gone may have no address any more; it must be known to be gone all the same.
        address: address.or((status == EndpointStatus::Removed).then_some(NOWHERE))?,
        zone: entry.at("zone").text()?.to_string(),
        group: entry.at("group").number()? as u32,
        status,
        started_at: entry.at("since_ms").number().unwrap_or(0.0) / 1000.0,
        primary: entry.at("access").text() == Some("writer"),
    })
}

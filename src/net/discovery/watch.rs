//! One watch on the endpoint list: an HTTP request with an unbounded streaming response.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::Interest;

use super::error::WatchError;
use super::http_response::ResponseParser;
use super::list_splitter::{ListSplitter, WatchMessage};
use crate::net::buffer::{CapacityExceeded, MemoryBudget, ReadStatus, RingBuffer};
use crate::net::reactor::{ConnectionId, EventSource, Reactor, Resumption};

const PATH: &str = "/catalog/members";

// A change of the endpoint list must reach the pooler within 6 s, even if the current watch has stalled.
// These timeouts leave time within that limit to open another watch. While no response head comes, the policy
// opens another watch much earlier.

/// A watch on which nothing is received for this time is closed. Heartbeats are expected every 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2800);
/// A watch without a response head after this time is closed. The service may be slow.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// A watch is closed if a list that has begun is not complete after this time.
pub(super) const LIST_TIMEOUT: Duration = Duration::from_millis(2800);
/// As [`LIST_TIMEOUT`], for a watch that follows a failed one, since the service may be slow.
pub(super) const LIST_TIMEOUT_AFTER_FAILURE: Duration = Duration::from_secs(7);

/// Whether a cycle has read all input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CycleStatus {
    /// An event announces further input.
    Complete,
    /// The buffer was full: input is left in the socket that no event announces again.
    MoreInput,
}

/// The connection of a watch.
pub(super) struct WatchConnection {
    stream: TcpStream,
    input: RingBuffer,
    output: RingBuffer,
    response: ResponseParser,
    splitter: ListSplitter,
    /// When data was last received, or the watch was opened.
    last_received_at: Instant,
    /// When the current, incomplete list began.
    list_started_at: Option<Instant>,
    /// Time limit for a list that has begun.
    list_timeout: Duration,
    /// Scheduled if no event will announce the remaining input.
    next_cycle: Resumption,
}

impl WatchConnection {
    /// Creates a watch whose request has not been sent yet.
    pub fn new(
        stream: TcpStream,
        budget: &MemoryBudget,
        list_timeout: Duration,
        now: Instant,
    ) -> WatchConnection {
        WatchConnection {
            stream,
            input: RingBuffer::new(budget),
            output: RingBuffer::new(budget),
            response: ResponseParser::new(),
            splitter: ListSplitter::default(),
            last_received_at: now,
            list_started_at: None,
            list_timeout,
            next_cycle: Resumption::default(),
        }
    }

    /// Registers the socket for events.
    pub fn register(&mut self, id: ConnectionId, reactor: &mut Reactor) -> io::Result<()> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        reactor.register(&mut self.stream, EventSource::Discovery(id), interest)
    }

    /// Lets the reactor resume the watch, to read what a cycle has left in the socket.
    pub fn schedule_cycle(&mut self, id: ConnectionId, reactor: &mut Reactor) {
        self.next_cycle.schedule(EventSource::Discovery(id), reactor);
    }

    /// Returns `true` if the reactor will resume the watch.
    pub fn is_cycle_scheduled(&self) -> bool {
        self.next_cycle.is_scheduled()
    }

    /// Records that the reactor resumes the watch; the caller runs the cycle. Returns `true` if it was
    /// scheduled.
    pub fn take_scheduled_cycle(&mut self) -> bool {
        self.next_cycle.take()
    }

    /// Returns `true` if the service has begun to answer: the response head is complete and valid.
    pub fn has_response_head(&self) -> bool {
        self.response.has_head()
    }

    /// Adds the request for all changes since version `list_version` to the output buffer.
    pub fn request_changes(&mut self, list_version: u64, host: SocketAddr) -> Result<(), CapacityExceeded> {
        let request = format!(
            "GET {PATH}?follow=1&since={list_version} HTTP/1.1\r\nHost: {host}\r\n\
            Accept: application/json\r\n\r\n"
        );
        self.output.push(request.as_bytes())
    }

    /// Returns when the watch must be closed unless more data is received before.
    pub fn deadline(&self) -> Instant {
        if !self.response.has_head() {
            return self.last_received_at + RESPONSE_HEAD_TIMEOUT;
        }
        let idle_deadline = self.last_received_at + IDLE_TIMEOUT;
        match self.list_started_at {
            Some(started_at) => idle_deadline.min(started_at + self.list_timeout),
            None => idle_deadline,
        }
    }

    /// Reads at most one buffer and writes until the socket would block. Appends the received messages to
    /// `messages`, even if an error follows them.
    pub fn run_cycle(
        &mut self,
        now: Instant,
        messages: &mut Vec<WatchMessage>,
    ) -> Result<CycleStatus, WatchError> {
        let received_before = self.input.total_received();
        let result = self.transfer(messages);
        if self.response.has_head() && self.input.total_received() > received_before {
            self.last_received_at = now;
        }
        if !self.splitter.is_inside_list() {
            self.list_started_at = None;
        } else if self.list_started_at.is_none() || !messages.is_empty() {
            self.list_started_at = Some(now);
        }
        result
    }

    fn transfer(&mut self, messages: &mut Vec<WatchMessage>) -> Result<CycleStatus, WatchError> {
        if self.stream.peer_addr().is_err() {
            return match self.stream.take_error() {
                // The connection is still being established.
                Ok(None) => Ok(CycleStatus::Complete),
                _ => Err(WatchError::ConnectFailed),
            };
        }
        self.output.write_to(&mut self.stream).map_err(|_| WatchError::ConnectionLost)?;
        let status = self.input.read_from(&mut self.stream).map_err(|_| WatchError::ConnectionLost)?;
        let length_before = self.input.len();
        self.parse_input(messages)?;
        match status {
            ReadStatus::EndOfStream => Err(WatchError::Ended),
            ReadStatus::WouldBlock => Ok(CycleStatus::Complete),
            ReadStatus::Full if self.input.len() == length_before => Err(WatchError::ResponseTooLong),
            ReadStatus::Full => Ok(CycleStatus::MoreInput),
        }
    }

    fn parse_input(&mut self, messages: &mut Vec<WatchMessage>) -> Result<(), WatchError> {
        while let Some(data) = self.response.next_data(&mut self.input)? {
            self.splitter.push(&data, messages)?;
        }
        Ok(())
    }
}

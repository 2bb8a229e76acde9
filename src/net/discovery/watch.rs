//! One watch on the endpoint list: an HTTP request with an unbounded streaming response.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::Interest;

use super::error::WatchError;
use super::http_response::ResponseParser;
use super::list_splitter::{ListSplitter, WatchMessage};
use super::time_limits::{CLOSE_LIMIT, IDLE_LIMIT, LIST_LIMIT, OVERDUE_CHECK_INTERVAL, RESPONSE_HEAD_LIMIT};
use crate::net::buffer::{CapacityExceeded, MemoryBudget, ReadStatus, RingBuffer};
use crate::net::reactor::{ConnectionId, EventSource, Reactor, Resumption};

const PATH: &str = "/catalog/members";

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
    /// The version of the list when the watch was opened.
    requested_version: u64,
    opened_at: Instant,
    /// Whether the connection has been established.
    is_connected: bool,
    /// When the response head was received.
    answered_at: Option<Instant>,
    /// When data of the response was last received, or the watch was opened.
    last_received_at: Instant,
    /// When the current, incomplete list began.
    list_started_at: Option<Instant>,
    /// Whether the response, or its next message, is late.
    is_overdue: bool,
    /// Scheduled if no event will announce the remaining input.
    next_cycle: Resumption,
}

impl WatchConnection {
    /// Creates a watch of the changes since version `requested_version`. Its request is not sent yet.
    pub fn new(
        stream: TcpStream,
        budget: &MemoryBudget,
        requested_version: u64,
        now: Instant,
    ) -> WatchConnection {
        WatchConnection {
            stream,
            input: RingBuffer::new(budget),
            output: RingBuffer::new(budget),
            response: ResponseParser::new(),
            splitter: ListSplitter::default(),
            requested_version,
            opened_at: now,
            is_connected: false,
            answered_at: None,
            last_received_at: now,
            list_started_at: None,
            is_overdue: false,
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

    /// Returns the version of the list whose changes it requests.
    pub fn requested_version(&self) -> u64 {
        self.requested_version
    }

    /// Returns when the watch was opened.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns when data of the response was last received, or when the watch was opened.
    pub fn last_received_at(&self) -> Instant {
        self.last_received_at
    }

    /// Returns `true` if the service has begun to answer: the response head is complete and valid.
    pub fn is_answered(&self) -> bool {
        self.answered_at.is_some()
    }

    /// Returns how long the service took to begin its answer, or `None` if it has not.
    pub fn answer_time(&self) -> Option<Duration> {
        self.answered_at.map(|answered_at| answered_at - self.opened_at)
    }

    /// Returns `true` if the response, or its next message, was late and is still missing.
    pub fn is_overdue(&self) -> bool {
        self.is_overdue
    }

    /// Records that a message was received and accepted, so that the watch is not overdue any more.
    pub fn record_message(&mut self) {
        self.is_overdue = false;
    }

    /// Records that the watch is overdue if that is so. Returns `true` if it was not before.
    pub fn check_overdue(&mut self, now: Instant) -> bool {
        let has_become_overdue = !self.is_overdue && now >= self.overdue_at();
        self.is_overdue |= has_become_overdue;
        has_become_overdue
    }

    /// Returns `true` if the watch has to be closed. An unanswered one may stay open: it may still be waiting
    /// for its turn at the service.
    pub fn is_expired(&self, now: Instant) -> bool {
        self.is_answered() && now >= self.time_of(CLOSE_LIMIT, CLOSE_LIMIT)
    }

    /// Returns when the watch has to be checked next.
    pub fn next_check_at(&self, now: Instant) -> Instant {
        if self.is_overdue {
            now + OVERDUE_CHECK_INTERVAL
        } else {
            self.overdue_at()
        }
    }

    /// Returns when the watch becomes overdue unless more is received before.
    fn overdue_at(&self) -> Instant {
        match self.is_answered() {
            true => self.time_of(IDLE_LIMIT, LIST_LIMIT),
            false => self.opened_at + RESPONSE_HEAD_LIMIT,
        }
    }

    /// Returns when nothing has been received for `idle_limit`, or a list has been incomplete for
    /// `list_limit`.
    fn time_of(&self, idle_limit: Duration, list_limit: Duration) -> Instant {
        let idle_until = self.last_received_at + idle_limit;
        let list_limit_at = self.list_started_at.map(|started_at| started_at + list_limit);
        list_limit_at.map_or(idle_until, |at| at.min(idle_until))
    }

    /// Adds the request, for all changes since the requested version, to the output buffer.
    pub fn request_changes(&mut self, host: SocketAddr) -> Result<(), CapacityExceeded> {
        let request = format!(
            "GET {PATH}?follow=1&since={} HTTP/1.1\r\nHost: {host}\r\n\
            Accept: application/json\r\n\r\n",
            self.requested_version
        );
        self.output.push(request.as_bytes())
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
        if self.response.has_head() && !self.is_answered() {
            self.answered_at = Some(now);
            self.is_overdue = false;
        }
        if !self.splitter.is_inside_list() {
            self.list_started_at = None;
        } else if self.list_started_at.is_none() || !messages.is_empty() {
            self.list_started_at = Some(now);
        }
        result
    }

    fn transfer(&mut self, messages: &mut Vec<WatchMessage>) -> Result<CycleStatus, WatchError> {
        if !self.check_connected()? {
            return Ok(CycleStatus::Complete);
        }
        let written = self.output.write_to(&mut self.stream);
        // Data received before a reset is still processed.
        let read = self.input.read_from(&mut self.stream);
        let length_before = self.input.len();
        self.parse_input(messages)?;
        written.map_err(|_| WatchError::ConnectionLost)?;
        match read.map_err(|_| WatchError::ConnectionLost)? {
            ReadStatus::EndOfStream => Err(WatchError::Ended),
            ReadStatus::WouldBlock => Ok(CycleStatus::Complete),
            ReadStatus::Full if self.input.len() == length_before => Err(WatchError::ResponseTooLong),
            ReadStatus::Full => Ok(CycleStatus::MoreInput),
        }
    }

    /// Returns `true` if the connection has been established. One that was reset afterwards counts as well.
    fn check_connected(&mut self) -> Result<bool, WatchError> {
        if !self.is_connected && self.stream.peer_addr().is_err() {
            return match self.stream.take_error() {
                Ok(None) => Ok(false),
                _ => Err(WatchError::ConnectFailed),
            };
        }
        self.is_connected = true;
        Ok(true)
    }

    fn parse_input(&mut self, messages: &mut Vec<WatchMessage>) -> Result<(), WatchError> {
        while let Some(data) = self.response.next_data(&mut self.input)? {
            self.splitter.push(&data, messages)?;
        }
        Ok(())
    }
}

//! Service discovery client, which watches the endpoint list over HTTP/1.1.
//!
//! - [`watch`]: the connection of one watch, its request and its timeouts.
//! - [`http_response`]: removes the HTTP framing from the response.
//! - [`list_splitter`]: splits the body of the response into lists and heartbeats.
//! - [`error`]: why a watch failed.

mod error;
mod http_response;
mod list_splitter;
mod watch;

use std::net::SocketAddr;

use mio::net::TcpStream;

use super::buffer::MemoryBudget;
use super::reactor::{ConnectionId, ConnectionTable, TimerEvent};
use super::{Context, Event};
use crate::endpoint_list::EndpointList;
use crate::interface::{EndpointStatus, UpdateKind};
use crate::json;
use error::WatchError;
use list_splitter::WatchMessage;
use watch::{CycleStatus, WatchConnection, LIST_TIMEOUT, LIST_TIMEOUT_AFTER_FAILURE};

/// Maximum number of watches that wait for an answer at the same time: the oldest, which a slow service may
/// still answer, and the latest.
const MAX_UNANSWERED_WATCHES: usize = 2;

/// Maintains at most one answered watch on the endpoint list, and the version of the last received list.
pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    watches: ConnectionTable<WatchConnection>,
    /// The answered watch, or else the watches that wait for an answer, oldest first.
    open_watches: Vec<ConnectionId>,
    budget: MemoryBudget,
    /// The version of the last received list.
    list_version: u64,
    /// The last error; cleared when a list or heartbeat is received. An equal error is not logged as a
    /// warning again.
    last_error: Option<WatchError>,
}

impl DiscoveryClient {
    /// Creates a client without a watch. The first watch requests the changes since version `list_version`.
    pub fn new(address: SocketAddr, list_version: u64, budget: MemoryBudget) -> DiscoveryClient {
        DiscoveryClient {
            address,
            watches: ConnectionTable::new(),
            open_watches: Vec::new(),
            budget,
            list_version,
            last_error: None,
        }
    }

    /// Replaces the watch with one at a new address. Does nothing if the address is unchanged.
    pub fn set_address(&mut self, address: SocketAddr, context: &mut Context) {
        if std::mem::replace(&mut self.address, address) != address {
            // List versions are specific to a service, so the new service must send the complete list.
            self.list_version = 0;
            self.close_all();
            self.open_watch(context);
        }
    }

    /// Opens a watch. Closes an answered one. Of those that wait for an answer, only the oldest stays open.
    pub fn open_watch(&mut self, context: &mut Context) {
        if self.watches.iter().any(|(_, watch)| watch.has_response_head()) {
            self.close_all();
        }
        if self.open_watches.len() >= MAX_UNANSWERED_WATCHES {
            self.close_latest();
        }
        if let Err(error) = self.try_open_watch(context) {
            self.report_failure(error, context);
        }
    }

    fn try_open_watch(&mut self, context: &mut Context) -> Result<(), WatchError> {
        let stream = TcpStream::connect(self.address).map_err(|_| WatchError::ConnectFailed)?;
        let now = context.reactor.now();
        let list_timeout = match self.last_error {
            None => LIST_TIMEOUT,
            Some(_) => LIST_TIMEOUT_AFTER_FAILURE,
        };
        let mut watch = WatchConnection::new(stream, &self.budget, list_timeout, now);
        watch.request_changes(self.list_version, self.address).map_err(|_| WatchError::ConnectFailed)?;
        let deadline = watch.deadline();
        let id = self.watches.insert(watch);
        self.open_watches.push(id);
        tracing::info!(watch = %id, address = %self.address, since = self.list_version, "endpoint list requested");
        context.reactor.set_timer(deadline, TimerEvent::Discovery(id));
        let registered = self.watches.get_mut(id).map(|watch| watch.register(id, &mut context.reactor));
        if !matches!(registered, Some(Ok(()))) {
            self.close(id);
            return Err(WatchError::ConnectFailed);
        }
        Ok(())
    }

    fn close(&mut self, id: ConnectionId) {
        self.open_watches.retain(|open| *open != id);
        self.watches.remove(id);
    }

    fn close_latest(&mut self) {
        if let Some(latest) = self.open_watches.pop() {
            tracing::info!(watch = %latest, "endpoint watch closed: replaced by the next");
            self.watches.remove(latest);
        }
    }

    fn close_all(&mut self) {
        for id in std::mem::take(&mut self.open_watches) {
            tracing::info!(watch = %id, "endpoint watch closed: all are closed");
            self.watches.remove(id);
        }
    }

    /// Closes all watches but one, which the service has begun to answer.
    fn keep_only(&mut self, answered: ConnectionId) {
        for id in std::mem::replace(&mut self.open_watches, vec![answered]) {
            if id != answered {
                tracing::info!(watch = %id, "endpoint watch closed: another is answered");
                self.watches.remove(id);
            }
        }
    }

    fn fail(&mut self, id: ConnectionId, error: WatchError, context: &mut Context) {
        tracing::info!(watch = %id, %error, "endpoint watch closed");
        self.close(id);
        self.report_failure(error, context);
    }

    fn report_failure(&mut self, error: WatchError, context: &mut Context) {
        if self.last_error.replace(error) != Some(error) {
            tracing::warn!(%error, "endpoint watch failed");
        } else {
            tracing::info!(%error, "endpoint watch failed again");
        }
        context.events.push_back(Event::WatchFailed);
    }

    /// Handles a watch whose socket is ready for reading or writing. One that will be resumed has used up its
    /// share of this turn.
    pub fn ready(&mut self, id: ConnectionId, context: &mut Context) {
        if self.watches.get_mut(id).is_some_and(|watch| !watch.is_cycle_scheduled()) {
            self.run_cycle(id, context);
        }
    }

    /// Resumes a watch that had more input than its share of an earlier turn.
    pub fn resume(&mut self, id: ConnectionId, context: &mut Context) {
        if self.watches.get_mut(id).is_some_and(WatchConnection::take_scheduled_cycle) {
            self.run_cycle(id, context);
        }
    }

    /// Runs a cycle of a watch.
    fn run_cycle(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(watch) = self.watches.get_mut(id) else { return };
        let mut messages = Vec::new();
        let was_answered = watch.has_response_head();
        let io_result = watch.run_cycle(context.reactor.now(), &mut messages);
        if !was_answered && watch.has_response_head() {
            tracing::info!(watch = %id, "endpoint watch answered");
            self.keep_only(id);
            context.events.push_back(Event::WatchAnswered);
        }
        let apply_result = messages.into_iter().try_for_each(|message| self.apply(message, context));
        match apply_result.and(io_result) {
            Ok(CycleStatus::Complete) => {}
            Ok(CycleStatus::MoreInput) => {
                if let Some(watch) = self.watches.get_mut(id) {
                    watch.schedule_cycle(id, &mut context.reactor);
                }
            }
            Err(error) => self.fail(id, error, context),
        }
    }

    fn apply(&mut self, message: WatchMessage, context: &mut Context) -> Result<(), WatchError> {
        self.last_error = None;
        match message {
            // The watch is open, which was reported when the service began to answer it.
            WatchMessage::Heartbeat => {}
            WatchMessage::List(text) => {
                let list = decode_list(&text).ok_or(WatchError::InvalidList)?;
                self.apply_list(list, context);
            }
        }
        Ok(())
    }

    fn apply_list(&mut self, list: EndpointList, context: &mut Context) {
        self.list_version = list.version;
        log_list(&list);
        let kind = if list.is_snapshot { UpdateKind::Snapshot } else { UpdateKind::Delta };
        context.events.push_back(Event::EndpointsUpdated(kind, list.endpoints));
    }

    /// Closes the watch if its deadline has passed: a connection that was cut off may still look open.
    pub fn timer_expired(&mut self, id: ConnectionId, context: &mut Context) {
        // Data already received still counts, even if its poll event is not handled yet.
        self.run_cycle(id, context);
        let Some(watch) = self.watches.get_mut(id) else { return };
        let deadline = watch.deadline();
        if context.reactor.now() >= deadline {
            self.fail(id, WatchError::TimedOut, context);
        } else {
            context.reactor.set_timer(deadline, TimerEvent::Discovery(id));
        }
    }
}

/// Logs the version of a list and its entries that accept no requests.
fn log_list(list: &EndpointList) {
    let not_serving = list.endpoints.iter().filter(|entry| entry.status != EndpointStatus::Serving);
    let not_serving: Vec<_> = not_serving.map(|entry| (&entry.name, entry.status)).collect();
    let (version, snapshot, entries) = (list.version, list.is_snapshot, list.endpoints.len());
    tracing::info!(version, snapshot, entries, ?not_serving, "endpoint list received");
}

/// Decodes a list. A list with an invalid entry is rejected as a whole: a snapshot without the entry would
/// mean that the endpoint was removed.
fn decode_list(text: &[u8]) -> Option<EndpointList> {
    let text = std::str::from_utf8(text).ok()?;
    let value = json::parse(text).ok()?;
    serde_json::from_value::<EndpointList>(value).ok().filter(|list| list.is_complete)
}

#[cfg(test)]
mod tests;

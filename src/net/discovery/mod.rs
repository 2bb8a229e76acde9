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
use watch::{WatchConnection, WatchTimeouts};

/// Maintains at most one watch on the endpoint list, and the version of the last received list.
pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    watches: ConnectionTable<WatchConnection>,
    current_watch: Option<ConnectionId>,
    budget: MemoryBudget,
    /// The version of the last received list.
    list_version: u64,
    /// The last error; cleared when a list or heartbeat is received. An equal error is not logged as a warning again.
    last_error: Option<WatchError>,
}

impl DiscoveryClient {
    /// Creates a client without a watch. The first watch requests the changes since version `list_version`.
    pub fn new(address: SocketAddr, list_version: u64, budget: MemoryBudget) -> DiscoveryClient {
        DiscoveryClient {
            address,
            watches: ConnectionTable::new(),
            current_watch: None,
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
            self.open_watch(context);
        }
    }

    /// Opens a watch in place of the current one, if any.
    pub fn open_watch(&mut self, context: &mut Context) {
        self.close_current();
        if self.try_open_watch(context).is_err() {
            self.fail(WatchError::ConnectFailed, context);
        }
    }

    fn try_open_watch(&mut self, context: &mut Context) -> Result<(), WatchError> {
        tracing::info!(address = %self.address, since = self.list_version, "endpoint list requested");
        let stream = TcpStream::connect(self.address).map_err(|_| WatchError::ConnectFailed)?;
        let now = context.reactor.now();
        let timeouts = match self.last_error {
            None => WatchTimeouts::regular(),
            Some(_) => WatchTimeouts::after_failure(),
        };
        let id = self.watches.insert(WatchConnection::new(stream, &self.budget, timeouts, now));
        self.current_watch = Some(id);
        let watch = self.watches.get_mut(id).ok_or(WatchError::ConnectFailed)?;
        watch.request_changes(self.list_version, self.address).map_err(|_| WatchError::ConnectFailed)?;
        watch.register(id, &mut context.reactor).map_err(|_| WatchError::ConnectFailed)?;
        context.reactor.set_timer(watch.deadline(), TimerEvent::Discovery(id));
        Ok(())
    }

    fn close_current(&mut self) {
        if let Some(id) = self.current_watch.take() {
            self.watches.remove(id);
        }
    }

    fn fail(&mut self, error: WatchError, context: &mut Context) {
        self.close_current();
        if self.last_error.replace(error) != Some(error) {
            tracing::warn!(%error, "endpoint watch failed");
        } else {
            tracing::info!(%error, "endpoint watch failed again");
        }
        context.events.push_back(Event::WatchFailed);
    }

    /// Handles a watch whose socket is ready for reading or writing.
    pub fn ready(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(watch) = self.watches.get_mut(id) else { return };
        let mut messages = Vec::new();
        let io_result = watch.handle_ready(context.reactor.now(), &mut messages);
        let apply_result = messages.into_iter().try_for_each(|message| self.apply(message, id, context));
        if let Err(error) = apply_result.and(io_result) {
            self.fail(error, context);
        }
    }

    fn apply(
        &mut self,
        message: WatchMessage,
        id: ConnectionId,
        context: &mut Context,
    ) -> Result<(), WatchError> {
        self.last_error = None;
        match message {
            WatchMessage::Heartbeat => self.apply_heartbeat(id, context),
            WatchMessage::List(text) => {
                let list = decode_list(&text).ok_or(WatchError::InvalidList)?;
                self.apply_list(list, id, context);
            }
        }
        Ok(())
    }

    /// Reports an empty delta if this is the first message of the watch.
    fn apply_heartbeat(&mut self, id: ConnectionId, context: &mut Context) {
        if !self.mark_answered(id) {
            context.events.push_back(Event::EndpointsUpdated(UpdateKind::Delta, Vec::new()));
        }
    }

    fn apply_list(&mut self, list: EndpointList, id: ConnectionId, context: &mut Context) {
        self.mark_answered(id);
        self.list_version = list.version;
        log_list(&list);
        let kind = if list.is_snapshot { UpdateKind::Snapshot } else { UpdateKind::Delta };
        context.events.push_back(Event::EndpointsUpdated(kind, list.endpoints));
    }

    /// Marks the watch as answered. Returns `true` if it already was.
    fn mark_answered(&mut self, id: ConnectionId) -> bool {
        self.watches.get_mut(id).is_none_or(WatchConnection::mark_answered)
    }

    /// Closes the watch if its deadline has passed: a connection that was cut off may still look open.
    pub fn timer_expired(&mut self, id: ConnectionId, context: &mut Context) {
        // Data already received still counts, even if its poll event is not handled yet.
        self.ready(id, context);
        let Some(watch) = self.watches.get_mut(id) else { return };
        let deadline = watch.deadline();
        if context.reactor.now() >= deadline {
            self.fail(WatchError::TimedOut, context);
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

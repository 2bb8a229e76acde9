//! Service discovery: watches the endpoint list over HTTP/1.1.
//!
//! - [`watch`]: one request and its timeouts.
//! - [`http_response`]: removes the HTTP framing from the response.
//! - [`list_splitter`]: splits the body of the response into lists and heartbeats.
//! - [`error`]: why a watch is closed.

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
use crate::interface::UpdateKind;
use crate::json;
use error::WatchError;
use list_splitter::Update;
use watch::{WatchConnection, WatchTimeouts};

/// Keeps at most one watch on the endpoint list, and the version of the list that was last received.
pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    watches: ConnectionTable<WatchConnection>,
    current_watch: Option<ConnectionId>,
    budget: MemoryBudget,
    /// The version of the list that was last received.
    list_version: u64,
    /// The error since which nothing was received. An error is logged when it differs from the one before it.
    last_error: Option<WatchError>,
}

impl DiscoveryClient {
    /// Has no watch yet; the first one requests the changes since version `list_version` of the list.
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

    /// Replaces the watch by one at another address. Does nothing where the address is the same.
    pub fn set_address(&mut self, address: SocketAddr, context: &mut Context) {
        if std::mem::replace(&mut self.address, address) != address {
            // The versions of one service mean nothing to another: the complete list is needed.
            self.list_version = 0;
            self.open_watch(context);
        }
    }

    /// Opens a watch, in place of one that may still be open.
    pub fn open_watch(&mut self, context: &mut Context) {
        self.close_current();
        if self.try_open_watch(context).is_err() {
            self.fail(WatchError::NotConnected, context);
        }
    }

    fn try_open_watch(&mut self, context: &mut Context) -> Result<(), WatchError> {
        let stream = TcpStream::connect(self.address).map_err(|_| WatchError::NotConnected)?;
        let now = context.reactor.now();
        let timeouts = match self.last_error {
            None => WatchTimeouts::regular(),
            Some(_) => WatchTimeouts::after_failure(),
        };
        let id = self.watches.insert(WatchConnection::new(stream, &self.budget, timeouts, now));
        self.current_watch = Some(id);
        let watch = self.watches.get_mut(id).ok_or(WatchError::NotConnected)?;
        watch.request_changes(self.list_version, self.address).map_err(|_| WatchError::NotConnected)?;
        watch.register(id, &mut context.reactor).map_err(|_| WatchError::NotConnected)?;
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
        }
        context.events.push_back(Event::WatchFailed);
    }

    /// Handles a watch whose socket can be read from or written to.
    pub fn ready(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(watch) = self.watches.get_mut(id) else { return };
        let mut updates = Vec::new();
        let cycle_result = watch.run_cycle(context.reactor.now(), &mut updates);
        let apply_result = updates.into_iter().try_for_each(|update| self.apply(update, id, context));
        if let Err(error) = apply_result.and(cycle_result) {
            self.fail(error, context);
        }
    }

    fn apply(&mut self, update: Update, id: ConnectionId, context: &mut Context) -> Result<(), WatchError> {
        self.last_error = None;
        match update {
            Update::Heartbeat => self.apply_heartbeat(id, context),
            Update::List(text) => {
                let list = decode_list(&text).ok_or(WatchError::UnreadableList)?;
                self.apply_list(list, id, context);
            }
        }
        Ok(())
    }

    /// Reports that nothing has changed where this is the first answer to the request.
    fn apply_heartbeat(&mut self, id: ConnectionId, context: &mut Context) {
        if !self.mark_answered(id) {
            context.events.push_back(Event::EndpointsUpdated(UpdateKind::Delta, Vec::new()));
        }
    }

    fn apply_list(&mut self, list: EndpointList, id: ConnectionId, context: &mut Context) {
        self.mark_answered(id);
        self.list_version = list.version;
        let kind = if list.is_snapshot { UpdateKind::Snapshot } else { UpdateKind::Delta };
        context.events.push_back(Event::EndpointsUpdated(kind, list.endpoints));
    }

    /// Marks the watch as answered, and returns whether it was already.
    fn mark_answered(&mut self, id: ConnectionId) -> bool {
        self.watches.get_mut(id).is_none_or(WatchConnection::mark_answered)
    }

    /// Closes the watch if nothing was received for too long. The connection may be cut off and look open.
    pub fn timer_expired(&mut self, id: ConnectionId, context: &mut Context) {
        // Bytes that have arrived count, although the event for them was not handled yet.
        self.ready(id, context);
        let Some(watch) = self.watches.get_mut(id) else { return };
        let deadline = watch.deadline();
        if context.reactor.now() >= deadline {
            self.fail(WatchError::Silent, context);
        } else {
            context.reactor.set_timer(deadline, TimerEvent::Discovery(id));
        }
    }
}

/// Decodes a list. A list with an entry that cannot be read is rejected: without the entry, a snapshot
/// would say that the endpoint was removed.
fn decode_list(text: &[u8]) -> Option<EndpointList> {
    let text = std::str::from_utf8(text).ok()?;
    let value = json::parse(text).ok()?;
    serde_json::from_value::<EndpointList>(value).ok().filter(|list| list.is_complete)
}

#[cfg(test)]
mod tests;

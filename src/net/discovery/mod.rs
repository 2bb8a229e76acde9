//! Service discovery: follows the list of database hosts over HTTP/1.1.

mod error;
mod http_response;
mod list_splitter;
mod watch;

use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::Interest;

use super::buffer::MemoryBudget;
use super::reactor::{ConnectionId, ConnectionTable, EventSource, TimerEvent};
use super::{Context, Event};
use crate::endpoint_list::EndpointList;
use crate::interface::UpdateKind;
use crate::json;
use error::WatchError;
use list_splitter::Update;
use watch::{Watch, WatchTimeouts};

/// Keeps at most one watch on the endpoint list, and the version of the list that was last received.
pub(crate) struct Discovery {
    address: SocketAddr,
    watches: ConnectionTable<Watch>,
    current: Option<ConnectionId>,
    budget: MemoryBudget,
    /// The version of the list that was last received.
    index: u64,
    /// The error since which nothing was received. An error is logged when it differs from the one before it.
    last_error: Option<WatchError>,
}

impl Discovery {
    /// Has no watch yet; the first one asks for the changes since version `index` of the list.
    pub fn new(address: SocketAddr, index: u64, budget: MemoryBudget) -> Discovery {
        Discovery { address, watches: ConnectionTable::new(), current: None, budget, index, last_error: None }
    }

    /// Replaces the watch by one at another address. Does nothing where the address is the same.
    pub fn move_to(&mut self, address: SocketAddr, context: &mut Context) {
        if std::mem::replace(&mut self.address, address) != address {
            // The versions of one service mean nothing to another: the complete list is needed.
            self.index = 0;
            self.listen(context);
        }
    }

    /// Opens a watch, in place of one that may still be open.
    pub fn listen(&mut self, context: &mut Context) {
        self.close_current();
        if self.open(context).is_err() {
            self.fail(WatchError::NotConnected, context);
        }
    }

    fn open(&mut self, context: &mut Context) -> Result<(), WatchError> {
        let stream = TcpStream::connect(self.address).map_err(|_| WatchError::NotConnected)?;
        let now = context.reactor.now();
        let timeouts = WatchTimeouts::new(self.last_error.is_some());
        let id = self.watches.insert(Watch::new(stream, &self.budget, timeouts, now));
        self.current = Some(id);
        let watch = self.watches.get_mut(id).ok_or(WatchError::NotConnected)?;
        watch.request_changes(self.index, self.address).map_err(|_| WatchError::NotConnected)?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = EventSource::Discovery(id);
        let registered = context.reactor.register(&mut watch.stream, source, interest);
        registered.map_err(|_| WatchError::NotConnected)?;
        context.reactor.set_timer(now + timeouts.head, TimerEvent::Discovery(id));
        Ok(())
    }

    fn close_current(&mut self) {
        if let Some(id) = self.current.take() {
            self.watches.remove(id);
        }
    }

    fn fail(&mut self, error: WatchError, context: &mut Context) {
        self.close_current();
        if self.last_error.replace(error) != Some(error) {
            tracing::warn!(%error, "endpoint watch failed");
        }
        context.events.push_back(Event::EndpointsUpdated(UpdateKind::WatchFailed, Vec::new()));
    }

    /// Handles a watch whose socket can be read from or written to.
    pub fn ready(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(watch) = self.watches.get_mut(id) else { return };
        let mut updates = Vec::new();
        let poll_result = watch.poll(context.reactor.now(), &mut updates);
        let apply_result = updates.into_iter().try_for_each(|update| self.apply(update, id, context));
        if let Err(error) = apply_result.and(poll_result) {
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
        self.index = list.index;
        let kind = if list.snapshot { UpdateKind::Snapshot } else { UpdateKind::Delta };
        context.events.push_back(Event::EndpointsUpdated(kind, list.endpoints));
    }

    /// Marks the watch as answered, and returns whether it was already.
    fn mark_answered(&mut self, id: ConnectionId) -> bool {
        let Some(watch) = self.watches.get_mut(id) else { return true };
        std::mem::replace(&mut watch.answered, true)
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

/// Decodes a list. A list with an entry that cannot be read is rejected as a whole: without the entry, a
/// snapshot would say that the endpoint was removed.
fn decode_list(text: &[u8]) -> Option<EndpointList> {
    let text = std::str::from_utf8(text).ok()?;
    let value = json::parse(text).ok()?;
    serde_json::from_value::<EndpointList>(value).ok().filter(|list| list.complete)
}

#[cfg(test)]
mod tests;

//! Service discovery client, which watches the endpoint list over HTTP/1.1.
//!
//! - [`open_watches`]: the watches that are open at the same time.
//! - [`watch`]: the connection of one watch and its request.
//! - [`time_limits`]: all time limits of watches, and the promise that they have to keep.
//! - [`http_response`]: removes the HTTP framing from the response.
//! - [`list_splitter`]: splits the body of the response into lists and heartbeats.
//! - [`error`]: why a watch failed.

mod error;
mod http_response;
mod list_splitter;
mod open_watches;
mod time_limits;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpStream;

use super::buffer::MemoryBudget;
use super::reactor::{ConnectionId, TimerEvent};
use super::{Context, Event};
use crate::endpoint_list::EndpointList;
use crate::interface::{EndpointStatus, UpdateKind};
use crate::json;
use crate::transient_error::is_transient;
use error::WatchError;
use list_splitter::WatchMessage;
pub(crate) use open_watches::MAX_ANSWERED_WATCHES;
use open_watches::{CloseReason, OpenWatches};
use watch::{CycleStatus, WatchConnection};

/// Watches the endpoint list, and keeps the version of the last received list.
pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    watches: OpenWatches,
    budget: MemoryBudget,
    /// The version of the last received list.
    list_version: u64,
    /// The last error; cleared when a list or heartbeat is received. An equal error is not logged as a
    /// warning again.
    last_error: Option<WatchError>,
    /// Whether the policy was told that the watch failed, and not that it is answered since.
    is_reported_lost: bool,
}

impl DiscoveryClient {
    /// Creates a client without a watch. The first watch requests the changes since version `list_version`.
    /// At most `max_unanswered` watches are open that the service has not begun to answer.
    pub fn new(
        address: SocketAddr,
        list_version: u64,
        max_unanswered: usize,
        budget: MemoryBudget,
    ) -> DiscoveryClient {
        DiscoveryClient {
            address,
            watches: OpenWatches::new(max_unanswered),
            budget,
            list_version,
            last_error: None,
            is_reported_lost: false,
        }
    }

    /// Closes the watches and lets the policy request one at a new address. Does nothing if the address is
    /// unchanged.
    pub fn set_address(&mut self, address: SocketAddr, context: &mut Context) {
        if std::mem::replace(&mut self.address, address) != address {
            // List versions are specific to a service, so the new service must send the complete list.
            self.list_version = 0;
            self.watches.close_all(CloseReason::AddressChanged);
            context.events.push_back(Event::WatchMoved);
        }
    }

    /// Opens a watch beside those that are open.
    pub fn open_watch(&mut self, context: &mut Context) {
        if let Err(error) = self.try_open_watch(context) {
            self.report_failure(error, context);
        }
    }

    fn try_open_watch(&mut self, context: &mut Context) -> Result<(), WatchError> {
        let stream = self.connect(context).map_err(|_| WatchError::ConnectFailed)?;
        let now = context.reactor.now();
        self.watches.limit_unanswered(now);
        let mut watch = WatchConnection::new(stream, &self.budget, self.list_version, now);
        watch.request_changes(self.address).map_err(|_| WatchError::ConnectFailed)?;
        let check_at = watch.next_check_at(now);
        let id = self.watches.insert(watch);
        let (address, since) = (self.address, self.list_version);
        tracing::info!(watch = %id, %address, since, "endpoint list requested");
        context.reactor.set_timer(check_at, TimerEvent::Discovery(id));
        let registered = self.watches.get_mut(id).map(|watch| watch.register(id, &mut context.reactor));
        if !matches!(registered, Some(Ok(()))) {
            self.watches.close(id, CloseReason::Failed(WatchError::ConnectFailed));
            return Err(WatchError::ConnectFailed);
        }
        Ok(())
    }

    /// Opens a connection to the service. If the process has no file descriptor left, an unanswered watch
    /// makes room.
    fn connect(&mut self, context: &Context) -> io::Result<TcpStream> {
        match TcpStream::connect(self.address) {
            Err(error) if is_transient(&error) && self.watches.close_redundant(context.reactor.now()) => {
                TcpStream::connect(self.address)
            }
            result => result,
        }
    }

    /// Closes a watch that has failed. Another one may still be in use.
    fn fail(&mut self, id: ConnectionId, error: WatchError, context: &mut Context) {
        self.watches.close(id, CloseReason::Failed(error));
        if !self.watches.any_current() {
            self.report_failure(error, context);
        }
    }

    fn report_failure(&mut self, error: WatchError, context: &mut Context) {
        self.log_failure(error);
        self.is_reported_lost = true;
        context.events.push_back(Event::WatchFailed);
    }

    /// Reports that the service has not answered in time. The policy repeats its request anyway while it waits
    /// for the first answer.
    fn report_overdue(&mut self, context: &mut Context) {
        if self.is_reported_lost {
            self.log_failure(WatchError::TimedOut);
        } else {
            self.report_failure(WatchError::TimedOut, context);
        }
    }

    fn report_answer(&mut self, answer_time: Duration, context: &mut Context) {
        self.is_reported_lost = false;
        context.events.push_back(Event::WatchAnswered(answer_time));
    }

    fn log_failure(&mut self, error: WatchError) {
        if self.last_error.replace(error) != Some(error) {
            tracing::warn!(%error, "endpoint watch failed");
        } else {
            tracing::info!(%error, "endpoint watch failed again");
        }
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
        let was_answered = watch.is_answered();
        let io_result = watch.run_cycle(context.reactor.now(), &mut messages);
        if !was_answered && watch.is_answered() {
            self.on_answered(id, context);
        }
        let apply_result = messages.into_iter().try_for_each(|message| self.apply(id, message, context));
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

    /// Records that the service has begun to answer a watch. The others stay open, since it may not go on.
    fn on_answered(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(answer_time) = self.watches.get_mut(id).and_then(|watch| watch.answer_time()) else {
            return;
        };
        tracing::info!(watch = %id, ?answer_time, "endpoint watch answered");
        self.watches.limit_answered(id);
        self.report_answer(answer_time, context);
    }

    fn apply(
        &mut self,
        id: ConnectionId,
        message: WatchMessage,
        context: &mut Context,
    ) -> Result<(), WatchError> {
        self.last_error = None;
        match message {
            WatchMessage::Heartbeat => {}
            WatchMessage::List(text) => {
                let list = decode_list(&text).ok_or(WatchError::InvalidList)?;
                self.check_version(id, &list)?;
                self.apply_list(list, context);
            }
        }
        self.on_message(id, context);
        Ok(())
    }

    /// Rejects a list that is older than one that another watch has delivered since this one was opened.
    fn check_version(&mut self, id: ConnectionId, list: &EndpointList) -> Result<(), WatchError> {
        let requested_version = self.watches.get_mut(id).map(|watch| watch.requested_version());
        let is_overtaken = requested_version.is_some_and(|requested| requested < self.list_version);
        if is_overtaken && list.version < self.list_version {
            return Err(WatchError::Outdated);
        }
        Ok(())
    }

    fn apply_list(&mut self, list: EndpointList, context: &mut Context) {
        self.list_version = list.version;
        log_list(&list);
        let kind = if list.is_snapshot { UpdateKind::Snapshot } else { UpdateKind::Delta };
        context.events.push_back(Event::EndpointsUpdated(kind, list.endpoints));
    }

    /// Records that a watch has delivered a message, which shows that it works.
    fn on_message(&mut self, id: ConnectionId, context: &mut Context) {
        let Some(watch) = self.watches.get_mut(id) else { return };
        watch.record_message();
        if let Some(answer_time) = watch.answer_time().filter(|_| self.is_reported_lost) {
            self.report_answer(answer_time, context);
        }
        self.watches.close_superseded(id);
    }

    /// Checks whether a watch is late: a connection that was cut off may still look open. One that is overdue
    /// stays open beside the next, since the service may be slow.
    pub fn timer_expired(&mut self, id: ConnectionId, context: &mut Context) {
        // Data already received still counts, even if its poll event is not handled yet.
        self.run_cycle(id, context);
        let now = context.reactor.now();
        let Some(watch) = self.watches.get_mut(id) else { return };
        if watch.is_expired(now) {
            return self.fail(id, WatchError::TimedOut, context);
        }
        let has_become_overdue = watch.check_overdue(now);
        let check_at = watch.next_check_at(now);
        context.reactor.set_timer(check_at, TimerEvent::Discovery(id));
        if has_become_overdue && !self.watches.any_current() {
            self.report_overdue(context);
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

//! The network side of the pooler: sockets, wire protocols and timers. [`Policy`](crate::Policy) decides what
//! is sent where.
//!
//! - [`reactor`]: the event loop, the timers and the clock.
//! - [`frontend`]: the connections of clients.
//! - [`backend`]: the connections to endpoints.
//! - [`discovery`]: the watch of the endpoint list.
//! - [`pooler`]: passes the events of these to the policy and executes its actions.
//! - [`shutdown`]: what happens between SIGTERM and the kill.
//! - [`messages`]: the messages between these modules.
//! - [`postgres`]: PostgreSQL's messages.
//! - [`buffer`]: the buffers of the connections and their memory budget.

mod backend;
mod buffer;
mod discovery;
mod frontend;
mod messages;
mod pooler;
mod postgres;
mod reactor;
mod shutdown;

use std::collections::VecDeque;

use crate::counters::Counters;
use messages::{AttemptTask, CancelKey, Completion, Event, Query, Response, Statement, Task};
pub(crate) use pooler::{serve, ServeError};
use reactor::Reactor;

/// The state that all callbacks of the reactor share.
pub(crate) struct Context {
    /// Registers sockets, sets timers and tells the time.
    reactor: Reactor,
    /// Events that are still to be handled, in their order.
    events: VecDeque<Event>,
    /// What has happened since the start.
    counters: Counters,
}

//! Network I/O: sockets, wire protocols and timers. Routing decisions are made by
//! [`Policy`](crate::Policy).
//!
//! - [`reactor`]: event loop, timers and clock.
//! - [`frontend`]: client connections.
//! - [`backend`]: connections to endpoints.
//! - [`discovery`]: endpoint list watch.
//! - [`pooler`]: passes events from these modules to the policy and executes the resulting actions.
//! - [`shutdown`]: graceful shutdown.
//! - [`request_ids`]: the IDs of open requests.
//! - [`messages`]: types exchanged between these modules.
//! - [`postgres`]: PostgreSQL protocol messages.
//! - [`buffer`]: connection buffers and their shared memory budget.

mod backend;
mod buffer;
mod discovery;
mod frontend;
mod messages;
mod pooler;
mod postgres;
mod reactor;
mod request_ids;
mod shutdown;

use std::collections::VecDeque;

use crate::counters::Counters;
use messages::{AttemptTask, CancelKey, Completion, Event, Query, Response, Statement, Task};
pub(crate) use pooler::{serve, ServeError};
use reactor::Reactor;
use request_ids::RequestIds;

/// State shared by all reactor callbacks.
pub(crate) struct Context {
    /// Registers sockets, sets timers and reads the clock.
    reactor: Reactor,
    /// Unhandled events, oldest first.
    events: VecDeque<Event>,
    /// Operational counters since startup.
    counters: Counters,
    /// The IDs of open requests.
    request_ids: RequestIds,
}

impl Context {
    /// Creates the state before the first event.
    fn new(reactor: Reactor) -> Context {
        Context {
            reactor,
            events: VecDeque::new(),
            counters: Counters::default(),
            request_ids: RequestIds::default(),
        }
    }
}

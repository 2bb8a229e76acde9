//! Network I/O: sockets, wire protocols and timers. Routing decisions are made by
//! [`Policy`](crate::Policy).
//!
//! - [`reactor`]: event loop, timers and clock.
//! - [`frontend`]: client connections.
//! - [`backend`]: connections to endpoints.
//! - [`discovery`]: endpoint list watch.
//! - [`pooler`]: passes events from these modules to the policy and executes the resulting actions.
//! - [`shutdown`]: graceful shutdown.
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
mod shutdown;

use std::collections::VecDeque;

use crate::counters::Counters;
use messages::{AttemptTask, CancelKey, Completion, Event, Query, Response, Statement, Task};
pub(crate) use pooler::{serve, ServeError};
use reactor::Reactor;

/// State shared by all reactor callbacks.
pub(crate) struct Context {
    /// Registers sockets, sets timers and reads the clock.
    reactor: Reactor,
    /// Unhandled events, oldest first.
    events: VecDeque<Event>,
    /// Operational counters since startup.
    counters: Counters,
}

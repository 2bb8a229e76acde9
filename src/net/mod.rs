//! The pooler on its sockets. It moves bytes and keeps connections; what is sent where is decided by
//! [`Policy`](crate::Policy).

mod backend;
mod buffer;
pub(crate) mod discovery;
mod frontend;
mod messages;
mod pooler;
mod postgres;
mod reactor;

use std::collections::VecDeque;
use std::fmt;
use std::io::{self, Write};

use crate::counters::Counters;
use messages::{Completion, Event, Query, Response, Statement, Task};
pub(crate) use pooler::serve;
use reactor::Reactor;

/// What every callback of the reactor is handed.
pub(crate) struct Context {
    reactor: Reactor,
    /// Events that are yet to be handled; each waits until the actions of the one before it are carried out.
    events: VecDeque<Event>,
    counters: Counters,
}

/// Writes a line to the log. A log that nobody reads any more is no reason to end.
fn log(line: fmt::Arguments) {
    let _ = writeln!(io::stderr(), "{line}");
}

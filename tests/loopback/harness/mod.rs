//! Scripted peers of the pooler program: clients, database hosts and the discovery service.
//!
//! The tests control each peer step by step. They wait for events instead of fixed times; a test fails if an
//! event does not occur within [`EVENT_TIMEOUT`].

mod client;
mod configuration;
mod connection;
mod database_host;
mod discovery;
mod pooler;
mod request;
mod setup;
mod wire;

pub use client::*;
pub use configuration::Edit;
pub use connection::{Connection, ErrorResponse};
pub use database_host::{startup_response, DatabaseHost};
pub use discovery::*;
pub use pooler::{Pooler, Signal};
pub use request::{deadline_field, Request};
pub use setup::*;
pub use wire::*;

use std::net::TcpListener;
use std::time::Duration;

/// How long a peer waits for an event. Much longer than any event takes, so that only a failing test waits
/// for the whole time.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Listens on a free port of the loopback interface. Accepting a connection times out after
/// [`EVENT_TIMEOUT`].
fn listen_on_loopback() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&listener).set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    listener
}

//! What passes between the parts of the network code, in no protocol's form.

use std::ops::Range;
use std::rc::Rc;

use super::buffer::MemoryReservation;
use super::postgres::CancelKey;
use super::reactor::ConnectionId;
use crate::endpoint_list::ListedEndpoint;
use crate::interface::{EndpointId, LoadReport, Outcome, RequestId, UpdateKind};

/// A statement as the client wrote it.
#[derive(Debug)]
pub(crate) struct Statement {
    pub text: Box<str>,
    /// Where in the text the timeout stands that its sender announces.
    pub timeout: Range<usize>,
    /// The memory that it takes, once that is granted.
    pub memory: Option<MemoryReservation>,
}

impl Statement {
    /// The same statement with another timeout (seconds; written in whole milliseconds, at least one).
    pub fn with_timeout(&self, seconds: f64) -> Vec<u8> {
        let millis = ((seconds * 1000.0) as u64).max(1).to_string();
        [&self.text[..self.timeout.start], &millis, &self.text[self.timeout.end..]].concat().into_bytes()
    }
}

/// A client's query, with what its comment says of it.
#[derive(Debug)]
pub(crate) struct Query {
    pub id: String,
    pub class: String,
    pub tenant: String,
    pub group: u32,
    /// How long the client waits from when it sent the query (seconds).
    pub timeout: f64,
    /// When its last byte was received.
    pub received_at: f64,
    /// The commit that it must see, where the client carries one (Unix seconds).
    pub session_token: Option<f64>,
    pub has_idempotency_key: bool,
    pub client_retry: bool,
    /// The quoted key, where there is one: names the session.
    pub session: Option<String>,
    pub statement: Statement,
}

/// The final answer to a query.
#[derive(Debug)]
pub(crate) enum Response {
    /// The value, in the form in which the database host sent it.
    Value(Vec<u8>),
    /// A retry is harmless.
    Rejected {
        /// After how many seconds; 0 for no advice.
        retry_after: f64,
    },
    /// The request may have been executed.
    Failed,
    /// The client has asked for its cancellation.
    Cancelled,
    /// The query cannot be executed and was not forwarded.
    Invalid(&'static str),
}

/// Something to be sent to a database host.
#[derive(Clone, Debug)]
pub(crate) enum Task {
    /// An attempt of a request, by its number.
    Attempt(RequestId, usize, Rc<Statement>),
    /// A question about the host itself.
    HealthCheck,
}

/// How a task ended.
#[derive(Debug)]
pub(crate) struct Completion {
    pub task: Task,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    /// Time since it was sent (seconds).
    pub elapsed: f64,
    pub log_position: Option<f64>,
    pub primary: Option<bool>,
    pub report: LoadReport,
    /// The value for the client, if any.
    pub value: Vec<u8>,
}

/// What the connections tell the pooler.
#[derive(Debug)]
pub(crate) enum Event {
    QueryReceived(ConnectionId, Box<Query>),
    ClientDisconnected(ConnectionId),
    /// Someone asks for the cancellation of the query whose client was given this key.
    CancelRequested(CancelKey),
    TaskCompleted(Box<Completion>),
    EndpointsUpdated(UpdateKind, Vec<ListedEndpoint>),
}

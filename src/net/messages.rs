//! The messages between the parts of the network code. They are independent of the wire protocols.

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
    /// The text, with the comment that describes the query.
    pub text: Box<str>,
    /// Where the text holds the client's timeout (milliseconds, in decimal digits).
    pub timeout: Range<usize>,
    /// The memory that the text takes, once it is granted.
    pub memory: Option<MemoryReservation>,
}

impl Statement {
    /// The text with another timeout (seconds), which is written in whole milliseconds, at least one.
    pub fn with_timeout(&self, seconds: f64) -> Vec<u8> {
        let before = &self.text[..self.timeout.start];
        let after = &self.text[self.timeout.end..];
        let millis = ((seconds * 1000.0) as u64).max(1).to_string();
        [before, &millis, after].concat().into_bytes()
    }
}

/// A client's query and what its comment says about it.
#[derive(Debug)]
pub(crate) struct Query {
    /// The identifier that the client gave the request.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: String,
    /// The group that holds its data.
    pub group: u32,
    /// How long the client waits, counted from when the query was received (seconds).
    pub timeout: f64,
    /// When its last byte was received (Unix seconds).
    pub received_at: f64,
    /// The time of the commit that the query must see, where the client carries one (Unix seconds).
    pub session_token: Option<f64>,
    /// Whether the query carries an idempotency key.
    pub has_idempotency_key: bool,
    /// The session that the query belongs to, where it names one.
    pub session: Option<String>,
    /// The statement to forward.
    pub statement: Statement,
}

/// Why a query cannot be executed. The texts are sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum InvalidQuery {
    /// The settings do not name its class.
    #[error("unknown class")]
    UnknownClass,
    /// Its class requires an idempotency key, and it carries none.
    #[error("this class needs a key")]
    MissingIdempotencyKey,
    /// Another request of the same identifier is in progress.
    #[error("this id is in use")]
    DuplicateId,
    /// A database host rejected the statement, as any other host would.
    #[error("no database host takes this statement")]
    RejectedByHost,
}

/// The final answer to a query.
#[derive(Debug)]
pub(crate) enum Response {
    /// The value, in the form in which the database host sent it.
    Value(Vec<u8>),
    /// The query was not executed; a retry is harmless.
    Rejected {
        /// How long the client should wait before it retries (seconds); 0 for no advice.
        retry_after: f64,
    },
    /// No answer was received; the query may have been executed.
    Failed,
    /// The query was cancelled at the client's request.
    Cancelled,
    /// The query cannot be executed.
    Invalid(InvalidQuery),
}

/// Something to send to a database host.
#[derive(Clone, Debug)]
pub(crate) enum Task {
    /// An attempt of a request: its request, its number among the attempts of that request, and its
    /// statement.
    Attempt(RequestId, usize, Rc<Statement>),
    /// A health check of the host.
    HealthCheck,
}

/// How a task ended.
#[derive(Debug)]
pub(crate) struct Completion {
    /// The task.
    pub task: Task,
    /// The host that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent (seconds).
    pub elapsed: f64,
    /// The log position that came with the answer.
    pub log_position: Option<f64>,
    /// The role that came with the answer: true from a primary.
    pub primary: Option<bool>,
    /// The load report that came with the answer; empty where none came.
    pub report: LoadReport,
    /// The value for the client, if any.
    pub value: Vec<u8>,
}

/// What the connections report to the pooler.
#[derive(Debug)]
pub(crate) enum Event {
    /// A client has sent a query.
    QueryReceived(ConnectionId, Box<Query>),
    /// A client has disconnected while its query was in progress.
    ClientDisconnected(ConnectionId),
    /// The cancellation of the query of the client with this key was requested.
    CancelRequested(CancelKey),
    /// An attempt or a health check has ended.
    TaskCompleted(Box<Completion>),
    /// The endpoint list was updated, or its watch has failed.
    EndpointsUpdated(UpdateKind, Vec<ListedEndpoint>),
}

//! The messages between the parts of the network code. They are independent of the wire protocols.

use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::buffer::MemoryReservation;
use super::reactor::ConnectionId;
use crate::endpoint_list::ListedEndpoint;
use crate::interface::{EndpointId, LoadReport, Outcome, RequestId, Role, UpdateKind};
use crate::time::{ClusterInstant, LogPosition};

/// What a client receives when its session starts, and repeats to cancel its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CancelKey {
    /// The process that serves the session in PostgreSQL. The pooler draws a random number.
    pub process_id: u32,
    /// A random number.
    pub secret: u32,
}

/// A statement as the client wrote it.
#[derive(Debug)]
pub(crate) struct Statement {
    /// The text, with the comment that describes the query.
    pub text: Box<str>,
    /// Where the text holds the client's timeout (milliseconds, in decimal digits).
    pub timeout_range: Range<usize>,
    /// The memory that the text takes, once it is granted.
    pub memory: Option<MemoryReservation>,
}

impl Statement {
    /// The text with another timeout, which is written in milliseconds without a fraction, at least one.
    pub fn with_timeout(&self, timeout: Duration) -> Vec<u8> {
        let before = &self.text[..self.timeout_range.start];
        let after = &self.text[self.timeout_range.end..];
        let millis = timeout.as_millis().max(1).to_string();
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
    /// How long the client waits, counted from when the query was received.
    pub timeout: Duration,
    /// The time of the commit that the query must see, where the client carries one.
    pub session_token: Option<ClusterInstant>,
    /// Whether the query carries an idempotency key.
    pub has_idempotency_key: bool,
    /// Names the session that the query belongs to: the first quoted string of the statement, if it has one.
    /// Escaped quotes are not handled: the key of `'it''s'` is `it`.
    pub session_key: Option<String>,
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
    /// An endpoint rejected the statement, as any other would.
    #[error("no database host takes this statement")]
    RejectedByEndpoint,
}

/// The final answer to a query.
#[derive(Debug)]
pub(crate) enum Response {
    /// The value, in the form in which the endpoint sent it.
    Value(Vec<u8>),
    /// A retry by the client is harmless: the query was not executed, or a second execution has no effect.
    Rejected {
        /// How long the client should wait before it retries; none for no advice.
        retry_after: Option<Duration>,
    },
    /// No answer was received; the query may have been executed.
    Failed,
    /// The query was cancelled at the client's request.
    Cancelled,
    /// The query cannot be executed.
    Invalid(InvalidQuery),
}

/// An attempt of a request, as it is handed to the backend.
#[derive(Clone, Debug)]
pub(crate) struct AttemptTask {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt among those of its request, from 0.
    pub number: usize,
    /// What to send.
    pub statement: Rc<Statement>,
}

/// Something to send to an endpoint.
#[derive(Clone, Debug)]
pub(crate) enum Task {
    /// An attempt of a request.
    Attempt(AttemptTask),
    /// A health check of the endpoint.
    HealthCheck,
}

/// How a task ended.
#[derive(Debug)]
pub(crate) struct Completion {
    /// The task.
    pub task: Task,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was handed to the backend.
    pub elapsed: Duration,
    /// The log position that came with the answer.
    pub log_position: Option<LogPosition>,
    /// The role that came with the answer.
    pub role: Option<Role>,
    /// The load report that came with the answer; empty where none came.
    pub report: LoadReport,
    /// The value for the client, if any.
    pub value: Vec<u8>,
}

/// What the connections report to the pooler.
#[derive(Debug)]
pub(crate) enum Event {
    /// A client has sent a query.
    QueryReceived {
        /// The connection of the client.
        client: ConnectionId,
        /// The query.
        query: Box<Query>,
        /// When its last byte was received.
        received_at: Instant,
    },
    /// A client has disconnected while its query was in progress.
    ClientDisconnected(ConnectionId),
    /// The cancellation of the query of the client with this key was requested.
    CancelRequested(CancelKey),
    /// An attempt or a health check has ended.
    TaskCompleted(Box<Completion>),
    /// The endpoint list was updated.
    EndpointsUpdated(UpdateKind, Vec<ListedEndpoint>),
    /// The watch of the endpoint list has failed.
    WatchFailed,
}

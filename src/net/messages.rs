//! Types exchanged between the network modules, independent of the wire protocols.

use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::buffer::MemoryReservation;
use super::reactor::ConnectionId;
use super::request_ids::IdClaim;
use crate::endpoint_list::ListedEndpoint;
use crate::interface::{EndpointId, LoadReport, Outcome, RequestId, Role, UpdateKind};
use crate::time::{ClusterInstant, LogPosition};

/// Key that a client receives in BackendKeyData and sends in a CancelRequest to cancel its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CancelKey {
    /// Process ID of the server process in PostgreSQL. The pooler sends a random number instead.
    pub process_id: u32,
    /// Random secret key.
    pub secret: u32,
}

/// A statement as sent by the client.
#[derive(Debug)]
pub(crate) struct Statement {
    /// SQL text, including the leading query comment.
    pub text: Box<str>,
    /// Byte range of the client's timeout in `text` (decimal milliseconds).
    pub timeout_range: Range<usize>,
    /// Memory reservation for `text`; `None` until it is granted.
    pub memory: Option<MemoryReservation>,
}

impl Statement {
    /// Returns the text with its timeout replaced by `timeout`, in whole milliseconds and at least 1.
    pub fn with_timeout(&self, timeout: Duration) -> Vec<u8> {
        let before = &self.text[..self.timeout_range.start];
        let after = &self.text[self.timeout_range.end..];
        let millis = timeout.as_millis().max(1).to_string();
        [before, &millis, after].concat().into_bytes()
    }
}

/// A client query and the fields parsed from its comment.
#[derive(Debug)]
pub(crate) struct Query {
    /// Request ID chosen by the client.
    pub id: String,
    /// The claim to the ID; `None` if another request uses it.
    pub id_claim: Option<IdClaim>,
    /// Class name.
    pub class: String,
    /// Tenant name.
    pub tenant: String,
    /// Group that holds the data.
    pub group: u32,
    /// Client timeout, counted from when the query was received.
    pub timeout: Duration,
    /// Commit time that the query must observe, if the client sent one.
    pub session_token: Option<ClusterInstant>,
    /// Whether the query carries an idempotency key.
    pub has_idempotency_key: bool,
    /// Identifies the session: the first quoted string in the statement, if any. Escaped quotes are not
    /// handled: the key of `'it''s'` is `it`.
    pub session_key: Option<String>,
    /// Statement to forward.
    pub statement: Statement,
}

/// Why a query cannot be executed. The error texts are sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum InvalidQuery {
    /// The class is not defined in the settings.
    #[error("unknown class")]
    UnknownClass,
    /// The class requires an idempotency key and the query carries none.
    #[error("this class needs a key")]
    MissingIdempotencyKey,
    /// Another request with the same ID is open, or may still run.
    #[error("this id is in use, or its request may still run")]
    DuplicateId,
    /// An endpoint rejected the statement with an error that every endpoint would return.
    #[error("no database host takes this statement")]
    RejectedByEndpoint,
}

/// The final response to a query.
#[derive(Debug)]
pub(crate) enum Response {
    /// The result, as encoded by the endpoint.
    Value(Vec<u8>),
    /// The client can safely retry: the query was not executed, or a second execution has no effect.
    Rejected {
        /// How long the client should wait before a retry; `None` to send no Retry-After.
        retry_after: Option<Duration>,
    },
    /// No result was received; the query may have been executed.
    Failed,
    /// The query was cancelled at the client's request.
    Cancelled,
    /// The query cannot be executed.
    Invalid(InvalidQuery),
}

/// One attempt of a request, to be executed by the backend.
#[derive(Clone, Debug)]
pub(crate) struct AttemptTask {
    /// The request.
    pub request: RequestId,
    /// Attempt number within the request, starting at 0.
    pub number: usize,
    /// Statement to send.
    pub statement: Rc<Statement>,
}

/// A unit of work for an endpoint.
#[derive(Clone, Debug)]
pub(crate) enum Task {
    /// An attempt of a request.
    Attempt(AttemptTask),
    /// A health check of the endpoint.
    HealthCheck,
}

/// The result of a task.
#[derive(Debug)]
pub(crate) struct Completion {
    /// The task.
    pub task: Task,
    /// The endpoint that the task was sent to.
    pub endpoint: EndpointId,
    /// The outcome.
    pub outcome: Outcome,
    /// Time since the task was passed to the backend.
    pub elapsed: Duration,
    /// Log position reported with the reply.
    pub log_position: Option<LogPosition>,
    /// Role reported with the reply.
    pub role: Option<Role>,
    /// Load report received with the reply; empty if there was none.
    pub report: LoadReport,
    /// Result for the client; empty if there is none.
    pub value: Vec<u8>,
}

/// An event reported to the pooler by a connection.
#[derive(Debug)]
pub(crate) enum Event {
    /// A client has sent a query.
    QueryReceived {
        /// The client connection.
        client: ConnectionId,
        /// The query.
        query: Box<Query>,
        /// When its last byte was received.
        received_at: Instant,
    },
    /// A client has disconnected while its query was in progress.
    ClientDisconnected(ConnectionId),
    /// The running query of a client blocks others, although the process may soon be killed.
    QueryBlocksOthers(ConnectionId),
    /// A CancelRequest with this key was received.
    CancelRequested(CancelKey),
    /// The connection of an attempt, which had to be opened or synchronized, is ready for its query.
    AttemptReady {
        /// The connection to the endpoint.
        connection: ConnectionId,
        /// The attempt.
        attempt: AttemptTask,
    },
    /// An attempt or a health check has ended.
    TaskCompleted(Box<Completion>),
    /// The endpoint list was updated.
    EndpointsUpdated(UpdateKind, Vec<ListedEndpoint>),
    /// The endpoint list watch has failed.
    WatchFailed,
    /// The discovery service has begun to answer a watch, this long after the request, or sends messages
    /// again.
    WatchAnswered(Duration),
    /// The address of the discovery service has changed, and the watch was closed.
    WatchMoved,
}

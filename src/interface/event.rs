//! What the program that hosts the policy reports to it.

use super::{Endpoint, EndpointId, LoadReport, Outcome, RequestId, Role, UpdateKind};
use crate::time::{LogPosition, Span};
use std::sync::Arc;

/// A request as it was received from a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Its class, by number.
    pub class: usize,
    /// The group that holds its data.
    pub group: u32,
    /// Time until the client stops waiting.
    pub timeout: Span,
    /// Age of the session's last write, where the client carries it.
    pub session_token_age: Option<Span>,
    /// Its session.
    pub session: Option<Arc<str>>,
    /// Its tenant, by number; a number that the settings do not have is not limited by a quota.
    pub tenant: usize,
    /// Predicted work, where known.
    pub predicted_work: Option<Span>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// Number of the attempt among those of the request, from 0.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the request has had its final answer.
    pub request_finished: bool,
    /// Time since the attempt was sent.
    pub elapsed: Span,
    /// Log position that came with the answer; for a write, its commit.
    pub log_position: Option<LogPosition>,
    /// Role that came with the answer.
    pub role: Option<Role>,
    /// The load report that came with the answer, if any.
    pub report: LoadReport,
}

/// Something that has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call for the endpoint list failed or its watch broke: the list received so far stays in force.
    WatchFailed,
    /// The endpoint list was updated.
    EndpointsUpdated {
        /// What the update contains.
        kind: UpdateKind,
        /// Its entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request was received.
    Request(Request),
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// A health check ended.
    HealthCheckFinished {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// What the endpoint reported.
        report: LoadReport,
    },
    /// A streamed response has begun: the policy has nothing more to decide about the request.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// The client has disconnected, or has cancelled its request.
    ClientDisconnected {
        /// Its request.
        id: RequestId,
    },
    /// The process may be killed before the request is answered: it needs its final answer now.
    ShutdownImminent {
        /// The request.
        id: RequestId,
    },
    /// A timer has expired.
    TimerExpired {
        /// The cookie that it was set with.
        cookie: u64,
    },
}

impl Event {
    /// A plain request of the first tenant, without session or predicted work.
    pub fn request(id: &str, class: usize, group: u32, timeout: Span) -> Event {
        Event::Request(Request {
            id: id.into(),
            class,
            group,
            timeout,
            session_token_age: None,
            session: None,
            tenant: 0,
            predicted_work: None,
        })
    }
}

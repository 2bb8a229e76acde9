//! Events: what the host program reports to a policy.

use super::{Endpoint, EndpointId, LoadReport, Outcome, RequestId, Role, UpdateKind};
use crate::time::{LogPosition, Span};
use std::sync::Arc;

/// A request as received from a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// The identifier of the request.
    pub id: RequestId,
    /// The index of the request class in [`Settings::classes`](crate::settings::Settings::classes).
    pub class: usize,
    /// The group that stores the data.
    pub group: u32,
    /// Time until the client gives up.
    pub timeout: Span,
    /// Age of the session's last write, if the client sent it.
    pub session_token_age: Option<Span>,
    /// The client session, if any.
    pub session: Option<Arc<str>>,
    /// The index of the tenant in [`Settings::tenant_quotas`](crate::settings::Settings::tenant_quotas). No
    /// quota applies to an index beyond the end.
    pub tenant: usize,
    /// Predicted execution time on an endpoint, if known.
    pub predicted_work: Option<Span>,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// The number of the attempt, from 0.
    pub attempt: usize,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the client already has the final answer to the request.
    pub request_finished: bool,
    /// Time since the attempt was sent.
    pub elapsed: Span,
    /// The log position in the answer, if any. For a write, this is the position of its commit.
    pub log_position: Option<LogPosition>,
    /// The role in the answer, if any.
    pub role: Option<Role>,
    /// The load report in the answer; empty if there was none.
    pub report: LoadReport,
}

/// An event that the policy has to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request for the endpoint list failed, or the watch was interrupted. The policy keeps using the last
    /// list that it received.
    WatchFailed,
    /// The discovery service has begun to answer a request for the endpoint list, or sends messages again.
    WatchAnswered {
        /// How long the service took from the request to the beginning of its answer.
        answer_time: Span,
    },
    /// The discovery service has moved, so that the watch was closed. It has to be requested at the new
    /// address.
    WatchMoved,
    /// The endpoint list was updated.
    EndpointsUpdated {
        /// Whether the update is a complete list or a delta.
        kind: UpdateKind,
        /// The entries of the update.
        endpoints: Vec<Endpoint>,
    },
    /// A request was received from a client.
    Request(Request),
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// A health check ended.
    HealthCheckFinished {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// The load report of the endpoint.
        report: LoadReport,
    },
    /// A streamed response has started. The policy makes no more decisions about the request.
    ResponseStarted {
        /// The request that is being answered.
        id: RequestId,
    },
    /// The client has disconnected or has cancelled its request.
    ClientDisconnected {
        /// The request of the client.
        id: RequestId,
    },
    /// The process may be killed before the request is answered: the request must get its final answer now.
    ShutdownImminent {
        /// The request to end.
        id: RequestId,
    },
    /// A timer has expired.
    TimerExpired {
        /// The value that was passed to [`Action::SetTimer`](super::Action::SetTimer).
        cookie: u64,
    },
}

impl Event {
    /// Returns a request of the first tenant, without a session, session token or predicted work.
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

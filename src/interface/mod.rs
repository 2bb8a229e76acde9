//! The messages between a [`Policy`](crate::Policy) and the program that hosts it: [`Event`]s go in and
//! [`Action`]s come out. Types only: no decision is taken here.
//!
//! The hosting program supplies the time with each event. Times on its own clock and on the clock of the
//! database hosts are types of their own, see [`crate::time`].

mod action;
mod event;

use std::sync::Arc;

pub use action::{Action, StateChange};
pub use event::{AttemptResult, Event, Request};

use crate::time::{ClusterInstant, LogPosition};

/// Identifies a request; opaque to the policy.
pub type RequestId = Arc<str>;
/// Identifies an endpoint, which is one database host; opaque to the policy.
pub type EndpointId = Arc<str>;

/// The status of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum EndpointStatus {
    /// It takes requests.
    #[default]
    Serving,
    /// It completes the requests that it has and takes no new ones.
    Draining,
    /// It was removed from the list.
    Removed,
}

/// The role of an endpoint in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It applies the log of the primary and takes reads.
    #[default]
    Replica,
}

impl Role {
    /// The role of an endpoint that is the primary, or is not.
    pub const fn primary_if(is_primary: bool) -> Role {
        if is_primary {
            Role::Primary
        } else {
            Role::Replica
        }
    }
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Its identifier.
    pub id: EndpointId,
    /// The zone that it is in.
    pub zone: u32,
    /// The group that it belongs to: one primary and its replicas.
    pub group: u32,
    /// Whether it takes requests.
    pub status: EndpointStatus,
    /// When it last started; `None` for long ago.
    pub started_at: Option<ClusterInstant>,
    /// The role that the list gives it.
    pub role: Role,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The entries that have changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as it was cached before a restart.
    Cached,
}

/// What an endpoint reported about itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The log position that it had applied.
    pub log_position: Option<LogPosition>,
    /// The role that it had.
    pub role: Option<Role>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served it.
    Success,
    /// The endpoint reported an error; the request may have been executed.
    Error,
    /// The endpoint rejected it unexecuted: it is overloaded, draining, or out of connections.
    Overloaded,
    /// No answer came in time; the request may have been executed.
    Timeout,
    /// The connection was not established, or was lost before the request was written; it was not executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    ConnectionReset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The endpoint rejected it unexecuted: it is not the primary, or its data is too old.
    Ineligible,
    /// The endpoint rejected it unexecuted as invalid; any other endpoint would do the same.
    InvalidRequest,
}

impl Outcome {
    /// Whether this outcome proves that the request was not executed.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded
                | Outcome::ConnectFailed
                | Outcome::NotSent
                | Outcome::Ineligible
                | Outcome::InvalidRequest
        )
    }

    /// Whether the endpoint answered, with any result.
    pub fn is_response(self) -> bool {
        matches!(
            self,
            Outcome::Success
                | Outcome::Error
                | Outcome::Overloaded
                | Outcome::Ineligible
                | Outcome::InvalidRequest
        )
    }
}

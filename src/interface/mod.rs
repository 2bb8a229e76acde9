//! The interface between a [`Policy`](crate::Policy) and its host program: the host passes [`Event`]s to the
//! policy and carries out the [`Action`]s that it returns. This module only defines types; it makes no
//! decisions.
//!
//! The host supplies the current time with each event. Times on the host's clock and on the clock of the
//! endpoints have different types, see [`crate::time`].

mod action;
mod event;
mod give_up_reason;

use std::sync::Arc;

pub use action::{Action, StateChange};
pub use event::{AttemptResult, Event, Request};
pub use give_up_reason::{AttemptDenied, GiveUpReason};

use crate::time::{ClusterInstant, LogPosition};

/// Identifies a request; opaque to the policy.
pub type RequestId = Arc<str>;
/// Identifies an endpoint, which is a single database host; opaque to the policy.
pub type EndpointId = Arc<str>;

/// The status of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum EndpointStatus {
    /// Accepts requests.
    #[default]
    Serving,
    /// Completes the requests in flight and accepts no new ones.
    Draining,
    /// Was removed from the list.
    Removed,
}

/// The role of an endpoint in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replays the log of the primary and accepts reads.
    #[default]
    Replica,
}

impl Role {
    /// Returns `Primary` if `is_primary` is true, and `Replica` otherwise.
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
    /// The identifier of the endpoint.
    pub id: EndpointId,
    /// The zone in which the endpoint runs.
    pub zone: u32,
    /// The group of the endpoint, which consists of one primary and its replicas.
    pub group: u32,
    /// Whether the endpoint accepts requests.
    pub status: EndpointStatus,
    /// When the endpoint last started; `None` if that was long ago.
    pub started_at: Option<ClusterInstant>,
    /// The role according to the endpoint list.
    pub role: Role,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the entries that have changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as cached before a restart.
    Cached,
}

/// The replication state that an endpoint reported. A field that is missing from the report is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The log position up to which the endpoint had applied the log.
    pub log_position: Option<LogPosition>,
    /// The role of the endpoint.
    pub role: Option<Role>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered successfully.
    Success,
    /// The endpoint reported an error; the request may have been executed.
    Error,
    /// The endpoint rejected the request without executing it, because it is overloaded, draining or out of
    /// connections.
    Overloaded,
    /// No answer was received in time; the request may have been executed.
    Timeout,
    /// The connection was not established, or was lost before the request was written; the request was not
    /// executed.
    ConnectFailed,
    /// The connection was lost; the request may have been executed.
    ConnectionReset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The endpoint rejected the request without executing it, because it is not the primary or its data is
    /// too old.
    Ineligible,
    /// The endpoint rejected the request as invalid without executing it; every other endpoint would do the
    /// same.
    InvalidRequest,
}

impl Outcome {
    /// Returns `true` if this outcome proves that the request was not executed.
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

    /// Returns `true` if the endpoint answered, even with an error or a rejection.
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

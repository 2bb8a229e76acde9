//! The words and the codes of the wire, each mapped once to the term that the code uses. The names of fields
//! are in [`layout`](super::layout).

use pg_pooler::interface::{EndpointStatus, Outcome, Role, UpdateKind};

/// The messages of the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageName {
    /// Sets the time of the messages that follow.
    Turn,
    /// Ends a batch; the simulator waits for the reply.
    EndOfBatch,
    /// Defines an inventory of endpoints, to which later messages refer.
    Inventory,
    /// Creates an instance of the policy.
    OpenInstance,
    /// Removes an instance.
    KillInstance,
    /// Is of no meaning to the policy.
    Ignored,
    /// Is addressed to one instance and handled by its policy.
    Instance(InstanceMessageName),
}

/// The messages to an instance that are handled by its policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceMessageName {
    /// The endpoint list was updated, or could not be.
    EndpointsUpdated,
    /// A client's request was received.
    RequestReceived,
    /// An attempt ended.
    AttemptFinished,
    /// A health check ended.
    HealthChecked,
    /// A streamed response has begun.
    ResponseStarted,
    /// The client has disconnected, or has cancelled its request.
    ClientDisconnected,
    /// A timer has expired.
    TimerExpired,
}

impl MessageName {
    /// The message of this name on the wire, if there is one. The names are compared in this order: the most
    /// frequent ones come first.
    pub fn from_wire(name: &str) -> Option<MessageName> {
        Some(match name {
            "timeoutFired" => MessageName::Instance(InstanceMessageName::TimerExpired),
            "done" => MessageName::Instance(InstanceMessageName::AttemptFinished),
            "arrival" => MessageName::Instance(InstanceMessageName::RequestReceived),
            "turn" => MessageName::Turn,
            "yourTurn" => MessageName::EndOfBatch,
            "echo" => MessageName::Instance(InstanceMessageName::HealthChecked),
            "members" => MessageName::Instance(InstanceMessageName::EndpointsUpdated),
            "accepted" => MessageName::Instance(InstanceMessageName::ResponseStarted),
            "cancelledByClient" => MessageName::Instance(InstanceMessageName::ClientDisconnected),
            "inventory" => MessageName::Inventory,
            "openInstance" => MessageName::OpenInstance,
            "kill" => MessageName::KillInstance,
            "message" => MessageName::Ignored,
            _ => return None,
        })
    }
}

/// The lines of a reply. Each begins with its name and the instance, except for the last one.
pub mod reply {
    /// Start an attempt: request, endpoint, timeout (seconds).
    pub const SEND: &str = "forward";
    /// Cancel an attempt: request, number of the attempt.
    pub const CANCEL_ATTEMPT: &str = "cancel";
    /// Reject a request: request, Retry-After (seconds; 0 for none).
    pub const REJECT: &str = "decline";
    /// Fail a request: request.
    pub const FAIL: &str = "fail";
    /// Set a timer: when it expires (seconds), cookie.
    pub const SET_TIMER: &str = "remind";
    /// Send a health check: endpoint.
    pub const HEALTH_CHECK: &str = "touch";
    /// Close the idle connections to an endpoint: endpoint.
    pub const CLOSE_IDLE_CONNECTIONS: &str = "letGo";
    /// Watch the endpoint list from now on: always true.
    pub const WATCH: &str = "listen";
    /// Write a line to the operator's log: text.
    pub const LOG: &str = "journalLine";
    /// The reply is complete.
    pub const END: &str = "finished";
}

/// The status of an endpoint.
pub fn endpoint_status(phase: &str) -> Option<EndpointStatus> {
    Some(match phase {
        "active" => EndpointStatus::Serving,
        "leaving" => EndpointStatus::Draining,
        "left" => EndpointStatus::Removed,
        _ => return None,
    })
}

/// An update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// There is none: a call failed or the watch broke.
    WatchFailed,
    /// It contains this.
    Contents(UpdateKind),
}

/// The update of this kind on the wire, if there is one.
pub fn list_update(kind: &str) -> Option<ListUpdate> {
    Some(match kind {
        "INCREMENTAL" => ListUpdate::Contents(UpdateKind::Delta),
        "FULL" => ListUpdate::Contents(UpdateKind::Snapshot),
        "SAVED" => ListUpdate::Contents(UpdateKind::Cached),
        "FAILED" => ListUpdate::WatchFailed,
        _ => return None,
    })
}

/// How an attempt or a health check ended.
pub fn outcome(code: i64) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Error,
        1 => Outcome::Success,
        2 => Outcome::Overloaded,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::ConnectionReset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        8 => Outcome::Ineligible,
        _ => return None,
    })
}

/// The role in which an endpoint answered; `None` where the answer does not say.
pub fn role(code: i64) -> Option<Role> {
    match code {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    }
}

/// Whether a flag that the wire carries as a number is set.
pub fn is_set(flag: f64) -> bool {
    flag == 1.0
}

/// The bits of a request's options. That the client has sent the request before (2) is read by no rule.
pub mod request_option {
    /// The predicted work is valid.
    pub const PREDICTED_WORK: i64 = 1;
}

/// The fields of a load report, which is an object.
pub mod load_report {
    /// The applied log position (seconds after the base time of the instance).
    pub const LOG_POSITION: &str = "x0";
    /// Whether the endpoint is the primary (a flag as a number).
    pub const IS_PRIMARY: &str = "x1";
}

/// Where the settings of an instance hold its base time (Unix seconds).
pub const BASE_TIME_POINTER: &str = "/specifics/baseTime";

//! The names and codes on the wire, each mapped once to the term used in the code. Field names are in
//! [`layout`](super::layout).

use pg_pooler::interface::{EndpointStatus, Outcome, Role, UpdateKind};

/// The messages that the simulator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageName {
    /// Sets the time of the following messages.
    SetTime,
    /// Ends a batch; the simulator waits for the reply.
    EndOfBatch,
    /// Defines an inventory of endpoints that later messages refer to.
    Inventory,
    /// Creates a policy instance.
    OpenInstance,
    /// Removes a policy instance.
    CloseInstance,
    /// Has no meaning for the policy.
    Ignored,
    /// A message to one policy instance.
    Instance(InstanceMessageName),
}

/// The messages to a policy instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceMessageName {
    /// The endpoint list was updated, or an update failed.
    EndpointsUpdated,
    /// A client's request was received.
    RequestReceived,
    /// An attempt ended.
    AttemptFinished,
    /// A health check ended.
    HealthCheckFinished,
    /// A streamed response began.
    ResponseStarted,
    /// The client disconnected or cancelled its request.
    ClientDisconnected,
    /// A timer expired.
    TimerExpired,
}

impl MessageName {
    /// Returns the message with this name on the wire. The names are compared in this order, so the most
    /// frequent ones are listed first.
    pub fn from_wire(name: &str) -> Option<MessageName> {
        Some(match name {
            "timeoutFired" => MessageName::Instance(InstanceMessageName::TimerExpired),
            "done" => MessageName::Instance(InstanceMessageName::AttemptFinished),
            "arrival" => MessageName::Instance(InstanceMessageName::RequestReceived),
            "turn" => MessageName::SetTime,
            "yourTurn" => MessageName::EndOfBatch,
            "echo" => MessageName::Instance(InstanceMessageName::HealthCheckFinished),
            "members" => MessageName::Instance(InstanceMessageName::EndpointsUpdated),
            "accepted" => MessageName::Instance(InstanceMessageName::ResponseStarted),
            "cancelledByClient" => MessageName::Instance(InstanceMessageName::ClientDisconnected),
            "inventory" => MessageName::Inventory,
            "openInstance" => MessageName::OpenInstance,
            "kill" => MessageName::CloseInstance,
            "message" => MessageName::Ignored,
            _ => return None,
        })
    }
}

/// The names of the lines in a reply. Each line has its name and the instance, followed by the fields listed
/// here; the last line has only its name.
pub mod reply {
    /// Start an attempt: request, endpoint, timeout (seconds).
    pub const SEND: &str = "forward";
    /// Cancel an attempt: request, attempt number.
    pub const CANCEL_ATTEMPT: &str = "cancel";
    /// Reject a request: request, Retry-After (seconds; 0 for none).
    pub const REJECT: &str = "decline";
    /// Fail a request: request.
    pub const FAIL: &str = "fail";
    /// Set a timer: expiry time (seconds), cookie.
    pub const SET_TIMER: &str = "remind";
    /// Send a health check: endpoint.
    pub const HEALTH_CHECK: &str = "touch";
    /// Close the idle connections to an endpoint: endpoint.
    pub const CLOSE_IDLE_CONNECTIONS: &str = "letGo";
    /// Watch the endpoint list: always true.
    pub const WATCH: &str = "listen";
    /// Write a line to the operator's log: message.
    pub const LOG: &str = "journalLine";
    /// The reply is complete.
    pub const END: &str = "finished";
}

/// Returns the endpoint status with this name on the wire.
pub fn endpoint_status(name: &str) -> Option<EndpointStatus> {
    Some(match name {
        "active" => EndpointStatus::Serving,
        "leaving" => EndpointStatus::Draining,
        "left" => EndpointStatus::Removed,
        _ => return None,
    })
}

/// The result of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// No list was received: a call failed or the watch was lost.
    Failed,
    /// A list was received.
    Received(UpdateKind),
}

/// Returns the result of an update with this kind on the wire.
pub fn update_result(kind: &str) -> Option<UpdateResult> {
    Some(match kind {
        "INCREMENTAL" => UpdateResult::Received(UpdateKind::Delta),
        "FULL" => UpdateResult::Received(UpdateKind::Snapshot),
        "SAVED" => UpdateResult::Received(UpdateKind::Cached),
        "FAILED" => UpdateResult::Failed,
        _ => return None,
    })
}

/// Returns the outcome of an attempt or a health check with this code on the wire.
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

/// Returns the role in which an endpoint answered, or `None` if the response does not say.
pub fn role(code: i64) -> Option<Role> {
    match code {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    }
}

/// Returns `true` if a numeric flag is set.
pub fn is_set(flag: f64) -> bool {
    flag == 1.0
}

/// Bits of the options of a request. The bit of value 2, which marks a retry by the client, is not used.
pub mod request_option {
    /// The predicted work is valid.
    pub const PREDICTED_WORK: i64 = 1;
}

/// The keys of a load report, which is an object.
pub mod load_report {
    /// The applied log position (seconds after the base time of the instance).
    pub const LOG_POSITION: &str = "x0";
    /// Whether the endpoint is the primary (a numeric flag).
    pub const IS_PRIMARY: &str = "x1";
}

/// JSON pointer to the base time (Unix seconds) in the settings of an instance.
pub const BASE_TIME_POINTER: &str = "/specifics/baseTime";

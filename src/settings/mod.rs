//! The settings of a [`Policy`](crate::Policy).

mod validation;

pub use validation::SettingsError;
pub(crate) use validation::{require_non_negative, validate};

use crate::time::Span;

/// The effect of executing a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing the request again has no further effect.
    Idempotent,
    /// The request carries an idempotency key: the endpoints of its [`DeduplicationScope`] drop duplicates
    /// during [`RequestClass::deduplication_window`].
    IdempotencyKey,
    /// Executing the request again may apply its effect twice.
    NonIdempotent,
}

/// The endpoints that together drop duplicates of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    AnyEndpoint,
    /// The endpoints of the request's group.
    Group,
}

/// The consistency level of a request class: how recent the data of an answer must be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Consistency {
    /// The request is a write, which only the primary executes.
    Write,
    /// The read must see every commit that precedes its arrival at the pooler.
    Strong,
    /// The read must see the previous writes of its own session (read your writes).
    Session,
    /// The data may be at most this old at the time the request is sent.
    BoundedStaleness(Span),
    /// Any endpoint may answer, however old its data is.
    Eventual,
}

/// A class of requests that have the same requirements.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// An answer within this time counts with the full priority weight.
    pub latency_objective: Span,
    /// The latency objective is extended by the request's predicted work times this factor.
    pub latency_objective_factor: f64,
    /// Longest time that a client waits for an answer.
    pub deadline: Span,
    /// How long duplicates with the same idempotency key are dropped.
    pub deduplication_window: Span,
    /// The effect of executing a request more than once.
    pub idempotency: Idempotency,
    /// Which endpoints drop duplicates.
    pub deduplication_scope: DeduplicationScope,
    /// Share of the priority weight with which an answer after the latency objective counts; 0 if late
    /// answers are of no use.
    pub late_weight: f64,
    /// Weight of an answer, relative to other classes. Under overload, requests with a lower weight are
    /// rejected first.
    pub priority_weight: f64,
    /// How recent the data of an answer must be.
    pub consistency: Consistency,
}

impl RequestClass {
    /// Returns `true` if requests of the class modify data.
    pub fn is_write(&self) -> bool {
        self.consistency == Consistency::Write
    }

    /// Returns the maximum age of the data for [`Consistency::BoundedStaleness`], and `None` for other
    /// levels.
    pub fn staleness_bound(&self) -> Option<Span> {
        match self.consistency {
            Consistency::BoundedStaleness(bound) => Some(bound),
            _ => None,
        }
    }

    /// Returns `true` if only the primary can answer requests of the class.
    pub fn needs_primary(&self) -> bool {
        matches!(self.consistency, Consistency::Write | Consistency::Strong)
    }
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            latency_objective: Span::from_secs(0.5),
            latency_objective_factor: 0.0,
            deadline: Span::from_secs(1.0),
            deduplication_window: Span::ZERO,
            idempotency: Idempotency::Idempotent,
            deduplication_scope: DeduplicationScope::Group,
            late_weight: 0.0,
            priority_weight: 1.0,
            consistency: Consistency::Eventual,
        }
    }
}

/// How an endpoint handles a read for which its data is too old.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StaleReadHandling {
    /// The endpoint answers with the data that it has.
    ServeStale,
    /// The endpoint rejects the read without executing it, at once or after waiting for replication to catch
    /// up.
    Reject,
}

impl StaleReadHandling {
    /// Returns `true` if endpoints reject reads for which their data is too old.
    pub fn rejects_stale_reads(self) -> bool {
        self != StaleReadHandling::ServeStale
    }
}

/// How a policy gets the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDelivery {
    /// Updates arrive without a watch.
    Unrequested,
    /// The policy has to request a watch from a service that all poolers share. Each request loads it.
    SharedService,
    /// The policy has to request a watch from an agent on its own machine. Requests cost nothing, and whatever
    /// the agent has been sent counts as known to the pooler.
    LocalAgent,
}

/// The settings of a policy. [`Policy::new`](crate::Policy::new) checks their ranges.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The request classes. Requests refer to them by index.
    pub classes: Vec<RequestClass>,
    /// The quota of each tenant in requests per second over all poolers; `None` for a tenant without a limit.
    /// Requests refer to tenants by index.
    pub tenant_quotas: Vec<Option<f64>>,
    /// Weight of a request that exceeds its tenant's quota, relative to a request within the quota.
    pub over_quota_weight: f64,
    /// Number of poolers that share the endpoints.
    pub pooler_count: u32,
    /// The zone in which the pooler runs.
    pub zone: u32,
    /// Whether pooler and endpoints share a clock. True only in the simulator: the clocks of real machines
    /// may be wrong.
    pub shares_endpoint_clock: bool,
    /// Timer resolution: events may be handled late by this much. A request gets its final answer at least
    /// this long before its deadline.
    pub tick: Span,
    /// Whether health checks are allowed and their answers report a log position or a role.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether hedged requests are allowed: two attempts of one request may be in flight at the same time.
    pub hedging: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether rejections may advise the client to wait before it retries (Retry-After).
    pub send_retry_after: bool,
    /// Longest Retry-After that a client honours.
    pub max_retry_after: Span,
    /// Time limit for establishing a connection to an endpoint.
    pub connect_timeout: Span,
    /// How the policy gets the endpoint list.
    pub list_delivery: ListDelivery,
    /// Longest time that may pass without an open watch of the endpoint list or a request for one.
    pub max_watch_gap: Span,
    /// How long requests may still be sent to an endpoint after its drain or removal is known.
    pub drain_grace: Span,
    /// Share of its full capacity that an endpoint has immediately after it starts.
    pub initial_capacity: f64,
    /// Time after its start at which an endpoint reaches its full capacity.
    pub slow_start_window: Span,
    /// An endpoint in slow start collapses if its load stays above this multiple of its current capacity for
    /// the whole [`overload_window`](Self::overload_window); `None` if it withstands any load.
    pub overload_limit: Option<f64>,
    /// How long an endpoint in slow start withstands a load above [`overload_limit`](Self::overload_limit).
    pub overload_window: Span,
    /// Whether an endpoint that was removed from the endpoint list without an announced drain may still be
    /// used.
    pub removal_is_advisory: bool,
    /// How endpoints handle reads for which their data is too old.
    pub stale_reads: StaleReadHandling,
    /// Whether reads with session consistency carry the age of the session's last write; otherwise the pooler
    /// keeps track of it.
    pub session_tokens_carried: bool,
}

impl Settings {
    /// Returns the maximum number of attempts of one request that may be in flight at the same time.
    pub fn max_attempts_in_flight(&self) -> usize {
        if self.hedging {
            2
        } else {
            1
        }
    }

    /// Returns the longest deadline of any class.
    pub fn longest_deadline(&self) -> Span {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Returns the share of its full capacity that an endpoint has at this uptime. The share grows linearly
    /// during slow start.
    pub fn capacity_at_uptime(&self, uptime: Span) -> f64 {
        if uptime >= self.slow_start_window {
            return 1.0;
        }
        let progress = (uptime / self.slow_start_window).max(0.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * progress
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: vec![RequestClass::default()],
            tenant_quotas: Vec::new(),
            over_quota_weight: 1.0,
            pooler_count: 1,
            zone: 0,
            shares_endpoint_clock: true,
            tick: Span::from_secs(0.005),
            health_checks: false,
            cancellation: true,
            hedging: false,
            max_attempts: 6,
            send_retry_after: true,
            max_retry_after: Span::from_secs(1.0),
            connect_timeout: Span::from_secs(0.25),
            list_delivery: ListDelivery::Unrequested,
            max_watch_gap: Span::from_secs(10.0),
            drain_grace: Span::from_secs(2.0),
            initial_capacity: 0.2,
            slow_start_window: Span::from_secs(15.0),
            overload_limit: Some(3.0),
            overload_window: Span::from_secs(2.0),
            removal_is_advisory: false,
            stale_reads: StaleReadHandling::Reject,
            session_tokens_carried: true,
        }
    }
}

//! The settings that a [`Policy`](crate::Policy) is created with.

mod validation;

pub use validation::SettingsError;
pub(crate) use validation::{require_non_negative, validate};

use crate::time::Span;

/// What happens when a request is executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating the request is harmless.
    Idempotent,
    /// The request carries an idempotency key: repeats are dropped inside a [`DeduplicationScope`] for a
    /// while.
    IdempotencyKey,
    /// A repeat may take effect twice.
    NonIdempotent,
}

/// The endpoints among which repeats of a request with an idempotency key are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every endpoint of the fleet.
    AnyEndpoint,
    /// The endpoints of the request's group.
    Group,
}

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Consistency {
    /// Not a read: only the primary takes it.
    Write,
    /// The read must see every commit from before it was received.
    Strong,
    /// The read must see its session's own writes.
    Session,
    /// The data may be at most this old when the request is sent.
    BoundedStaleness(Span),
    /// Any endpoint may answer.
    Eventual,
}

/// A class of requests, with what its clients expect.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// An answer within this time has the full priority weight.
    pub latency_objective: Span,
    /// The latency objective grows by this multiple of the request's predicted work.
    pub latency_objective_factor: f64,
    /// How long a client waits at most.
    pub deadline: Span,
    /// How long repeats with the same idempotency key are dropped.
    pub deduplication_window: Span,
    /// What a repeated execution can do.
    pub idempotency: Idempotency,
    /// Where repeats are dropped.
    pub deduplication_scope: DeduplicationScope,
    /// Share of the priority weight that an answer after the latency objective still has; 0 if it is of no
    /// use.
    pub late_weight: f64,
    /// Weight of one answer, relative to the other classes: under overload, requests of less weight are
    /// rejected first.
    pub priority_weight: f64,
    /// How recent the data must be.
    pub consistency: Consistency,
}

impl RequestClass {
    /// Whether its requests modify data.
    pub fn is_write(&self) -> bool {
        self.consistency == Consistency::Write
    }

    /// How old the data may be, where its reads are bounded.
    pub fn staleness_bound(&self) -> Option<Span> {
        match self.consistency {
            Consistency::BoundedStaleness(bound) => Some(bound),
            _ => None,
        }
    }

    /// Whether only the primary can answer its requests.
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

/// What an endpoint does with a read for which its data is too old.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StaleReadHandling {
    /// It answers from what it has.
    Serve,
    /// It rejects the read without executing it, at once or after it has waited to catch up.
    Reject,
}

impl StaleReadHandling {
    /// Whether endpoints themselves reject reads for which their data is too old.
    pub fn rejects_stale_reads(self) -> bool {
        self != StaleReadHandling::Serve
    }
}

/// Everything that a policy needs to know when it is created.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes, by number.
    pub classes: Vec<RequestClass>,
    /// Requests per second within each tenant's quota, over all poolers; `None` for a tenant without a limit.
    pub tenant_quotas: Vec<Option<f64>>,
    /// Weight of a request beyond its tenant's quota, relative to one within it.
    pub over_quota_weight: f64,
    /// How many poolers share the endpoints.
    pub pooler_count: u32,
    /// The pooler's own zone.
    pub zone: u32,
    /// Whether the pooler reads the same clock as the endpoints. A machine's own clock may be wrong.
    pub shares_endpoint_clock: bool,
    /// Granularity of time: events may be handled this much late. A request gets its final answer at least
    /// this long before its deadline.
    pub tick: Span,
    /// Whether health checks are allowed and their reports carry a log position or a role.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether one request may have two attempts in flight.
    pub hedging: bool,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Whether rejections may carry a Retry-After.
    pub send_retry_after: bool,
    /// Longest Retry-After that a client honours.
    pub max_retry_after: Span,
    /// A connection that is not established within this time fails.
    pub connect_timeout: Span,
    /// Whether the endpoint list has to be watched, rather than being pushed unasked.
    pub watch_endpoints: bool,
    /// Longest time that may pass without a watch or a call for the endpoint list.
    pub max_watch_gap: Span,
    /// A starting endpoint has at least this share of its capacity.
    pub initial_capacity: f64,
    /// A starting endpoint has its full capacity after this time.
    pub slow_start_window: Span,
    /// An endpoint in slow start collapses if its load exceeds this multiple of its present capacity
    /// throughout [`overload_window`](Self::overload_window); `None` if it withstands any load.
    pub overload_limit: Option<f64>,
    /// How long an endpoint in slow start withstands a load above [`overload_limit`](Self::overload_limit).
    pub overload_window: Span,
    /// Only an announced drain is binding; an endpoint that merely disappeared may still be used.
    pub removal_is_advisory: bool,
    /// What endpoints do with reads for which their data is too old.
    pub stale_reads: StaleReadHandling,
    /// Whether session reads carry the age of the session's last write; otherwise the pooler remembers it.
    pub session_tokens_carried: bool,
}

impl Settings {
    /// How many attempts of one request may be in flight at a time.
    pub fn max_attempts_in_flight(&self) -> usize {
        if self.hedging {
            2
        } else {
            1
        }
    }

    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Span {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Capacity of an endpoint so long after its start, as a share of its full one.
    pub fn capacity_at_uptime(&self, uptime: Span) -> f64 {
        if uptime >= self.slow_start_window {
            return 1.0;
        }
        let warmed_up = (uptime / self.slow_start_window).max(0.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * warmed_up
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
            watch_endpoints: false,
            max_watch_gap: Span::from_secs(10.0),
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

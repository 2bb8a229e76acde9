//! Drives one [`Policy`] with events on a simulated clock and records its actions.

use pg_pooler::interface::{
    Action, AttemptResult, Endpoint, Event, LoadReport, Outcome, Request, Role, UpdateKind,
};
use pg_pooler::settings::{Consistency, Idempotency, RequestClass, Settings};
use pg_pooler::time::{LocalInstant, LogPosition, Span};
use pg_pooler::Policy;

/// The primary of the default endpoint list, in the pooler's own zone.
pub const PRIMARY: &str = "primary";
/// The replica in the pooler's own zone.
pub const LOCAL_REPLICA: &str = "local-replica";
/// The replica in another zone.
pub const REMOTE_REPLICA: &str = "remote-replica";

/// The zone of the pooler.
pub const LOCAL_ZONE: u32 = 0;
/// A zone other than the pooler's own.
pub const REMOTE_ZONE: u32 = 1;

/// A write with an idempotency key, whose late answers keep part of their weight.
pub const KEYED_WRITE: usize = 0;
/// A read of data that is at most 0.5 s old.
pub const BOUNDED_READ: usize = 1;
/// A read that must see the writes of its own session.
pub const SESSION_READ: usize = 2;
/// A read that any endpoint may answer.
pub const EVENTUAL_READ: usize = 3;
/// A read that must see every commit from before it was received.
pub const STRONG_READ: usize = 4;
/// A write that must not be executed twice.
pub const NON_IDEMPOTENT_WRITE: usize = 5;

/// Expected endpoints of actions that send no request.
pub const NO_ENDPOINTS: [&str; 0] = [];

/// Timeout of the requests of [`Simulation::request`], in seconds.
const CLIENT_TIMEOUT: f64 = 1.8;
/// Time on the simulated clock when a simulation begins, in seconds.
const START_TIME: f64 = 100.0;
/// Seed of the simulations that are created without one.
const DEFAULT_SEED: u64 = 1;

pub const fn secs(seconds: f64) -> Span {
    Span::from_secs(seconds)
}

fn request_class(consistency: Consistency, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: secs(0.5),
        deadline: secs(2.0),
        deduplication_window: secs(1.2),
        idempotency,
        priority_weight: 1.0,
        consistency,
        ..RequestClass::default()
    }
}

/// Settings with the classes that the class constants of this module index.
pub fn default_settings() -> Settings {
    let keyed_write =
        RequestClass { late_weight: 0.3, ..request_class(Consistency::Write, Idempotency::IdempotencyKey) };
    Settings {
        classes: vec![
            keyed_write,
            request_class(Consistency::BoundedStaleness(secs(0.5)), Idempotency::Idempotent),
            request_class(Consistency::Session, Idempotency::Idempotent),
            request_class(Consistency::Eventual, Idempotency::Idempotent),
            request_class(Consistency::Strong, Idempotency::Idempotent),
            request_class(Consistency::Write, Idempotency::NonIdempotent),
        ],
        ..Settings::default()
    }
}

/// Returns an endpoint list entry whose role is primary.
pub fn primary(id: &str, zone: u32) -> Endpoint {
    Endpoint { role: Role::Primary, ..replica(id, zone) }
}

/// Returns an endpoint list entry whose role is replica.
pub fn replica(id: &str, zone: u32) -> Endpoint {
    Endpoint { id: id.into(), zone, role: Role::Replica, ..Endpoint::default() }
}

/// Returns a request of the session "s" with a timeout of one second.
pub fn session_request(id: &str, class: usize) -> Request {
    let Event::Request(request) = Event::request(id, class, 0, secs(1.0)) else { unreachable!() };
    Request { session: Some("s".into()), ..request }
}

/// Builder for the result of an attempt. By default it is the first attempt of its request and ends after
/// 50 ms, with neither a role nor a log position. A successful attempt finishes its request.
pub struct FinishedAttempt(AttemptResult);

impl FinishedAttempt {
    pub fn new(id: &str, endpoint: &str, outcome: Outcome) -> FinishedAttempt {
        FinishedAttempt(AttemptResult {
            id: id.into(),
            endpoint: endpoint.into(),
            attempt: 0,
            outcome,
            request_finished: outcome == Outcome::Success,
            elapsed: secs(0.05),
            log_position: None,
            role: None,
            report: LoadReport::default(),
        })
    }

    /// Sets the number of the attempt, counted from 0 within its request.
    pub fn number(mut self, attempt: usize) -> FinishedAttempt {
        self.0.attempt = attempt;
        self
    }

    /// Sets the role that the endpoint reported in its answer.
    pub fn role(mut self, role: Role) -> FinishedAttempt {
        self.0.role = Some(role);
        self
    }

    /// Sets the log position that came with the answer.
    pub fn log_position(mut self, log_position: impl Into<Option<f64>>) -> FinishedAttempt {
        self.0.log_position = log_position.into().map(LogPosition::from_secs);
        self
    }

    /// Sets the duration of the attempt, in seconds.
    pub fn elapsed(mut self, elapsed: f64) -> FinishedAttempt {
        self.0.elapsed = secs(elapsed);
        self
    }

    /// Marks the request as finished, regardless of the outcome.
    pub fn request_finished(mut self) -> FinishedAttempt {
        self.0.request_finished = true;
        self
    }
}

/// A policy on a simulated clock, with all its actions.
pub struct Simulation {
    pub policy: Policy,
    /// The simulated clock, in seconds.
    pub now: f64,
    /// All actions so far.
    pub actions: Vec<Action>,
    /// Expiry time and cookie of each pending timer.
    timers: Vec<(f64, u64)>,
}

impl Simulation {
    /// Creates a policy with one group: a primary and a replica in the pooler's zone, and a replica in
    /// another zone.
    pub fn new(settings: Settings) -> Simulation {
        let endpoints = vec![
            primary(PRIMARY, LOCAL_ZONE),
            replica(LOCAL_REPLICA, LOCAL_ZONE),
            replica(REMOTE_REPLICA, REMOTE_ZONE),
        ];
        Simulation::with_endpoints(settings, DEFAULT_SEED, |_| endpoints)
    }

    /// Creates a policy that starts with a cached endpoint list, which may depend on the start time.
    pub fn with_endpoints(
        settings: Settings,
        seed: u64,
        endpoints: impl FnOnce(f64) -> Vec<Endpoint>,
    ) -> Simulation {
        let mut simulation = Simulation {
            policy: Policy::new(settings, seed).unwrap(),
            now: START_TIME,
            actions: Vec::new(),
            timers: Vec::new(),
        };
        simulation.update_endpoints(UpdateKind::Cached, endpoints(START_TIME));
        simulation
    }

    /// Passes an event to the policy at the current time and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(LocalInstant::from_secs(self.now), event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { at, cookie } = action {
                self.timers.push((at.as_secs(), *cookie));
            }
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Passes an update of the endpoint list to the policy.
    pub fn update_endpoints(&mut self, kind: UpdateKind, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.handle(Event::EndpointsUpdated { kind, endpoints })
    }

    /// Advances the clock, delivers the timers that expire meanwhile and returns the resulting actions.
    pub fn advance_time(&mut self, seconds: f64) -> Vec<Action> {
        let end = self.now + seconds;
        let first_action = self.actions.len();
        while let Some((at, cookie)) = self.take_timer_due_by(end) {
            self.now = self.now.max(at);
            self.handle(Event::TimerExpired { cookie });
        }
        self.now = end;
        self.actions[first_action..].to_vec()
    }

    /// Removes and returns the earliest timer if it expires no later than `end`.
    pub fn take_timer_due_by(&mut self, end: f64) -> Option<(f64, u64)> {
        let expiries = self.timers.iter().map(|(at, _)| at).enumerate();
        let (earliest, at) = expiries.min_by(|a, b| a.1.total_cmp(b.1))?;
        (*at <= end).then(|| self.timers.swap_remove(earliest))
    }

    /// Receives a request of group 0 from a client.
    pub fn request(&mut self, id: &str, class: usize) -> Vec<Action> {
        self.handle(Event::request(id, class, 0, secs(CLIENT_TIMEOUT)))
    }

    /// Receives a request that must be sent to exactly one endpoint, and returns that endpoint.
    pub fn route(&mut self, id: &str, class: usize) -> String {
        let actions = self.request(id, class);
        let endpoints = sent_endpoints(&actions);
        assert_eq!(endpoints.len(), 1, "{id} was sent to {endpoints:?}");
        endpoints[0].to_string()
    }

    /// Receives `count` requests and returns the endpoints that they were sent to.
    pub fn request_many(&mut self, id_prefix: &str, count: usize, class: usize) -> Vec<String> {
        let first_action = self.actions.len();
        for index in 0..count {
            self.request(&format!("{id_prefix}{index}"), class);
        }
        sent_endpoints(&self.actions[first_action..]).into_iter().map(String::from).collect()
    }

    /// Ends an attempt after 50 ms, with neither a role nor a log position in the answer.
    pub fn finish_attempt(
        &mut self,
        id: &str,
        endpoint: &str,
        number: usize,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.finish_attempt_with(FinishedAttempt::new(id, endpoint, outcome).number(number))
    }

    /// Ends an attempt with the given result.
    pub fn finish_attempt_with(&mut self, attempt: FinishedAttempt) -> Vec<Action> {
        self.handle(Event::AttemptFinished(attempt.0))
    }

    /// Ends a health check with an empty report.
    pub fn finish_health_check(&mut self, endpoint: &str, outcome: Outcome) -> Vec<Action> {
        let report = LoadReport::default();
        self.handle(Event::HealthCheckFinished { endpoint: endpoint.into(), outcome, report })
    }

    /// Reports the log position that a replica has applied, with a successful health check.
    pub fn report_position(&mut self, endpoint: &str, log_position: f64) {
        let report = LoadReport {
            log_position: Some(LogPosition::from_secs(log_position)),
            role: Some(Role::Replica),
        };
        self.handle(Event::HealthCheckFinished {
            endpoint: endpoint.into(),
            outcome: Outcome::Success,
            report,
        });
    }

    /// Reports that a replica has applied every commit up to now.
    pub fn report_fresh(&mut self, endpoint: &str) {
        self.report_position(endpoint, self.now);
    }

    /// Returns `true` if the first attempt of a request, which has waited for its connection, may be sent
    /// now.
    pub fn allows_send(&mut self, id: &str) -> bool {
        self.policy.allows_send(LocalInstant::from_secs(self.now), &id.into(), 0)
    }

    /// Disconnects the client of a request.
    pub fn disconnect_client(&mut self, id: &str) -> Vec<Action> {
        self.handle(Event::ClientDisconnected { id: id.into() })
    }
}

/// Returns the endpoints that requests were sent to, in order.
pub fn sent_endpoints(actions: &[Action]) -> Vec<&str> {
    let endpoints = actions.iter().filter_map(|action| match action {
        Action::Send { endpoint, .. } => Some(endpoint.as_ref()),
        _ => None,
    });
    endpoints.collect()
}

/// Returns the first endpoint that a request was sent to, if any.
pub fn first_endpoint(actions: &[Action]) -> Option<String> {
    sent_endpoints(actions).first().map(ToString::to_string)
}

/// Counts the requests that got a final answer from the policy itself: a rejection or a failure.
pub fn count_final_answers(actions: &[Action]) -> usize {
    let is_final = |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
    actions.iter().filter(is_final).count()
}

/// Counts the health checks that were sent.
pub fn count_health_checks(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::HealthCheck { .. })).count()
}

/// Returns `true` if a request was rejected with a Retry-After above zero.
pub fn has_rejection_with_retry_after(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { retry_after: Some(wait), .. } if *wait > Span::ZERO))
}

//! Checks every action of the policy against the events that it has received.

use std::collections::HashMap;
use std::sync::Arc;

use pg_pooler::interface::{
    Action, AttemptResult, Endpoint, EndpointStatus, Event, LoadReport, Outcome, Request, StateChange,
    UpdateKind,
};
use pg_pooler::settings::{Consistency, Idempotency, RequestClass, Settings, StaleReadHandling};
use pg_pooler::time::LogPosition;

use super::coverage::Coverage;
use super::records::{AttemptRecord, EndpointRecord, RequestRecord};

/// Tolerance for the rounding of times, in seconds.
const TIME_ROUNDING: f64 = 1e-6;
/// How far a plausible log position may lie in the future, in seconds. The policy uses the same limit.
const POSITION_ROUNDING: f64 = 0.001;

/// A violated invariant, and the request that violates it.
pub struct Violation {
    pub invariant: &'static str,
    pub request: Arc<str>,
}

/// Tracks the events and checks the actions of one policy.
pub struct Checker {
    settings: Settings,
    now: f64,
    started_at: f64,
    endpoints: HashMap<Arc<str>, EndpointRecord>,
    /// The primary of each group, as last reported by the policy.
    announced_primaries: HashMap<u32, Option<Arc<str>>>,
    /// The log position that includes all ended writes, by session.
    session_commits: HashMap<Arc<str>, f64>,
    pub requests: HashMap<Arc<str>, RequestRecord>,
    pub coverage: Coverage,
}

impl Checker {
    pub fn new(settings: Settings, started_at: f64) -> Checker {
        Checker {
            settings,
            now: started_at,
            started_at,
            endpoints: HashMap::new(),
            announced_primaries: HashMap::new(),
            session_commits: HashMap::new(),
            requests: HashMap::new(),
            coverage: Coverage::default(),
        }
    }

    /// Records an event that the policy is about to receive.
    pub fn observe_event(&mut self, now: f64, event: &Event) {
        self.now = now;
        match event {
            Event::EndpointsUpdated { kind, endpoints } => self.observe_endpoints(*kind, endpoints),
            Event::Request(request) => self.observe_request(request),
            Event::AttemptFinished(result) => self.observe_result(result),
            Event::HealthCheckFinished { endpoint, outcome: Outcome::Success, report } => {
                self.observe_report(endpoint, report);
            }
            Event::ResponseStarted { id } => self.end_request(id),
            Event::ClientDisconnected { id } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.disconnected = true;
                    let is_in_flight = request.attempts.iter().any(AttemptRecord::is_in_flight);
                    self.coverage.disconnects_in_flight += usize::from(is_in_flight);
                }
            }
            Event::WatchFailed
            | Event::WatchAnswered { .. }
            | Event::WatchMoved
            | Event::HealthCheckFinished { .. }
            | Event::ShutdownImminent { .. }
            | Event::TimerExpired { .. } => {}
        }
    }

    fn observe_endpoints(&mut self, kind: UpdateKind, entries: &[Endpoint]) {
        if matches!(kind, UpdateKind::Snapshot | UpdateKind::Cached) {
            for record in self.endpoints.values_mut() {
                record.status = EndpointStatus::Removed;
            }
        }
        for entry in entries {
            let record = self.endpoints.entry(entry.id.clone()).or_default();
            record.group = entry.group;
            record.status = entry.status;
            record.draining = match entry.status {
                EndpointStatus::Serving => false,
                EndpointStatus::Draining => true,
                EndpointStatus::Removed => record.draining,
            };
        }
    }

    fn observe_request(&mut self, request: &Request) {
        let record = RequestRecord {
            class: request.class,
            group: request.group,
            arrived_at: self.now,
            deadline: self.now + request.timeout.min(self.settings.classes[request.class].deadline).as_secs(),
            session: request.session.clone(),
            session_position: self.session_position(request),
            attempts: Vec::new(),
            final_answers: 0,
            disconnected: false,
        };
        self.requests.insert(request.id.clone(), record);
    }

    /// Returns the log position that includes every earlier write of the request's session.
    fn session_position(&self, request: &Request) -> f64 {
        if self.settings.session_tokens_carried {
            return request.session_token_age.map_or(f64::NEG_INFINITY, |age| self.now - age.as_secs());
        }
        let Some(session) = &request.session else { return self.started_at };
        let is_write_in_flight = |other: &RequestRecord| {
            other.session.as_ref() == Some(session)
                && self.settings.classes[other.class].is_write()
                && other.attempts.iter().any(AttemptRecord::is_in_flight)
        };
        if self.requests.values().any(is_write_in_flight) {
            return self.now;
        }
        // A session without a recorded write may have written until the pooler started.
        self.session_commits.get(session).copied().unwrap_or(self.started_at)
    }

    fn observe_result(&mut self, result: &AttemptResult) {
        self.observe_position(&result.endpoint, result.log_position.map(LogPosition::as_secs));
        self.observe_report(&result.endpoint, &result.report);
        let Some(request) = self.requests.get_mut(&result.id) else { return };
        request.attempts[result.attempt].outcome = Some(result.outcome);
        let is_write = self.settings.classes[request.class].is_write();
        if let Some(session) = request.session.clone().filter(|_| is_write) {
            self.observe_write(session, result);
        }
        // A result that arrives after its request has finished is no answer to the client.
        let is_finished = self.requests.get(&result.id).is_some_and(RequestRecord::is_finished);
        if result.request_finished && !is_finished {
            self.end_request(&result.id);
        }
    }

    fn observe_write(&mut self, session: Arc<str>, result: &AttemptResult) {
        if result.outcome.proves_not_executed() {
            return;
        }
        let log_position = result.log_position.map(LogPosition::as_secs);
        let commit = log_position.filter(|commit| result.outcome == Outcome::Success && *commit <= self.now);
        let position = commit.unwrap_or(self.now);
        let known = self.session_commits.entry(session).or_insert(position);
        *known = known.max(position);
    }

    fn observe_report(&mut self, endpoint: &Arc<str>, report: &LoadReport) {
        self.observe_position(endpoint, report.log_position.map(LogPosition::as_secs));
    }

    fn observe_position(&mut self, endpoint: &Arc<str>, log_position: Option<f64>) {
        let plausible = log_position.filter(|p| p.is_finite() && *p <= self.now + POSITION_ROUNDING);
        if let (Some(position), Some(record)) = (plausible, self.endpoints.get_mut(endpoint)) {
            record.log_position = Some(record.log_position.map_or(position, |known| known.max(position)));
        }
    }

    fn end_request(&mut self, id: &Arc<str>) {
        if let Some(request) = self.requests.get_mut(id) {
            request.final_answers += 1;
        }
    }

    /// Checks the next of the actions that resulted from the last event.
    pub fn check_action(&mut self, action: &Action) -> Result<(), Violation> {
        match action {
            Action::Send { id, endpoint, timeout } => {
                self.check_send(id, endpoint, timeout.as_secs())
                    .map_err(|invariant| violation(invariant, id))?;
                self.record_coverage(id, endpoint);
                let attempt = AttemptRecord { sent_at: self.now, outcome: None };
                if let Some(request) = self.requests.get_mut(id) {
                    request.attempts.push(attempt);
                }
                Ok(())
            }
            Action::Reject { id, .. } | Action::Fail { id, .. } => {
                let rejects = matches!(action, Action::Reject { .. });
                self.check_final_answer(id, rejects).map_err(|invariant| violation(invariant, id))?;
                self.coverage.rejections += usize::from(rejects);
                self.coverage.failures += usize::from(!rejects);
                self.end_request(id);
                Ok(())
            }
            Action::Log(StateChange::PrimaryChanged { group, primary }) => {
                self.announced_primaries.insert(*group, primary.clone());
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn check_final_answer(&self, id: &Arc<str>, rejects: bool) -> Result<(), &'static str> {
        let request = self.requests.get(id).ok_or("a final answer belongs to a request that was received")?;
        require(!request.is_finished(), "each request gets at most one final answer")?;
        let is_in_time = self.now <= request.deadline + TIME_ROUNDING;
        require(is_in_time, "each request gets a final answer by its deadline")?;
        let class = &self.settings.classes[request.class];
        let is_retry_safe =
            class.idempotency != Idempotency::NonIdempotent || request.possibly_executed_since().is_none();
        require(
            !rejects || is_retry_safe,
            "a non-idempotent request that may have been executed fails and is not rejected",
        )
    }

    fn check_send(&self, id: &Arc<str>, endpoint: &Arc<str>, timeout: f64) -> Result<(), &'static str> {
        let request = self.requests.get(id).ok_or("a request is sent only after it was received")?;
        let target =
            self.endpoints.get(endpoint).ok_or("a request goes only to an endpoint that was listed")?;
        require(request.final_answers == 0, "nothing is sent after the final answer")?;
        require(!request.disconnected, "nothing is sent after the client disconnected")?;
        let in_flight = request.attempts.iter().filter(|attempt| attempt.is_in_flight()).count();
        let limit = if self.settings.hedging { 2 } else { 1 };
        require(
            in_flight < limit,
            "a request has two attempts in flight only with hedging, and never three",
        )?;
        require(target.group == request.group, "a request goes only to an endpoint of its own group")?;
        require(!target.draining, "nothing is sent to a draining endpoint")?;
        let removed = target.status == EndpointStatus::Removed && !self.settings.removal_is_advisory;
        require(!removed, "nothing is sent to a removed endpoint")?;
        let class = &self.settings.classes[request.class];
        self.check_repeat(request, class, timeout)?;
        let is_primary = self.announced_primaries.get(&request.group) == Some(&Some(endpoint.clone()));
        self.check_consistency(request, class, target, is_primary)
    }

    /// Checks that the class allows another attempt if an earlier one may have been executed.
    fn check_repeat(
        &self,
        request: &RequestRecord,
        class: &RequestClass,
        timeout: f64,
    ) -> Result<(), &'static str> {
        let Some(first) = request.possibly_executed_since() else { return Ok(()) };
        let window_end = first + class.deduplication_window.as_secs() + TIME_ROUNDING;
        match class.idempotency {
            Idempotency::Idempotent => Ok(()),
            Idempotency::NonIdempotent => {
                Err("a non-idempotent request that may have been executed is not repeated")
            }
            Idempotency::IdempotencyKey => {
                require(
                    self.now < window_end,
                    "no repeat is sent after the end of the deduplication window",
                )?;
                require(
                    self.now + timeout <= window_end,
                    "no repeat times out after the end of the deduplication window",
                )
            }
        }
    }

    /// Checks that a strong read goes to the primary. If endpoints serve stale reads, also checks that the
    /// endpoint of a session or bounded read is known to be fresh enough.
    fn check_consistency(
        &self,
        request: &RequestRecord,
        class: &RequestClass,
        target: &EndpointRecord,
        is_primary: bool,
    ) -> Result<(), &'static str> {
        let position = target.log_position.unwrap_or(f64::NEG_INFINITY);
        let serves_stale_reads = self.settings.stale_reads == StaleReadHandling::ServeStale;
        match class.consistency {
            Consistency::Strong => require(is_primary, "a strong read goes only to the primary"),
            Consistency::Session if serves_stale_reads => require(
                is_primary || position + TIME_ROUNDING >= request.session_position,
                "a session read goes only to an endpoint that has applied the session's writes",
            ),
            Consistency::BoundedStaleness(bound) if serves_stale_reads => require(
                is_primary || position + TIME_ROUNDING >= self.now - bound.as_secs(),
                "a bounded read goes only to an endpoint that is fresh enough",
            ),
            _ => Ok(()),
        }
    }

    /// Counts which invariants are exercised by an attempt that is about to start.
    fn record_coverage(&mut self, id: &Arc<str>, endpoint: &Arc<str>) {
        let (request, coverage) = (&self.requests[id], &mut self.coverage);
        let class = &self.settings.classes[request.class];
        let is_first = request.attempts.is_empty();
        let is_hedged = request.attempts.iter().any(AttemptRecord::is_in_flight);
        let is_repeat = request.possibly_executed_since().is_some();
        let is_keyed = class.idempotency == Idempotency::IdempotencyKey;
        let by_position =
            matches!(class.consistency, Consistency::Session | Consistency::BoundedStaleness(_))
                && self.settings.stale_reads == StaleReadHandling::ServeStale
                && self.announced_primaries.get(&request.group) != Some(&Some(endpoint.clone()));
        let is_draining = |other: &EndpointRecord| other.group == request.group && other.draining;
        coverage.queued_requests += usize::from(is_first && self.now > request.arrived_at);
        coverage.retries += usize::from(!is_first && !is_hedged);
        coverage.hedged_requests += usize::from(is_hedged);
        coverage.keyed_repeats += usize::from(is_repeat && is_keyed);
        coverage.reads_by_position += usize::from(by_position);
        coverage.sends_during_drain += usize::from(self.endpoints.values().any(is_draining));
    }

    /// Checks that each request got its final answer, once every deadline has passed.
    pub fn check_all_answered(&self) -> Result<(), Violation> {
        match self.requests.iter().find(|(_, request)| !request.is_finished()) {
            Some((id, _)) => Err(violation("each request gets a final answer", id)),
            None => Ok(()),
        }
    }
}

fn require(holds: bool, invariant: &'static str) -> Result<(), &'static str> {
    if holds {
        Ok(())
    } else {
        Err(invariant)
    }
}

fn violation(invariant: &'static str, request: &Arc<str>) -> Violation {
    Violation { invariant, request: request.clone() }
}

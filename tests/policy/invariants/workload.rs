//! A seeded simulation of clients, endpoints and discovery, which generates valid events for one policy.

use std::fmt;
use std::sync::Arc;

use pg_pooler::interface::{Action, AttemptResult, Event, LoadReport, Outcome, Request, Role, UpdateKind};
use pg_pooler::settings::{ListDelivery, Settings, StaleReadHandling};
use pg_pooler::time::LogPosition;

use super::checker::{Checker, Violation};
use super::hosts::{Hosts, GROUPS};
use crate::harness::{default_settings, secs, Simulation, KEYED_WRITE};

/// Simulated time after the last random event, in seconds. It exceeds every deadline, so that each request
/// must have been answered by then.
const SETTLE_TIME: f64 = 5.0;
/// Time until an overload rejection, a fast connection failure or a cancellation is reported, in seconds.
const ROUND_TRIP_TIME: f64 = 0.01;

/// The result of an attempt or a health check that the policy has not received yet.
struct Pending {
    due: f64,
    sent_at: f64,
    event: Event,
}

/// A violated invariant, with the events that led to it.
pub struct Failure {
    seed: u64,
    pub events: usize,
    violation: Violation,
    trace: Vec<String>,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation { invariant, request } = &self.violation;
        writeln!(f, "seed {}, event {}, request {request}: {invariant}", self.seed, self.events)?;
        self.trace.iter().try_for_each(|line| writeln!(f, "  {line}"))
    }
}

/// One policy, its simulated environment, and the checks of its actions.
pub struct Workload {
    seed: u64,
    random: fastrand::Rng,
    settings: Settings,
    sim: Simulation,
    pub checker: Checker,
    hosts: Hosts,
    pending: Vec<Pending>,
    /// Requests that have not finished.
    unfinished: Vec<Arc<str>>,
    history: Vec<(f64, Event, Vec<Action>)>,
    requests: usize,
}

fn random_settings(random: &mut fastrand::Rng) -> Settings {
    let mut settings = default_settings();
    settings.classes[KEYED_WRITE].deduplication_window = secs([0.4, 0.8, 1.2, 2.0][random.usize(..4)]);
    Settings {
        tenant_quotas: if random.bool() { vec![Some(50.0), Some(3.0)] } else { Vec::new() },
        over_quota_weight: random.f64(),
        pooler_count: [1, 3, 20][random.usize(..3)],
        health_checks: random.bool(),
        cancellation: random.bool(),
        hedging: random.bool(),
        max_attempts: random.u32(1..7),
        list_delivery: if random.bool() { ListDelivery::SharedService } else { ListDelivery::Unrequested },
        max_watch_gap: secs([2.0, 10.0][random.usize(..2)]),
        removal_is_advisory: random.bool(),
        stale_reads: if random.bool() { StaleReadHandling::ServeStale } else { StaleReadHandling::Reject },
        session_tokens_carried: random.bool(),
        ..settings
    }
}

impl Workload {
    pub fn new(seed: u64) -> Workload {
        let mut random = fastrand::Rng::with_seed(seed);
        let settings = random_settings(&mut random);
        let hosts = Hosts::new();
        let entries = hosts.list_entries();
        let sim = Simulation::with_endpoints(settings.clone(), seed, |_| entries.clone());
        let mut checker = Checker::new(settings.clone(), sim.now);
        let first = Event::EndpointsUpdated { kind: UpdateKind::Cached, endpoints: entries };
        checker.observe_event(sim.now, &first);
        for action in &sim.actions {
            assert!(checker.check_action(action).is_ok(), "nothing is sent before the first request");
        }
        let history = vec![(sim.now, first, sim.actions.clone())];
        let (pending, unfinished) = (Vec::new(), Vec::new());
        Workload { seed, random, settings, sim, checker, hosts, pending, unfinished, history, requests: 0 }
    }

    /// Delivers the given number of random events, and then waits until every deadline has passed.
    pub fn run(&mut self, events: usize) -> Result<(), Failure> {
        self.run_events(events).map_err(|violation| Failure {
            seed: self.seed,
            events: self.history.len(),
            trace: self.trace_of(&violation.request),
            violation,
        })
    }

    fn run_events(&mut self, events: usize) -> Result<(), Violation> {
        for _ in 0..events {
            let pause = match self.random.u32(..100) {
                0 => 10.0,
                1..=4 => 1.0,
                _ => 0.02,
            };
            let pause = pause * self.random.f64();
            self.advance_time(pause)?;
            let event = self.next_event();
            self.deliver(event)?;
        }
        self.advance_time(SETTLE_TIME)?;
        self.checker.check_all_answered()
    }

    /// Advances the clock and delivers the timers and results that become due, in order.
    fn advance_time(&mut self, seconds: f64) -> Result<(), Violation> {
        let end = self.sim.now + seconds;
        loop {
            let earliest = (0..self.pending.len())
                .min_by(|a, b| self.pending[*a].due.total_cmp(&self.pending[*b].due))
                .filter(|index| self.pending[*index].due <= end);
            let horizon = earliest.map_or(end, |index| self.pending[index].due);
            if let Some((at, cookie)) = self.sim.take_timer_due_by(horizon) {
                self.sim.now = self.sim.now.max(at);
                self.deliver(Event::TimerExpired { cookie })?;
            } else if let Some(index) = earliest {
                let pending = self.pending.swap_remove(index);
                self.sim.now = self.sim.now.max(pending.due);
                let event = self.complete_result(pending);
                self.deliver(event)?;
            } else {
                self.sim.now = end;
                return Ok(());
            }
        }
    }

    /// Sets the fields of an attempt result that are known only when it is delivered.
    fn complete_result(&mut self, pending: Pending) -> Event {
        let Event::AttemptFinished(result) = pending.event else { return pending.event };
        let request = &self.checker.requests[&result.id];
        // A client that has disconnected gets no answer, so its request may be reported as finished or not.
        let is_finished = request.final_answers > 0 || request.disconnected && self.random.bool();
        let request_finished = result.request_finished || is_finished;
        let elapsed = self.sim.now - pending.sent_at;
        Event::AttemptFinished(AttemptResult { request_finished, elapsed: secs(elapsed), ..result })
    }

    fn deliver(&mut self, event: Event) -> Result<(), Violation> {
        self.checker.observe_event(self.sim.now, &event);
        let actions = self.sim.handle(event.clone());
        self.history.push((self.sim.now, event, actions.clone()));
        for action in actions {
            self.checker.check_action(&action)?;
            self.execute(action);
        }
        let requests = &self.checker.requests;
        self.unfinished.retain(|id| !requests[id].is_finished());
        Ok(())
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, endpoint, timeout } => self.start_attempt(id, endpoint, timeout.as_secs()),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(&id, attempt),
            Action::HealthCheck { endpoint } => self.start_health_check(endpoint),
            _ => {}
        }
    }

    fn start_attempt(&mut self, id: Arc<str>, endpoint: Arc<str>, timeout: f64) {
        let request = &self.checker.requests[&id];
        let (attempt, class) = (request.attempts.len() - 1, request.class);
        let rejects_stale_reads = self.settings.stale_reads != StaleReadHandling::ServeStale;
        let host = self.hosts.get(&endpoint, self.sim.now);
        let class = &self.settings.classes[class];
        let outcome = host.outcome(self.sim.now, class, rejects_stale_reads, &mut self.random);
        let report = if outcome.is_response() { self.report(&endpoint) } else { LoadReport::default() };
        let time = match outcome {
            Outcome::Timeout => timeout,
            Outcome::ConnectFailed if self.random.bool() => {
                self.settings.connect_timeout.as_secs().min(timeout)
            }
            Outcome::ConnectFailed | Outcome::Overloaded => ROUND_TRIP_TIME.min(timeout),
            // One answer in twenty may be slow enough to be overdue.
            _ if self.random.u32(..20) == 0 => timeout * self.random.f64(),
            _ => (0.1 * self.random.f64()).min(timeout),
        };
        let result = AttemptResult {
            id,
            endpoint,
            attempt,
            outcome,
            request_finished: matches!(outcome, Outcome::Success | Outcome::InvalidRequest),
            elapsed: secs(0.0),
            log_position: report.log_position,
            role: report.role.filter(|_| self.random.u32(..4) > 0),
            report: if self.random.bool() { report } else { LoadReport::default() },
        };
        self.schedule(time, Event::AttemptFinished(result));
    }

    fn start_health_check(&mut self, endpoint: Arc<str>) {
        let outcome = self.hosts.get(&endpoint, self.sim.now).health_check_outcome();
        let is_served = outcome == Outcome::Success;
        let report = if is_served { self.report(&endpoint) } else { LoadReport::default() };
        let time = 0.05 * self.random.f64();
        self.schedule(time, Event::HealthCheckFinished { endpoint, outcome, report });
    }

    /// Returns the load report of an endpoint.
    fn report(&mut self, endpoint: &Arc<str>) -> LoadReport {
        let host = self.hosts.get(endpoint, self.sim.now);
        let log_position = host.reported_position(self.sim.now, &mut self.random);
        LoadReport {
            log_position: log_position.map(LogPosition::from_secs),
            role: Some(Role::primary_if(host.is_primary)),
        }
    }

    fn schedule(&mut self, time: f64, event: Event) {
        let sent_at = self.sim.now;
        self.pending.push(Pending { due: sent_at + time, sent_at, event });
    }

    fn cancel_attempt(&mut self, id: &str, number: usize) {
        let due = self.sim.now + ROUND_TRIP_TIME;
        for pending in &mut self.pending {
            if let Event::AttemptFinished(result) = &mut pending.event {
                if &*result.id == id && result.attempt == number && pending.due > due {
                    pending.due = due;
                    result.outcome = Outcome::Cancelled;
                    result.request_finished = false;
                    (result.log_position, result.role) = (None, None);
                    result.report = LoadReport::default();
                }
            }
        }
    }

    fn next_event(&mut self) -> Event {
        self.hosts.change_randomly(self.sim.now, &mut self.random);
        let unfinished = (!self.unfinished.is_empty())
            .then(|| self.unfinished[self.random.usize(..self.unfinished.len())].clone());
        match (self.random.u32(..100), unfinished) {
            (0..=3, Some(id)) => Event::ClientDisconnected { id },
            (4..=5, Some(id)) if self.has_attempt_in_flight(&id) => Event::ResponseStarted { id },
            (6, Some(id)) => Event::ShutdownImminent { id },
            (7..=14, _) => self.hosts.random_list_update(self.sim.now, &mut self.random),
            _ => self.new_request(),
        }
    }

    fn has_attempt_in_flight(&self, id: &Arc<str>) -> bool {
        self.checker.requests[id].attempts.iter().any(|attempt| attempt.is_in_flight())
    }

    fn new_request(&mut self) -> Event {
        let id: Arc<str> = format!("request-{}", self.requests).into();
        self.requests += 1;
        self.unfinished.push(id.clone());
        let random = &mut self.random;
        Event::Request(Request {
            id,
            class: random.usize(..self.settings.classes.len()),
            group: random.u32(..GROUPS),
            timeout: secs(0.2 + 2.0 * random.f64()),
            session_token_age: random.bool().then(|| secs(2.0 * random.f64())),
            session: Some(format!("session-{}", random.u32(..6)).into()).filter(|_| random.bool()),
            tenant: random.usize(..2),
            predicted_work: None,
        })
    }

    /// Formats the updates of the endpoint list, the changes of primary, and the events and actions of one
    /// request.
    fn trace_of(&self, request: &str) -> Vec<String> {
        let quoted = format!("{request:?}");
        let mut lines = Vec::new();
        for (now, event, actions) in &self.history {
            let text = format!("{event:?}");
            if matches!(event, Event::EndpointsUpdated { .. } | Event::WatchFailed) || text.contains(&quoted)
            {
                lines.push(format!("{now:.4} {text}"));
            }
            let relevant = |text: &String| text.contains(&quoted) || text.contains("PrimaryChanged");
            let actions = actions.iter().map(|action| format!("{action:?}")).filter(relevant);
            lines.extend(actions.map(|text| format!("{now:.4}   -> {text}")));
        }
        lines
    }
}

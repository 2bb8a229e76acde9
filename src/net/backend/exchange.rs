//! Execution of one task over a connection, from its start to its completion.

use std::time::{Duration, Instant};

use super::reply::Reply;
use crate::interface::{EndpointId, Outcome};
use crate::net::postgres;
use crate::net::{Context, Event, Task};

/// Query sent by a health check. Its result is a single value, the load report.
const LOAD_REPORT_QUERY: &[u8] = b"SHOW usage";

/// A task with its start time and deadline.
pub(super) struct Exchange {
    task: Task,
    started_at: Instant,
    deadline: Instant,
}

impl Exchange {
    /// Creates an exchange that starts at `now` and must end within `timeout`.
    pub fn new(task: Task, now: Instant, timeout: Duration) -> Exchange {
        Exchange { task, started_at: now, deadline: now + timeout }
    }

    /// Returns the task.
    pub fn task(&self) -> &Task {
        &self.task
    }

    /// Returns when the task was passed to the backend.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns when the result of the task is no longer needed.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns by when a connection must be ready for the task.
    pub fn ready_by(&self, connect_timeout: Duration) -> Instant {
        (self.started_at + connect_timeout).min(self.deadline)
    }

    /// Returns the Query message for the task. The statement of an attempt carries the time left until the
    /// deadline.
    pub fn query_message(&self, now: Instant) -> Vec<u8> {
        match &self.task {
            Task::Attempt(attempt) => {
                let sql = attempt.statement.with_timeout(self.deadline.saturating_duration_since(now));
                postgres::query_message(&sql)
            }
            Task::HealthCheck => postgres::query_message(LOAD_REPORT_QUERY),
        }
    }

    /// Queues the event that reports the completion of the task.
    pub fn complete(self, endpoint: &EndpointId, outcome: Outcome, reply: Reply, context: &mut Context) {
        if self.lacks_load_report(outcome, &reply) {
            context.counters.unreadable_reports += 1;
        }
        let elapsed = context.reactor.now().saturating_duration_since(self.started_at);
        let completion = reply.into_completion(self.task, endpoint.clone(), outcome, elapsed);
        context.events.push_back(Event::TaskCompleted(Box::new(completion)));
    }

    /// Returns `true` if this is a health check that succeeded without a readable load report.
    fn lacks_load_report(&self, outcome: Outcome, reply: &Reply) -> bool {
        matches!(self.task, Task::HealthCheck) && outcome == Outcome::Success && !reply.has_load_report()
    }
}

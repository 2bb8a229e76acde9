//! Handles the results of attempts and health checks.

use super::active_requests::ClientState;
use super::Pooler;
use crate::interface::{self, AttemptResult, Outcome};
use crate::net::messages::InvalidQuery;
use crate::net::reactor::span_of;
use crate::net::{AttemptTask, Completion, Context, Response, Task};

impl Pooler {
    /// Reports the result of a task to the policy, and responds to the client if the result is final.
    pub(super) fn on_task_completed(&mut self, completion: Completion, context: &mut Context) {
        match &completion.task {
            Task::HealthCheck => self.on_health_check_completed(completion, context),
            Task::Attempt(attempt) => self.on_attempt_completed(attempt.clone(), completion, context),
        }
    }

    fn on_health_check_completed(&mut self, completion: Completion, context: &mut Context) {
        let Completion { endpoint, outcome, report, .. } = completion;
        context.counters.health_check_outcomes.record(outcome);
        self.notify_policy(interface::Event::HealthCheckFinished { endpoint, outcome, report }, context);
    }

    fn on_attempt_completed(&mut self, attempt: AttemptTask, completion: Completion, context: &mut Context) {
        let AttemptTask { request: id, number, .. } = attempt;
        let outcome = completion.outcome;
        context.counters.attempt_outcomes.record(outcome);
        if outcome != Outcome::Success {
            let (endpoint, elapsed) = (&completion.endpoint, completion.elapsed);
            tracing::info!(request = %id, attempt = number, %endpoint, ?outcome, ?elapsed, "attempt ended");
        }
        let Some(client) = self.requests.record_attempt_finished(&id, number) else { return };
        let response = final_response(outcome, completion.value);
        let result = AttemptResult {
            id: id.clone(),
            endpoint: completion.endpoint,
            attempt: number,
            outcome,
            request_finished: response.is_some() || client == ClientState::NotWaiting,
            elapsed: span_of(completion.elapsed),
            log_position: completion.log_position,
            role: completion.role,
            report: completion.report,
        };
        // The policy is called first, so that it knows the result before the client can act on it. Its
        // actions are executed last, so that none of them delays this response or sends another one.
        let actions = self.decide(interface::Event::AttemptFinished(result), context);
        match response {
            Some(response) => self.finish_request(&id, response, context),
            None => self.requests.remove_if_finished(&id),
        }
        self.execute(actions, context);
    }
}

/// Returns the final response if the outcome of an attempt determines it, or `None` if the policy decides.
fn final_response(outcome: Outcome, value: Vec<u8>) -> Option<Response> {
    match outcome {
        Outcome::Success => Some(Response::Value(value)),
        Outcome::InvalidRequest => Some(Response::Invalid(InvalidQuery::RejectedByEndpoint)),
        _ => None,
    }
}

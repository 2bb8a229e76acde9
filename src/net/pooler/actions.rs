//! Executes the actions of the policy.

use std::time::Duration;

use super::Pooler;
use crate::interface::{Action, EndpointId, RequestId, StateChange};
use crate::net::reactor::{duration_of, ConnectionId, TimerEvent};
use crate::net::{AttemptTask, Context, Response, Task};

impl Pooler {
    /// Executes actions in order.
    pub(super) fn execute(&mut self, actions: Vec<Action>, context: &mut Context) {
        for action in actions {
            self.execute_one(action, context);
        }
    }

    fn execute_one(&mut self, action: Action, context: &mut Context) {
        match action {
            Action::Send { id, endpoint, timeout } => {
                self.send_attempt(id, &endpoint, duration_of(timeout), context);
            }
            Action::CancelAttempt { id, attempt } => {
                if let Some(connection) = self.requests.connection_of_attempt(&id, attempt) {
                    self.backend.cancel(connection, context);
                }
            }
            Action::Reject { id, retry_after, reason } => {
                let retry_after = retry_after.map(duration_of);
                tracing::info!(request = %id, %reason, ?retry_after, "request rejected");
                self.finish_request(&id, Response::Rejected { retry_after }, context);
            }
            Action::Fail { id, reason } => {
                tracing::info!(request = %id, %reason, "request failed");
                self.requests.retain_id(&id, context.reactor.now());
                self.finish_request(&id, Response::Failed, context);
            }
            Action::SetTimer { at, cookie } => {
                let at = context.reactor.instant_of(at);
                context.reactor.set_timer(at, TimerEvent::Policy(cookie));
            }
            Action::HealthCheck { endpoint } => self.send_health_check(&endpoint, context),
            Action::CloseIdleConnections { endpoint } => self.backend.close_unused_connections(&endpoint),
            Action::Watch => self.discovery.open_watch(context),
            Action::Log(change) => log_state_change(&change),
        }
    }

    fn send_attempt(
        &mut self,
        id: RequestId,
        endpoint: &EndpointId,
        timeout: Duration,
        context: &mut Context,
    ) {
        let Some(attempt) = self.requests.start_attempt(id.clone()) else { return };
        context.counters.attempts_sent += 1;
        let number = attempt.number;
        if number > 0 {
            tracing::info!(request = %id, attempt = number, %endpoint, "request sent again");
        }
        let connection = self.backend.send(Task::Attempt(attempt), endpoint, timeout, context);
        self.requests.record_attempt_sent(&id, number, connection);
    }

    /// Sends the query of an attempt that has waited for its connection, if the policy still allows that.
    pub(super) fn on_attempt_ready(
        &mut self,
        connection: ConnectionId,
        attempt: &AttemptTask,
        context: &mut Context,
    ) {
        let now = context.reactor.policy_time(context.reactor.now());
        if self.policy.allows_send(now, &attempt.request, attempt.number) {
            self.backend.send_prepared_query(connection, context);
        } else {
            let AttemptTask { request, number, .. } = attempt;
            tracing::info!(%request, attempt = number, "attempt withdrawn: its endpoint no longer qualifies");
            self.backend.withdraw_prepared_query(connection, context);
        }
    }

    fn send_health_check(&mut self, endpoint: &EndpointId, context: &mut Context) {
        context.counters.health_checks_sent += 1;
        self.backend.send(Task::HealthCheck, endpoint, self.health_check_timeout, context);
    }

    /// Sends the final response to a request, unless the client already has one or no longer waits. Cancels
    /// attempts whose queries are not sent yet, and removes the request unless an attempt is in flight.
    pub(super) fn finish_request(&mut self, id: &RequestId, response: Response, context: &mut Context) {
        if let Some(client) = self.requests.take_client(id) {
            self.frontend.respond(client, response, context);
        }
        // A query that is not yet sent must not be executed after the final response.
        for connection in self.requests.connections(id) {
            self.backend.cancel_unsent(connection, context);
        }
        self.requests.remove_if_finished(id);
    }
}

/// Logs a change of the policy's state, as a warning if an operator may have to act.
fn log_state_change(change: &StateChange) {
    match change {
        StateChange::WatchLost
        | StateChange::Ejected(_)
        | StateChange::SheddingLoad
        | StateChange::PrimaryChanged { primary: None, .. } => tracing::warn!("{change}"),
        StateChange::WatchRestored
        | StateChange::Reinstated(_)
        | StateChange::PrimaryChanged { primary: Some(_), .. } => tracing::info!("{change}"),
    }
}

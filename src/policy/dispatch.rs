//! The life cycle of a request: receipt, dispatch, attempts and the final answer.

use crate::interface::{Action, AttemptResult, GiveUpReason, Outcome, Request, RequestId, StateChange};
use crate::policy::cluster::{EndpointKey, PositionMeaning};
use crate::policy::endpoint::evidence::Observation;
use crate::policy::give_up;
use crate::policy::overdue::{self, OverdueAttempt};
use crate::policy::primary;
use crate::policy::read_routing::ReadRouter;
use crate::policy::request::{Attempt, EndedAttempt, PendingRequest, RequestContext, RequestKey};
use crate::policy::retry::{self, Replacement};
use crate::policy::{Policy, RouteError, RouteResult};
use crate::settings::Idempotency;
use crate::time::Span;

/// Share of a request's timeout for which it may wait without reaching an endpoint. The rest leaves its
/// client time to retry elsewhere.
pub(crate) const QUEUE_TIME_SHARE: f64 = 0.5;
/// Largest time before the deadline, in ticks, at which an expired timer counts as the one for the final
/// answer.
const FINAL_TIMER_TOLERANCE_TICKS: f64 = 2.0;

impl Policy {
    /// Handles a new request: sends it, queues it or gives it up.
    pub(crate) fn request_received(&mut self, request: Request) {
        if request.class >= self.cluster.settings().classes.len() {
            self.actions.push(Action::Reject {
                id: request.id,
                retry_after: None,
                reason: GiveUpReason::UnknownClass,
            });
            return;
        }
        self.record_request(&request);
        let context = self.create_context(&request);
        let queue_deadline = context.queue_deadline;
        let key = self.requests.insert(PendingRequest::new(request, context));
        let first_action = self.actions.len();
        self.dispatch(key);
        // A timer cannot be cancelled, so a request that is answered at once must not leave one behind.
        if self.requests.unfinished_mut(key).is_some() {
            self.actions.insert(first_action, Action::SetTimer { at: queue_deadline, cookie: key });
        }
    }

    /// Counts a request in the traffic of its group, and adds its deposits to the retry budget and the budget
    /// of health checks.
    fn record_request(&mut self, request: &Request) {
        let now = self.cluster.now();
        let needs_primary = self.cluster.class(request.class).needs_primary();
        self.retry_budget.deposit();
        self.health_checks.deposit();
        self.slow_start.record_request(request.group, needs_primary, &self.cluster);
        if let Some(group) = self.cluster.endpoints_mut().group_mut(request.group) {
            group.record_request(now);
        }
    }

    fn create_context(&mut self, request: &Request) -> RequestContext {
        let now = self.cluster.now();
        let class = self.cluster.class(request.class);
        // The class limits the deadline that a request may ask for.
        let time_left = request.timeout.clamp(Span::ZERO, class.deadline);
        let work = request.predicted_work.unwrap_or_default();
        let objective = class.latency_objective + class.latency_objective_factor * work;
        let queue_time = time_left * QUEUE_TIME_SHARE - self.cluster.settings().tick;
        RequestContext {
            objective_expires_at: now + objective.min(time_left),
            deadline: now + time_left,
            queue_deadline: now + queue_time.max(Span::ZERO),
            session_token: self.sessions.token(request, &self.requests, &self.cluster),
            quota_status: self.admission.charge_quota(request.tenant, now),
            sampling_value: self.rng.f64(),
        }
    }

    /// Gives up a request if its final answer is due, or if its queue time has expired and it has reached no
    /// endpoint. The timer for the final answer is set only once the one for the queue time has expired; the
    /// current time tells which of the two it is.
    pub(crate) fn request_timer_expired(&mut self, key: RequestKey) {
        let Some(request) = self.requests.unfinished_mut(key) else { return };
        let (now, tick) = (self.cluster.now(), self.cluster.settings().tick);
        let deadline = request.context().deadline;
        if now + FINAL_TIMER_TOLERANCE_TICKS * tick >= deadline {
            self.give_up(key, GiveUpReason::DeadlineReached);
        } else if request.has_reached_no_endpoint() {
            self.give_up(key, GiveUpReason::QueueTimeout);
        } else {
            // Guarantees a final answer just before the deadline.
            self.actions.push(Action::SetTimer { at: (deadline - tick).max(now), cookie: key });
        }
    }

    /// Gives up a request that must have its final answer before the process may be killed.
    pub(crate) fn shutdown_imminent(&mut self, id: &RequestId) {
        let Some(key) = self.requests.key(id) else { return };
        if self.requests.unfinished_mut(key).is_some() {
            self.give_up(key, GiveUpReason::Shutdown);
        }
    }

    /// Sends a request that has no attempt in flight, queues it, or gives it up.
    pub(crate) fn dispatch(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key).filter(|request| !request.is_in_flight()) else { return };
        if let Err(reason) = retry::check_dispatch(request, &self.cluster) {
            return self.give_up(key, reason);
        }
        let is_queue_time_over =
            self.cluster.now() >= request.context().queue_deadline && request.has_reached_no_endpoint();
        match self.route(key) {
            Ok(endpoint) => self.send(key, endpoint),
            Err(RouteError::Queue) if is_queue_time_over => self.give_up(key, GiveUpReason::QueueTimeout),
            Err(RouteError::Queue) => self.enqueue(key),
            Err(RouteError::GiveUp(reason)) => self.give_up(key, reason),
        }
    }

    fn route(&mut self, key: RequestKey) -> RouteResult {
        let no_endpoint = RouteError::GiveUp(GiveUpReason::NoEndpoint);
        let request = self.requests.get(key).ok_or(no_endpoint)?;
        if self.cluster.class(request.class()).needs_primary() {
            return primary::route(request, &self.cluster, &self.admission, &self.slow_start);
        }
        let router =
            ReadRouter::new(request, &self.cluster, &self.admission, &self.slow_start, &mut self.rng);
        router.ok_or(no_endpoint)?.route()
    }

    fn enqueue(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let Some(group) = self.cluster.endpoints_mut().group_mut(request.group()) else { return };
        if request.enter_queue() {
            group.enqueue(key);
        }
    }

    /// Starts an attempt; no attempt is started anywhere else. Does nothing if the earlier attempts forbid
    /// another one or the endpoint has moved to another group; the timers of the request still guarantee its
    /// final answer.
    pub(crate) fn send(&mut self, key: RequestKey, to: EndpointKey) {
        let now = self.cluster.now();
        let endpoint = self.cluster.endpoint(to);
        let Some(request) = self.requests.get_mut(key) else { return };
        let Ok(answer_by) = retry::next_attempt(request, &self.cluster) else { return };
        if request.group() != endpoint.listing().group() {
            return;
        }
        let timeout = (answer_by - now).max(self.cluster.settings().tick);
        let (id, endpoint) = (request.id().clone(), endpoint.id().clone());
        request.add_attempt(Attempt::new(to, now));
        self.actions.push(Action::Send { id, endpoint, timeout });
        self.slow_start.charge_budget(to, &self.cluster);
        self.cluster.endpoint_mut(to).record_attempt_sent(now);
    }

    /// Gives up a request with a rejection if the client may safely retry it, otherwise with a failure.
    pub(crate) fn give_up(&mut self, key: RequestKey, reason: GiveUpReason) {
        if reason.is_load_shedding() && self.admission.record_shedding(self.cluster.now()) {
            self.actions.push(Action::Log(StateChange::SheddingLoad));
        }
        let Some(request) = self.requests.get(key) else { return };
        self.actions.push(give_up::final_answer(request, reason, &self.cluster, &mut self.rng));
        self.requests.finish(key);
    }

    /// Handles the end of an attempt: evaluates its result, and finishes, retries or gives up the request.
    pub(crate) fn attempt_finished(&mut self, result: &AttemptResult) {
        let Some(endpoint) = self.cluster.endpoints().key(&result.endpoint) else { return };
        self.cluster.update_from_response(endpoint, result, self.position_meaning(result));
        self.cluster.update_from_report(endpoint, &result.report);
        if let Some(ended) = self.requests.end_attempt(result) {
            self.record_outcome(&ended, result);
            self.close_idle_connections(endpoint);
            if let Some(request) = self.requests.get(ended.key) {
                self.sessions.record_write(request, result, &self.cluster);
            }
            self.finish_or_retry(ended.key, endpoint, result);
        }
        self.update_primary(self.cluster.endpoint(endpoint).listing().group());
    }

    /// Returns what the log position in a response tells if a primary has sent it. A write with an
    /// idempotency key may be a repeat, also on its first attempt here: clients repeat writes that another
    /// pooler lost.
    fn position_meaning(&self, result: &AttemptResult) -> PositionMeaning {
        let request = self.requests.key(&result.id).and_then(|key| self.requests.get(key));
        let (Some(request), Some(attempt)) = (request, self.requests.attempt(result)) else {
            return PositionMeaning::Unknown;
        };
        let has_key = self.cluster.class(request.class()).idempotency == Idempotency::IdempotencyKey;
        if has_key && result.outcome == Outcome::Success {
            PositionMeaning::Commit
        } else {
            PositionMeaning::CurrentTime { sent_at: attempt.sent_at() }
        }
    }

    /// Applies the outcome of an attempt to the state of its endpoint and to the latency of its class.
    fn record_outcome(&mut self, ended: &EndedAttempt, result: &AttemptResult) {
        let now = self.cluster.now();
        let endpoint = ended.attempt.endpoint();
        self.cluster.endpoint_mut(endpoint).record_attempt_ended(result.outcome, now);
        let observation = Observation {
            attempt: &ended.attempt,
            result,
            endpoint: self.cluster.endpoint(endpoint),
            class_latency: self.admission.class_latency(ended.class),
            settings: self.cluster.settings(),
            now,
            cluster_now: self.cluster.estimated_now(),
        };
        let evidence = observation.evidence();
        if observation.is_connection_refused() {
            self.connection_shortage.record_refusal(&self.cluster);
        }
        if result.outcome == Outcome::Success {
            self.admission.record_latency(ended.class, result.elapsed);
        }
        let connect_timeout = self.cluster.settings().connect_timeout;
        let endpoint = self.cluster.endpoint_mut(endpoint);
        let change = endpoint.apply_evidence(&evidence, now, connect_timeout, &mut self.rng);
        self.actions.extend(change.map(Action::Log));
    }

    fn close_idle_connections(&mut self, endpoint: EndpointKey) {
        let endpoint = self.cluster.endpoint(endpoint);
        if self.connection_shortage.is_active(self.cluster.now()) && endpoint.load().in_flight() == 0 {
            self.actions.push(Action::CloseIdleConnections { endpoint: endpoint.id().clone() });
        }
    }

    fn finish_or_retry(&mut self, key: RequestKey, endpoint: EndpointKey, result: &AttemptResult) {
        let Some(request) = self.requests.get(key) else { return };
        if result.request_finished || request.is_finished() {
            return self.requests.finish(key);
        }
        let is_write = self.cluster.class(request.class()).is_write();
        let is_at_primary = self.cluster.endpoints().primary(request.group()) == Some(endpoint);
        if let Err(reason) = retry::charge_retry(result.outcome, is_at_primary, &mut self.retry_budget) {
            return self.give_up(key, reason);
        }
        if result.outcome == Outcome::Ineligible && is_write {
            self.update_primary(self.cluster.endpoint(endpoint).listing().group());
        }
        self.dispatch(key);
    }

    /// Records failures of unresponsive endpoints, and replaces overdue attempts.
    pub(crate) fn handle_overdue_attempts(&mut self) {
        for overdue in overdue::overdue_attempts(&self.requests, &self.admission, &self.cluster) {
            if overdue.cause.is_endpoint_unresponsive {
                self.record_unresponsive_endpoint(overdue.endpoint, overdue.late_attempts);
            }
            let Some(request) = self.requests.unfinished_mut(overdue.request) else { continue };
            if let Some(attempt) = request.attempt_mut(overdue.number) {
                if overdue.cause.is_endpoint_unresponsive {
                    attempt.mark_counted_as_failure();
                }
            }
            self.replace_attempt(&overdue);
        }
    }

    /// Hedges an overdue attempt, or cancels it for a retry, if either is allowed.
    fn replace_attempt(&mut self, overdue: &OverdueAttempt) {
        let Some(request) = self.requests.get_mut(overdue.request) else { return };
        let latency = self.admission.class_latency(request.class());
        let OverdueAttempt { number, cause, .. } = *overdue;
        match retry::replacement(request, number, cause, latency, &self.retry_budget, &self.cluster) {
            Some(Replacement::Hedge) => self.hedge(overdue),
            Some(Replacement::CancelAndRetry) => {
                if let Some(attempt) = request.attempt_mut(number) {
                    attempt.cancel();
                }
                self.actions.push(Action::CancelAttempt { id: request.id().clone(), attempt: number });
            }
            None => {}
        }
    }

    /// Sends a second attempt while an overdue one stays in flight, and only to another endpoint: a write
    /// that a primary has lost must not be sent to it again while the first attempt is in flight.
    fn hedge(&mut self, overdue: &OverdueAttempt) {
        let Ok(endpoint) = self.route(overdue.request) else { return };
        if endpoint != overdue.endpoint {
            self.retry_budget.withdraw();
            self.send(overdue.request, endpoint);
        }
    }
}

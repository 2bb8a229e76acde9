//! The life cycle of a request: receipt, attempts, idempotency, deadline.

use super::primary_search::HEALTH_CHECKS_PER_REQUEST;
use super::{NoRoute, Policy, Route, SAMPLE_WEIGHT};
use crate::interface::{Action, Request, RequestId};
use crate::state::{Attempt, EndpointKey, PendingRequest, RequestKey};
use crate::time::{LocalInstant, Span};

/// Retry tokens earned by each request: 10% more attempts cannot amplify an overload.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Largest retry budget: enough for the requests that one lost endpoint had in flight.
pub(super) const MAX_RETRIES: f64 = 20.0;
/// Share of its time that a request may wait unsent, which leaves its client time to retry elsewhere.
const QUEUE_TIME_SHARE: f64 = 0.5;
/// How long the program may be held up between a decision and the write that follows from it (seconds).
const MAX_HOLD_UP: Span = Span::from_secs(0.15);
/// Weight of a new sample in the share of reads, which changes slowly: about fifty requests.
const READ_SHARE_WEIGHT: f64 = 0.02;

impl Policy {
    pub(super) fn request_received(&mut self, request: Request) {
        if request.class >= self.settings.classes.len() {
            return self.actions.push(Action::Reject { id: request.id, retry_after: None });
        }
        let (now, tick) = (self.now, self.settings.tick);
        let class = self.class(request.class);
        // A request cannot claim a longer deadline than its class has.
        let time_left = request.timeout.clamp(Span::ZERO, class.deadline);
        let stretch = class.latency_objective_factor * request.predicted_work.unwrap_or_default();
        let objective = (class.latency_objective + stretch).min(time_left);
        let queue_until = now + (time_left * QUEUE_TIME_SHARE - tick).max(Span::ZERO);
        let is_read = f64::from(u8::from(!class.needs_primary()));
        let session_token = self.session_token(&request);
        self.read_share += READ_SHARE_WEIGHT * (is_read - self.read_share);
        self.retry_budget.deposit(RETRIES_PER_REQUEST);
        self.health_check_budget.deposit(HEALTH_CHECKS_PER_REQUEST);
        let quota = self.tenant_quotas.get_mut(request.tenant);
        let over_quota = quota.and_then(Option::as_mut).is_some_and(|quota| !quota.refill(now).withdraw());
        self.count_group_request(request.group);
        let key = self.requests.insert(PendingRequest {
            objective_at: now + objective,
            deadline: now + time_left,
            queue_until,
            session_token,
            over_quota,
            sampling_draw: self.rng.f64(),
            ..PendingRequest::new(request)
        });
        self.actions.push(Action::SetTimer { at: queue_until, cookie: key });
        // This timer guarantees a final answer just before the deadline.
        self.actions.push(Action::SetTimer { at: (now + time_left - tick).max(now), cookie: key });
        self.dispatch(key);
    }

    /// The timer expires at the end of the queue time, and again just before the deadline.
    pub(super) fn request_timer_expired(&mut self, key: RequestKey) {
        let Some(request) = self.requests.unfinished_mut(key) else { return };
        if request.untried() || self.now + 2.0 * self.settings.tick >= request.deadline {
            self.reject_or_fail(key);
        }
    }

    /// Gives up a request for which the program has no more time.
    pub(super) fn request_expired(&mut self, id: &RequestId) {
        let Some(key) = self.requests.key(id) else { return };
        if self.requests.unfinished_mut(key).is_some() {
            self.reject_or_fail(key);
        }
    }

    /// Routes a request that has no attempt in flight, or gives it up.
    pub(super) fn dispatch(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key).filter(|request| !request.in_flight()) else { return };
        let useful_until = request.useful_until(self.class(request.class).late_weight > 0.0);
        // Its final answer is due a tick before its deadline: nothing that is sent then could be answered in
        // time.
        let is_due = self.now + self.settings.tick >= request.deadline;
        if !self.may_attempt(request) || self.now >= useful_until || is_due {
            return self.reject_or_fail(key);
        }
        let has_waited = self.now >= request.queue_until && request.untried();
        match self.route(key) {
            Ok(endpoint) => self.send(key, endpoint),
            Err(NoRoute::Queue) if has_waited => self.reject_or_fail(key),
            Err(NoRoute::Queue) => self.endpoints.queue(key, &mut self.requests),
            Err(NoRoute::Reject) => self.shed(key),
        }
    }

    /// Whether a request may have one more attempt. One that may have been executed, or is in flight, is only
    /// repeated while its class allows that, counted from the first such attempt, less the time to connect or
    /// that of a hold-up.
    pub(super) fn may_attempt(&self, request: &PendingRequest) -> bool {
        let class = self.class(request.class);
        let may_overlap = request.attempts_in_flight() < self.settings.max_attempts_in_flight();
        let reserve = self.settings.connect_timeout.max(MAX_HOLD_UP);
        let is_in_time = |sent_at| self.now < class.repeatable_until(sent_at) - reserve;
        let may_repeat = request.may_have_run_since().is_none_or(is_in_time);
        may_overlap && may_repeat && (request.attempts.len() as u32) < self.settings.max_attempts
    }

    pub(super) fn route(&mut self, key: RequestKey) -> Route {
        let request = self.requests.get(key).ok_or(NoRoute::Reject)?;
        if !self.class(request.class).needs_primary() {
            return self.route_read(key);
        }
        let group = self.endpoints.groups.get(&request.group).filter(|group| !group.endpoints.is_empty());
        let primary = group.ok_or(NoRoute::Reject)?.primary.ok_or(NoRoute::Queue)?;
        if self.endpoints[primary].health.is_trial_due(self.now) {
            return Ok(primary);
        }
        if !self.is_healthy(primary) || !self.slow_start_admits_to_primary(request, primary) {
            return Err(NoRoute::Queue);
        }
        self.admit(request, primary, 1.0)
    }

    /// Starts an attempt if the request may have one at this endpoint. All attempts are started here.
    pub(super) fn send(&mut self, key: RequestKey, to: EndpointKey) {
        let endpoint = &self.endpoints[to];
        let is_allowed = |r: &&PendingRequest| r.group == endpoint.group && self.may_attempt(r);
        let Some(request) = self.requests.get(key).filter(is_allowed) else { return };
        // A retry must not wait for a connection, or in the endpoint's queue, until after the deduplication
        // window.
        let class = self.class(request.class);
        let first_sent_at = request.may_have_run_since();
        let window_end = first_sent_at.map_or(LocalInstant::from_secs(f64::INFINITY), |sent_at| {
            class.repeatable_until(sent_at) - MAX_HOLD_UP
        });
        let timeout = (request.deadline.min(window_end) - self.now).max(self.settings.tick);
        self.actions.push(Action::Send { id: request.id.clone(), endpoint: endpoint.id.clone(), timeout });
        self.spend_slow_start_budget(to);
        self.endpoints[to].attempt_sent(self.now, SAMPLE_WEIGHT);
        self.requests.add_attempt(key, Attempt::new(to, self.now));
    }
}

//! What the end of an attempt tells of its endpoint, and whether the request is retried.

use super::outlier_detection::{CONNECTION_LOST, CONNECTION_RESET, EJECTION_SCORE, FAILURE};
use super::overdue::LATE_DEVIATIONS;
use super::{Policy, SAMPLE_WEIGHT};
use crate::interface::{Action, AttemptResult, LoadReport, Outcome, Role};
use crate::state::{Attempt, EndpointKey, RequestKey};
use crate::time::Span;

/// Fewer poolers than this cannot exhaust an endpoint's connections with idle ones.
const MIN_CONNECTION_LIMIT: u32 = 200;
/// Highest latency ratio of a single sample, which limits the influence of outliers.
const MAX_LATENCY_RATIO: f64 = 10.0;

impl Policy {
    pub(super) fn attempt_finished(&mut self, result: &AttemptResult) {
        let Some(endpoint) = self.endpoints.key(&result.endpoint) else { return };
        self.observe_answer(endpoint, result);
        self.observe_report(endpoint, &result.report);
        if let Some((key, attempt)) = self.requests.close_attempt(result) {
            self.record_result(key, &attempt, result);
            let state = &self.endpoints[endpoint];
            if self.connections_scarce_until.is_some_and(|until| self.now < until)
                && state.load.in_flight == 0
            {
                self.actions.push(Action::CloseIdleConnections { endpoint: state.id.clone() });
            }
            self.remember_write(key, result);
            self.finish_or_retry(key, endpoint, result);
        }
        self.elect_primary(self.endpoints[endpoint].group);
    }

    /// Takes in what an answer tells of its endpoint and of the hosts' clock.
    fn observe_answer(&mut self, endpoint: EndpointKey, result: &AttemptResult) {
        let (now, sent_at) = (self.now, self.requests.attempt(result).map(|attempt| attempt.sent_at));
        if let Some(position) = result.log_position {
            match sent_at.filter(|_| result.role == Some(Role::Primary)) {
                Some(sent_at) => self.clock.observe_present_time(position, sent_at, now),
                None => self.clock.observe_past_time(position, now),
            }
        }
        let answer = LoadReport { log_position: result.log_position, role: result.role };
        self.endpoints[endpoint].observe(&answer, true, &self.clock, now);
    }

    /// Takes in what an endpoint has reported about itself some time ago.
    pub(super) fn observe_report(&mut self, endpoint: EndpointKey, report: &LoadReport) {
        if let Some(position) = report.log_position {
            self.clock.observe_past_time(position, self.now);
        }
        self.endpoints[endpoint].observe(report, false, &self.clock, self.now);
    }

    fn record_result(&mut self, key: RequestKey, attempt: &Attempt, result: &AttemptResult) {
        let Some(class) = self.requests.get(key).map(|request| request.class) else { return };
        let endpoint = attempt.endpoint;
        let (now, latency) = (self.now, self.latency[class]);
        let hosts_time = self.clock.likely(now);
        let ratio = (result.elapsed / latency.mean).min(MAX_LATENCY_RATIO);
        let state = &mut self.endpoints[endpoint];
        state.attempt_ended(result.outcome, now);
        match result.outcome {
            Outcome::Success => {
                state.latest_served_send_at = state.latest_served_send_at.max(attempt.sent_at);
                state.load.sample_latency_ratio(ratio, SAMPLE_WEIGHT);
                self.latency[class].record(result.elapsed, SAMPLE_WEIGHT);
                self.record_success(endpoint);
            }
            // A replica that is behind needs at least as long as its lag to catch up.
            Outcome::Ineligible => {
                let lag =
                    (hosts_time - state.log_position).clamp(Span::ZERO, self.settings.slow_start_window);
                state.stale_until = now + lag.max(self.settings.connect_timeout);
            }
            // Counts as load for a while: rejecting requests must not make an endpoint look idle.
            Outcome::Overloaded => state.load.abandoned.push(now + latency.mean),
            Outcome::Error => self.record_failure(endpoint, FAILURE),
            Outcome::ConnectFailed => self.connect_failed(endpoint, attempt, result.elapsed),
            // A small weight: if the process has died, the next connections are refused at once.
            Outcome::ConnectionReset => self.record_failure(endpoint, CONNECTION_RESET),
            Outcome::Timeout | Outcome::Cancelled => {
                state.load.abandoned.push(now + latency.mean + latency.deviation);
                // A timeout that is shorter than an answer takes tells nothing, such as that of a late
                // request.
                let is_telling = result.elapsed > latency.upper(LATE_DEVIATIONS);
                if result.outcome == Outcome::Timeout && !attempt.cancelled && is_telling {
                    state.load.sample_latency_ratio(ratio, SAMPLE_WEIGHT);
                    // An endpoint that still answers is overloaded; ejecting it would overload the others.
                    if state.is_silent_since(attempt.sent_at) {
                        self.record_failure(endpoint, FAILURE);
                    }
                }
            }
            Outcome::NotSent | Outcome::InvalidRequest => {}
        }
    }

    /// A connection refused at once means a dead process or exhausted connections, most of them idle.
    fn connect_failed(&mut self, endpoint: EndpointKey, attempt: &Attempt, elapsed: Span) {
        let timeout = self.settings.connect_timeout;
        let state = &mut self.endpoints[endpoint];
        state.health.connect_failed_at = self.now;
        let is_refused = elapsed < timeout / 2.0;
        if is_refused && self.settings.pooler_count > MIN_CONNECTION_LIMIT {
            self.connections_scarce_until = Some(self.now + self.settings.max_watch_gap);
        }
        // If the endpoint has just answered other requests, only this connection may have failed.
        let is_dead = is_refused && self.now - state.last_response_at >= timeout;
        if is_refused || !attempt.silence_counted {
            self.record_failure(endpoint, if is_dead { EJECTION_SCORE } else { CONNECTION_LOST });
        }
    }

    fn finish_or_retry(&mut self, key: RequestKey, endpoint: EndpointKey, result: &AttemptResult) {
        let Some(request) = self.requests.get(key) else { return };
        if result.request_finished || request.finished {
            return self.requests.finish(key);
        }
        let is_write = self.class(request.class).is_write();
        let may_have_run = !result.outcome.proves_not_executed();
        // An overloaded primary cannot be replaced: a retry would find it as overloaded.
        let is_primary = self.endpoints.primary(request.group) == Some(endpoint);
        let is_primary_full = is_primary && result.outcome == Outcome::Overloaded;
        if is_primary_full || may_have_run && !self.retry_budget.try_withdraw() {
            return self.reject_or_fail(key);
        }
        if result.outcome == Outcome::Ineligible && is_write {
            self.elect_primary(self.endpoints[endpoint].group);
        }
        self.dispatch(key);
    }
}

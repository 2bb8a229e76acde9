//! Attempts that take too long: silent endpoints, lost answers and hedged requests.

use super::outlier_detection::{CONNECTION_LOST, EJECTION_SCORE};
use super::Policy;
use crate::interface::Action;
use crate::settings::{Consistency, Idempotency};
use crate::state::{AttemptInFlight, EndpointKey, RequestKey};

/// An attempt is overdue at this many deviations above the mean latency ...
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// ... or at this share of its latency objective, which leaves time for a retry within it.
const OVERDUE_OBJECTIVE: f64 = 0.6;
/// An attempt at a silent endpoint counts as late at this many deviations.
pub(super) const LATE_DEVIATIONS: f64 = 2.0;
/// An endpoint counts as silent if it has answered nothing since an attempt that is this late.
const SILENT_DEVIATIONS: f64 = 6.0;
const MAX_REPLACED_ATTEMPTS: usize = 3;

struct Overdue {
    request: RequestKey,
    number: usize,
    endpoint: EndpointKey,
    /// The endpoint has answered nothing since the attempt was sent.
    is_silent: bool,
    /// The endpoint has long answered later attempts: this answer is lost.
    is_lost: bool,
}

impl Policy {
    pub(super) fn handle_overdue_attempts(&mut self) {
        let late_attempts = self.count_late_attempts();
        let overdue: Vec<_> = self.requests.attempts_in_flight().filter_map(|a| self.overdue(a)).collect();
        for overdue in overdue {
            if overdue.is_silent {
                self.count_silence(overdue.endpoint, late_attempts[overdue.endpoint]);
            }
            let Some(request) = self.requests.unfinished_mut(overdue.request) else { continue };
            request.attempts[overdue.number].silence_counted |= overdue.is_silent;
            if self.is_worth_replacing(&overdue) {
                self.replace_attempt(&overdue);
            }
        }
    }

    /// For each endpoint, how many attempts are late of those sent since its last answer.
    fn count_late_attempts(&self) -> Vec<u32> {
        self.requests.count_by_endpoint(self.endpoints.slots(), |(_, request, _, attempt)| {
            let is_late = self.now - attempt.sent_at > self.latency[request.class].upper(LATE_DEVIATIONS);
            is_late && self.endpoints[attempt.endpoint].is_silent_since(attempt.sent_at)
        })
    }

    fn overdue(&self, (key, request, number, attempt): AttemptInFlight) -> Option<Overdue> {
        let (class, latency) = (self.class(request.class), &self.latency[request.class]);
        let age = self.now - attempt.sent_at;
        let limit = latency.upper(OVERDUE_DEVIATIONS).min(class.latency_objective * OVERDUE_OBJECTIVE);
        if attempt.silence_counted || age <= limit {
            return None;
        }
        let silent_after = latency.upper(SILENT_DEVIATIONS);
        let endpoint = attempt.endpoint;
        // Only writes: the latency of reads varies too much to tell a lost answer from a slow one.
        let may_be_lost = class.idempotency == Idempotency::IdempotencyKey;
        let passed_over_by = self.endpoints[endpoint].latest_served_send_at - attempt.sent_at;
        let is_silent = age > silent_after && self.endpoints[endpoint].is_silent_since(attempt.sent_at);
        let is_lost = age > silent_after && may_be_lost && passed_over_by > silent_after;
        Some(Overdue { request: key, number, endpoint, is_silent, is_lost })
    }

    /// Counts the silence of an endpoint as a failure. A primary cannot be replaced, so it is ejected only
    /// once a second attempt is late too: a single connection may have failed.
    fn count_silence(&mut self, endpoint: EndpointKey, late_attempts: u32) {
        let is_primary = self.endpoints.primary(self.endpoints[endpoint].group) == Some(endpoint);
        let is_one_connection = is_primary && late_attempts < 2;
        self.record_failure(endpoint, if is_one_connection { CONNECTION_LOST } else { EJECTION_SCORE });
    }

    /// Whether another attempt in place of an overdue one is safe and could still be answered in time.
    fn is_worth_replacing(&self, overdue: &Overdue) -> bool {
        let Some(request) = self.requests.get(overdue.request) else { return false };
        let class = self.class(request.class);
        let counts_late = overdue.is_lost && class.late_weight > 0.0;
        let has_time = request.useful_until(counts_late) - self.now > self.latency[request.class].mean;
        let is_safe = class.idempotency == Idempotency::Idempotent || overdue.is_lost;
        let is_last = request.attempts.len() == overdue.number + 1 && overdue.number < MAX_REPLACED_ATTEMPTS;
        has_time && is_safe && is_last && self.retry_budget.has_token()
    }

    /// Hedges an overdue attempt if hedging is allowed; otherwise cancels it, so that it is retried.
    fn replace_attempt(&mut self, overdue: &Overdue) {
        let Some(request) = self.requests.get(overdue.request) else { return };
        let is_hedged = self.settings.hedging && self.class(request.class).consistency != Consistency::Strong;
        if is_hedged && self.may_attempt(request) {
            // The primary that has lost the write is not sent it again while the first attempt is in flight.
            if let Some(endpoint) = self.route(overdue.request).ok().filter(|to| *to != overdue.endpoint) {
                self.retry_budget.withdraw();
                self.send(overdue.request, endpoint);
            }
        } else if !is_hedged && (overdue.is_silent || overdue.is_lost) && self.settings.cancellation {
            let Some(request) = self.requests.get_mut(overdue.request) else { return };
            request.attempts[overdue.number].cancelled = true;
            self.actions.push(Action::CancelAttempt { id: request.id.clone(), attempt: overdue.number });
        }
    }
}

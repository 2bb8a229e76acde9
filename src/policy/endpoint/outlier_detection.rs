//! Outlier detection: the failure score of an endpoint, its ejection, trial requests and its reinstatement.
//!
//! An endpoint whose score reaches [`EJECTION_SCORE`] is ejected: it gets no requests for a time that doubles
//! with each relapse, and then a single trial request. A success reinstates it. This is the outlier detection
//! of service meshes, except that failures are weighted by what they prove (see [`super::evidence`]).

use fastrand::Rng;

use crate::policy::random::Jitter;
use crate::time::{LocalInstant, Span};

/// Failure score at which an endpoint is ejected: two ordinary failures, or one dead process.
pub(crate) const EJECTION_SCORE: f64 = 2.0;
/// Half-life of the failure score, in multiples of the connect timeout. All times in this module scale with
/// the connect timeout, since it is the time in which a reachable endpoint responds.
const SCORE_HALF_LIFE: f64 = 8.0;
/// Factor by which a success multiplies the failure score.
const SUCCESS_SCORE_FACTOR: f64 = 0.5;
/// Duration of the first ejection, in multiples of the connect timeout. It doubles with each relapse, up to
/// [`MAX_EJECTION_TIME`].
const BASE_EJECTION_TIME: f64 = 2.0;
/// Longest ejection, in multiples of the connect timeout. The limit ensures that a recovered endpoint is
/// reinstated within a few seconds.
pub(crate) const MAX_EJECTION_TIME: f64 = 12.0;
/// Limit of the ejection counter. The ejection reaches its longest duration at a lower count.
const MAX_COUNTED_EJECTIONS: i32 = 5;

/// The failure score and the ejection state of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierDetector {
    /// Sum of the failure weights, which decays over time.
    failure_score: f64,
    score_updated_at: LocalInstant,
    /// Set while the endpoint is ejected; from this time on, one trial request may be sent.
    ejected_until: Option<LocalInstant>,
    /// Number of consecutive ejections, including relapses.
    consecutive_ejections: i32,
    reinstated_at: Option<LocalInstant>,
    trial_in_flight: bool,
    connect_failed_at: Option<LocalInstant>,
}

impl OutlierDetector {
    /// Adds a failure to the score. Returns `true` if it newly ejects the endpoint.
    pub(crate) fn record_failure(
        &mut self,
        weight: f64,
        now: LocalInstant,
        connect_timeout: Span,
        rng: &mut Rng,
    ) -> bool {
        let half_lives = (now - self.score_updated_at) / (connect_timeout * SCORE_HALF_LIFE);
        self.failure_score = self.failure_score * 0.5f64.powf(half_lives) + weight;
        self.score_updated_at = now;
        if self.failure_score < EJECTION_SCORE || self.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        let was_ejected = self.is_ejected();
        let duration = self.next_ejection_time(now, connect_timeout);
        self.ejected_until = Some(now + Jitter::NARROW.apply(duration, rng));
        !was_ejected
    }

    /// Counts an ejection that begins now, and returns its duration.
    fn next_ejection_time(&mut self, now: LocalInstant, connect_timeout: Span) -> Span {
        // One successful trial does not clear an endpoint with intermittent failures: a relapse lasts longer.
        let relapse_time = connect_timeout * MAX_EJECTION_TIME;
        let is_relapse = self.is_ejected() || self.reinstated_at.is_some_and(|at| now - at < relapse_time);
        let earlier = if is_relapse { self.consecutive_ejections } else { 0 };
        self.consecutive_ejections = (earlier + 1).min(MAX_COUNTED_EJECTIONS);
        let doublings = f64::from(1 << (self.consecutive_ejections - 1));
        (BASE_EJECTION_TIME * doublings).min(MAX_EJECTION_TIME) * connect_timeout
    }

    /// Records that a request was served. Returns `true` if this reinstates the endpoint.
    pub(crate) fn record_success(&mut self, now: LocalInstant) -> bool {
        self.failure_score *= SUCCESS_SCORE_FACTOR;
        let is_reinstated = self.ejected_until.take().is_some();
        if is_reinstated {
            self.failure_score = 0.0;
            self.reinstated_at = Some(now);
        }
        is_reinstated
    }

    /// Records that a connection to the endpoint could not be established.
    pub(crate) fn record_connect_failure(&mut self, now: LocalInstant) {
        self.connect_failed_at = Some(now);
    }

    /// Records that a request was sent. It is a trial if the endpoint is ejected.
    pub(crate) fn record_request_sent(&mut self) {
        self.trial_in_flight |= self.is_ejected();
    }

    /// Records that a request ended.
    pub(crate) fn record_request_ended(&mut self) {
        self.trial_in_flight = false;
    }

    /// Clears the score and the ejection, since the endpoint has restarted.
    pub(crate) fn reset(&mut self) {
        self.failure_score = 0.0;
        self.ejected_until = None;
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns the time until which the endpoint is ejected; `None` if it is not ejected.
    pub(crate) fn ejected_until(&self) -> Option<LocalInstant> {
        self.ejected_until
    }

    pub(crate) fn is_trial_in_flight(&self) -> bool {
        self.trial_in_flight
    }

    /// Returns `true` if the endpoint is ejected and a trial request may be sent to it.
    pub(crate) fn is_trial_due(&self, now: LocalInstant) -> bool {
        self.ejected_until.is_some_and(|until| now >= until) && !self.trial_in_flight
    }

    /// Returns when a connection to the endpoint last failed to be established.
    pub(crate) fn connect_failed_at(&self) -> Option<LocalInstant> {
        self.connect_failed_at
    }
}

#[cfg(test)]
mod tests;

//! Outlier detection: a failure score for each endpoint, its ejection, trial requests and its reinstatement.
//!
//! An endpoint whose score reaches [`EJECTION_SCORE`] is ejected: it gets no requests for a time that doubles
//! with each relapse, then one request as a trial. Success reinstates it. This is the outlier detection of
//! service meshes, with failures that are weighted by what they prove (see [`super::evidence`]).

use fastrand::Rng;

use crate::policy::random::Jitter;
use crate::time::{LocalInstant, Span};

/// Failure score at which an endpoint is ejected: two plain failures or one dead process.
pub(crate) const EJECTION_SCORE: f64 = 2.0;
/// Half-life of the failure score, in multiples of the connect timeout. That is the time in which an endpoint
/// shows that it is there, so every time of this module is measured by it.
const SCORE_HALF_LIFE: f64 = 8.0;
/// Share of the failure score that one success leaves.
const SCORE_LEFT_BY_SUCCESS: f64 = 0.5;
/// Duration of the first ejection, in multiples of the connect timeout; doubles with each relapse ...
const FIRST_EJECTION: f64 = 2.0;
/// ... up to this multiple, so that a recovered endpoint is reinstated within a few seconds.
pub(crate) const MAX_EJECTION_TIME: f64 = 12.0;
/// Relapses are counted up to this many: the ejection has its longest duration before.
const MAX_COUNTED_EJECTIONS: i32 = 5;

/// The evidence for and against ejecting one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierDetector {
    /// Weight of the failures so far; decays with time.
    failure_score: f64,
    score_updated_at: LocalInstant,
    /// Set while the endpoint is ejected: from then on one request may be sent as a trial.
    ejected_until: Option<LocalInstant>,
    /// Ejections in a row, counting relapses.
    consecutive_ejections: i32,
    reinstated_at: Option<LocalInstant>,
    trial_in_flight: bool,
    /// When a connection to the endpoint last failed.
    connect_failed_at: Option<LocalInstant>,
}

impl OutlierDetector {
    /// Adds a failure to the score. Returns whether it ejects the endpoint.
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
        let duration = self.next_ejection(now, connect_timeout);
        self.ejected_until = Some(now + Jitter::NARROW.apply(duration, rng));
        !was_ejected
    }

    /// Duration of the ejection that begins now.
    fn next_ejection(&mut self, now: LocalInstant, connect_timeout: Span) -> Span {
        // One successful trial does not clear an endpoint that fails now and then: a relapse lasts longer.
        let relapse_time = connect_timeout * MAX_EJECTION_TIME;
        let is_relapse = self.is_ejected() || self.reinstated_at.is_some_and(|at| now - at < relapse_time);
        let earlier = if is_relapse { self.consecutive_ejections } else { 0 };
        self.consecutive_ejections = (earlier + 1).min(MAX_COUNTED_EJECTIONS);
        let doublings = f64::from(1 << (self.consecutive_ejections - 1));
        (FIRST_EJECTION * doublings).min(MAX_EJECTION_TIME) * connect_timeout
    }

    /// Notes that a request was served. Returns whether that reinstates the endpoint.
    pub(crate) fn record_success(&mut self, now: LocalInstant) -> bool {
        self.failure_score *= SCORE_LEFT_BY_SUCCESS;
        let is_reinstated = self.ejected_until.take().is_some();
        if is_reinstated {
            self.failure_score = 0.0;
            self.reinstated_at = Some(now);
        }
        is_reinstated
    }

    /// Notes that a connection to the endpoint failed.
    pub(crate) fn record_connect_failure(&mut self, now: LocalInstant) {
        self.connect_failed_at = Some(now);
    }

    /// Notes that a request was sent: to an ejected endpoint as a trial.
    pub(crate) fn request_sent(&mut self) {
        self.trial_in_flight |= self.is_ejected();
    }

    /// Notes that a request has ended.
    pub(crate) fn request_ended(&mut self) {
        self.trial_in_flight = false;
    }

    /// Begins anew, since the endpoint has restarted.
    pub(crate) fn reset(&mut self) {
        self.failure_score = 0.0;
        self.ejected_until = None;
    }

    /// Whether the endpoint is ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Until when the endpoint is ejected, if it is.
    pub(crate) fn ejected_until(&self) -> Option<LocalInstant> {
        self.ejected_until
    }

    /// Whether the request that tries an ejected endpoint is in flight.
    pub(crate) fn is_trial_in_flight(&self) -> bool {
        self.trial_in_flight
    }

    /// Whether the endpoint is ejected and may have the one request that tries it.
    pub(crate) fn is_trial_due(&self, now: LocalInstant) -> bool {
        self.ejected_until.is_some_and(|until| now >= until) && !self.trial_in_flight
    }

    /// When a connection to the endpoint last failed.
    pub(crate) fn connect_failed_at(&self) -> Option<LocalInstant> {
        self.connect_failed_at
    }
}

#[cfg(test)]
mod tests;

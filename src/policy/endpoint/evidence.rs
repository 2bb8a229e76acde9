//! Evidence: what the end of an attempt, a failed health check or silence shows of an endpoint.
//!
//! Latencies are those of the class of the request; an attempt is late beyond the mean and two deviations.
//! An endpoint is ejected at a score of 2.0, which decays (see
//! [`outlier_detection`](super::outlier_detection)). The weights are 2.0 ([`EJECTION_SCORE`]), 1.1
//! ([`CONNECTION_LOST`]), 1.0 ([`FAILURE`]) and 0.5 ([`CONNECTION_RESET`]).
//!
//! | Outcome | Failure weight | Counts as load for | Latency sample | Freshness |
//! |---|---|---|---|---|
//! | `Success` | halves the score; ends an ejection | | yes | |
//! | `Ineligible` | | | | behind for as long as its lag |
//! | `Overloaded` | | mean latency | | |
//! | `Error` | [`FAILURE`] | | | |
//! | `ConnectFailed`, refused | [`EJECTION_SCORE`]; [`CONNECTION_LOST`] if it has just answered | | | |
//! | `ConnectFailed`, timed out | [`CONNECTION_LOST`], unless its silence has been counted | | | |
//! | `ConnectionReset` | [`CONNECTION_RESET`] | | | |
//! | `Timeout`, late and not cancelled | [`FAILURE`] if the endpoint is silent | mean + deviation | yes | |
//! | any other `Timeout`; `Cancelled` | | mean + deviation | | |
//! | `NotSent`, `InvalidRequest` | | | | |
//! | silent endpoint | [`EJECTION_SCORE`]; [`CONNECTION_LOST`] for a primary's first late attempt | | | |
//! | failed health check, not for lack of capacity | [`FAILURE`] | | | |
//!
//! Besides, each response ends the silence of the endpoint, and carries its role and its log position; a
//! refused connection may mean that the endpoint has no connections left, see
//! [`ConnectionShortage`](crate::policy::connection_shortage::ConnectionShortage).
//!
//! [`EndpointState::apply_evidence`] takes the evidence in. A restart resets the health of the endpoint, see
//! [`OutlierDetector::reset`](super::outlier_detection::OutlierDetector::reset).

use crate::interface::{AttemptResult, Outcome};
use crate::policy::admission::LatencyEstimator;
use crate::policy::endpoint::outlier_detection::EJECTION_SCORE;
use crate::policy::endpoint::EndpointState;
use crate::policy::freshness;
use crate::policy::request::Attempt;
use crate::settings::Settings;
use crate::time::{ClusterInstant, LocalInstant, Span};

/// Weight of a plain failure.
pub(crate) const FAILURE: f64 = 1.0;
/// Weight of a failure that may be due to a single connection: a second one soon after ejects.
const CONNECTION_LOST: f64 = 0.55 * EJECTION_SCORE;
/// Weight of a connection that broke under a request. Small: if the process has died, the next connections
/// are refused at once.
const CONNECTION_RESET: f64 = 0.25 * EJECTION_SCORE;
/// A connection that fails within this share of the connect timeout was refused.
const REFUSED_WITHIN: f64 = 0.5;
/// An attempt is late at this many deviations above the mean latency: a shorter timeout shows nothing.
pub(crate) const LATE_DEVIATIONS: f64 = 2.0;
/// A primary cannot be replaced: it is ejected for silence only once so many attempts are late, since a
/// single connection may have failed.
const LATE_ATTEMPTS_TO_EJECT_PRIMARY: u32 = 2;

/// What an outcome shows of the health of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HealthEvidence {
    /// Nothing.
    Unknown,
    /// It served an attempt that was sent at this time.
    Served {
        /// When the attempt was sent.
        sent_at: LocalInstant,
    },
    /// It failed.
    Failed {
        /// The weight of the failure.
        weight: f64,
    },
    /// No connection to it could be established.
    ConnectFailed {
        /// The weight of the failure, unless it has been counted.
        weight: Option<f64>,
    },
}

/// The latency of an attempt beside the mean of its class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LatencySample {
    /// The latency of the attempt.
    pub(crate) latency: Span,
    /// The mean latency of its class.
    pub(crate) class_mean: Span,
}

/// Everything that the end of an attempt shows of its endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Evidence {
    /// What it shows of its health.
    pub(crate) health: HealthEvidence,
    /// Until when the attempt counts as load: it may still be executed, and rejecting requests must not
    /// make an endpoint look idle.
    pub(crate) counts_as_load_until: Option<LocalInstant>,
    /// What it shows of its latency.
    pub(crate) latency: Option<LatencySample>,
    /// Until when it is taken to be behind.
    pub(crate) stale_until: Option<LocalInstant>,
}

/// The circumstances in which an attempt ended.
#[derive(Clone, Copy)]
pub(crate) struct Observation<'a> {
    /// The attempt, as it was while in flight.
    pub(crate) attempt: &'a Attempt,
    /// How it ended.
    pub(crate) result: &'a AttemptResult,
    /// Its endpoint.
    pub(crate) endpoint: &'a EndpointState,
    /// The latency of its class.
    pub(crate) class_latency: &'a LatencyEstimator,
    /// The settings.
    pub(crate) settings: &'a Settings,
    /// The present on the pooler's clock.
    pub(crate) now: LocalInstant,
    /// The present as it probably is on the clock of the endpoints.
    pub(crate) cluster_now: ClusterInstant,
}

impl Observation<'_> {
    /// What the end of the attempt shows: the table of this module.
    pub(crate) fn evidence(&self) -> Evidence {
        let nothing = Evidence {
            health: HealthEvidence::Unknown,
            counts_as_load_until: None,
            latency: None,
            stale_until: None,
        };
        match self.result.outcome {
            Outcome::Success => Evidence {
                health: HealthEvidence::Served { sent_at: self.attempt.sent_at() },
                latency: Some(self.latency_sample()),
                ..nothing
            },
            Outcome::Ineligible => Evidence { stale_until: Some(self.stale_until()), ..nothing },
            Outcome::Overloaded => {
                let until = self.now + self.class_latency.mean();
                Evidence { counts_as_load_until: Some(until), ..nothing }
            }
            Outcome::Error => Evidence { health: HealthEvidence::Failed { weight: FAILURE }, ..nothing },
            Outcome::ConnectionReset => {
                Evidence { health: HealthEvidence::Failed { weight: CONNECTION_RESET }, ..nothing }
            }
            Outcome::ConnectFailed => Evidence { health: self.connect_failure(), ..nothing },
            Outcome::Timeout => self.timeout(),
            Outcome::Cancelled => Evidence { counts_as_load_until: Some(self.abandoned_until()), ..nothing },
            Outcome::NotSent | Outcome::InvalidRequest => nothing,
        }
    }

    /// Whether a connection was refused at once, rather than not answered in time.
    pub(crate) fn is_connection_refused(&self) -> bool {
        let limit = self.settings.connect_timeout * REFUSED_WITHIN;
        self.result.outcome == Outcome::ConnectFailed && self.result.elapsed < limit
    }

    /// A connection refused at once means a dead process or exhausted connections.
    fn connect_failure(&self) -> HealthEvidence {
        let is_refused = self.is_connection_refused();
        // If the endpoint has just answered other requests, only this connection may have failed.
        let has_just_answered = self
            .endpoint
            .last_response_at()
            .is_some_and(|answered_at| self.now - answered_at < self.settings.connect_timeout);
        let weight = if is_refused && !has_just_answered { EJECTION_SCORE } else { CONNECTION_LOST };
        let is_counted = self.attempt.is_silence_counted() && !is_refused;
        HealthEvidence::ConnectFailed { weight: (!is_counted).then_some(weight) }
    }

    /// A timeout that is shorter than an answer takes shows nothing, such as that of a late request.
    fn timeout(&self) -> Evidence {
        let is_late = self.result.elapsed > self.class_latency.upper_bound(LATE_DEVIATIONS);
        let counts = is_late && !self.attempt.is_cancelled();
        // An endpoint that still answers is overloaded; ejecting it would overload the others.
        let is_silent = self.endpoint.is_silent_since(self.attempt.sent_at());
        let failed = HealthEvidence::Failed { weight: FAILURE };
        Evidence {
            health: if counts && is_silent { failed } else { HealthEvidence::Unknown },
            counts_as_load_until: Some(self.abandoned_until()),
            latency: counts.then(|| self.latency_sample()),
            stale_until: None,
        }
    }

    fn latency_sample(&self) -> LatencySample {
        LatencySample { latency: self.result.elapsed, class_mean: self.class_latency.mean() }
    }

    fn abandoned_until(&self) -> LocalInstant {
        self.now + self.class_latency.mean() + self.class_latency.deviation()
    }

    fn stale_until(&self) -> LocalInstant {
        freshness::stale_until(self.endpoint, self.settings, self.now, self.cluster_now)
    }
}

/// Weight of the failure that an endpoint shows by its silence, while so many attempts are late.
pub(crate) fn weight_of_silence(is_primary: bool, late_attempts: u32) -> f64 {
    if is_primary && late_attempts < LATE_ATTEMPTS_TO_EJECT_PRIMARY {
        CONNECTION_LOST
    } else {
        EJECTION_SCORE
    }
}

#[cfg(test)]
mod tests;

//! What the outcome of an attempt, a failed health check or a missing response shows about an endpoint.
//!
//! Latencies are compared with those of the class of the request: an attempt is late if it takes longer than
//! the mean plus two deviations. An endpoint is ejected when its failure score reaches 2.0; the score decays
//! over time (see [`outlier_detection`](super::outlier_detection)). The weights are 2.0 ([`EJECTION_SCORE`]),
//! 1.1 ([`CONNECTION_FAILURE_WEIGHT`]), 1.0 ([`FAILURE_WEIGHT`]) and 0.5 ([`CONNECTION_RESET_WEIGHT`]).
//!
//! | Outcome | Failure weight | Counts as load for | Latency sample | Freshness |
//! |---|---|---|---|---|
//! | `Success` | halves the score; ends an ejection | | yes | |
//! | `Ineligible` | | | | stale for as long as its lag |
//! | `Overloaded` | | mean latency | | |
//! | `Error` | [`FAILURE_WEIGHT`] | | | |
//! | `ConnectFailed`, refused | [`EJECTION_SCORE`]; [`CONNECTION_FAILURE_WEIGHT`] if it just answered | | | |
//! | `ConnectFailed`, timed out | [`CONNECTION_FAILURE_WEIGHT`], unless counted as unresponsive | | | |
//! | `ConnectionReset` | [`CONNECTION_RESET_WEIGHT`] | | | |
//! | `Timeout`, late and not cancelled | [`FAILURE_WEIGHT`] if unresponsive | mean + deviation | yes | |
//! | any other `Timeout`; `Cancelled` | | mean + deviation | | |
//! | `NotSent`, `InvalidRequest` | | | | |
//! | no response | [`EJECTION_SCORE`]; [`CONNECTION_FAILURE_WEIGHT`] for 1 late attempt at a primary | | | |
//! | failed health check, not for lack of capacity | [`FAILURE_WEIGHT`] | | | |
//!
//! An endpoint is unresponsive as long as it has sent no response since the attempt was sent. The row
//! "no response" applies while the attempt is in flight, see [`overdue`](crate::policy::overdue). Each
//! response also carries the role and the log position of the endpoint. A refused connection may mean that
//! the endpoint has no connections left, see
//! [`ConnectionShortage`](crate::policy::connection_shortage::ConnectionShortage).
//!
//! [`EndpointState::apply_evidence`] applies the evidence. A restart resets the health of the endpoint, see
//! [`OutlierDetector::reset`](super::outlier_detection::OutlierDetector::reset).

use crate::interface::{AttemptResult, Outcome};
use crate::policy::admission::LatencyEstimator;
use crate::policy::endpoint::outlier_detection::EJECTION_SCORE;
use crate::policy::endpoint::EndpointState;
use crate::policy::freshness;
use crate::policy::request::Attempt;
use crate::settings::Settings;
use crate::time::{ClusterInstant, LocalInstant, Span};

/// Weight of an ordinary failure.
pub(crate) const FAILURE_WEIGHT: f64 = 1.0;
/// Weight of a failure that may concern only a single connection. A second one shortly afterwards ejects the
/// endpoint.
const CONNECTION_FAILURE_WEIGHT: f64 = 0.55 * EJECTION_SCORE;
/// Weight of a connection that was reset during a request. It is small, because if the process has died, the
/// next connections are refused immediately.
const CONNECTION_RESET_WEIGHT: f64 = 0.25 * EJECTION_SCORE;
/// A connection that fails within this share of the connect timeout was refused.
const REFUSAL_TIME_SHARE: f64 = 0.5;
/// Number of deviations above the mean latency beyond which an attempt is late. A shorter timeout is no
/// evidence.
pub(crate) const LATE_DEVIATIONS: f64 = 2.0;
/// Number of late attempts at which an unresponsive primary is ejected. A primary cannot be replaced, and
/// with a single late attempt only one connection may have failed.
const LATE_ATTEMPTS_TO_EJECT_PRIMARY: u32 = 2;

/// What an outcome shows about the health of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HealthEvidence {
    /// The outcome allows no conclusion about the health of the endpoint.
    Inconclusive,
    /// The endpoint served an attempt.
    Served {
        /// When the attempt was sent.
        sent_at: LocalInstant,
    },
    /// The endpoint failed.
    Failed { weight: f64 },
    /// No connection to the endpoint could be established.
    ConnectFailed {
        /// The weight of the failure; `None` if the failure has already been counted.
        weight: Option<f64>,
    },
}

/// The latency of an attempt and the mean latency of its class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LatencySample {
    pub(crate) latency: Span,
    pub(crate) class_mean: Span,
}

/// Everything that the outcome of an attempt shows about its endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Evidence {
    pub(crate) health: HealthEvidence,
    /// Until when the attempt counts as load although it has ended: the endpoint may still be executing it,
    /// and an endpoint that rejects requests must not appear idle.
    pub(crate) counts_as_load_until: Option<LocalInstant>,
    pub(crate) latency: Option<LatencySample>,
    /// Until when the endpoint is assumed to lag behind.
    pub(crate) stale_until: Option<LocalInstant>,
}

/// The circumstances in which an attempt ended.
#[derive(Clone, Copy)]
pub(crate) struct Observation<'a> {
    /// The attempt, in its state before it ended.
    pub(crate) attempt: &'a Attempt,
    pub(crate) result: &'a AttemptResult,
    pub(crate) endpoint: &'a EndpointState,
    pub(crate) class_latency: &'a LatencyEstimator,
    pub(crate) settings: &'a Settings,
    pub(crate) now: LocalInstant,
    /// The estimated current time on the endpoints' clock.
    pub(crate) cluster_now: ClusterInstant,
}

impl Observation<'_> {
    /// Returns what the outcome shows, according to the table of this module.
    pub(crate) fn evidence(&self) -> Evidence {
        let no_evidence = Evidence {
            health: HealthEvidence::Inconclusive,
            counts_as_load_until: None,
            latency: None,
            stale_until: None,
        };
        match self.result.outcome {
            Outcome::Success => Evidence {
                health: HealthEvidence::Served { sent_at: self.attempt.sent_at() },
                latency: Some(self.latency_sample()),
                ..no_evidence
            },
            Outcome::Ineligible => Evidence { stale_until: Some(self.stale_until()), ..no_evidence },
            Outcome::Overloaded => {
                let until = self.now + self.class_latency.mean();
                Evidence { counts_as_load_until: Some(until), ..no_evidence }
            }
            Outcome::Error => {
                Evidence { health: HealthEvidence::Failed { weight: FAILURE_WEIGHT }, ..no_evidence }
            }
            Outcome::ConnectionReset => {
                Evidence { health: HealthEvidence::Failed { weight: CONNECTION_RESET_WEIGHT }, ..no_evidence }
            }
            Outcome::ConnectFailed => Evidence { health: self.connect_failure_evidence(), ..no_evidence },
            Outcome::Timeout => self.timeout_evidence(),
            Outcome::Cancelled => {
                Evidence { counts_as_load_until: Some(self.abandoned_until()), ..no_evidence }
            }
            Outcome::NotSent | Outcome::InvalidRequest => no_evidence,
        }
    }

    /// Returns `true` if the connection was refused immediately, rather than timing out.
    pub(crate) fn is_connection_refused(&self) -> bool {
        let limit = self.settings.connect_timeout * REFUSAL_TIME_SHARE;
        self.result.outcome == Outcome::ConnectFailed && self.result.elapsed < limit
    }

    /// Returns the evidence of a failure to connect. An immediate refusal means that the process is dead or
    /// that its connections are exhausted.
    fn connect_failure_evidence(&self) -> HealthEvidence {
        let is_refused = self.is_connection_refused();
        // If the endpoint has just answered other requests, only this connection may have failed.
        let has_just_answered = self
            .endpoint
            .last_response_at()
            .is_some_and(|answered_at| self.now - answered_at < self.settings.connect_timeout);
        let weight =
            if is_refused && !has_just_answered { EJECTION_SCORE } else { CONNECTION_FAILURE_WEIGHT };
        let is_counted = self.attempt.is_counted_as_failure() && !is_refused;
        HealthEvidence::ConnectFailed { weight: (!is_counted).then_some(weight) }
    }

    /// Returns the evidence of a timeout. A timeout that is shorter than the usual latency, such as that of a
    /// request with little time left, says nothing about the health of the endpoint.
    fn timeout_evidence(&self) -> Evidence {
        let is_late = self.result.elapsed > self.class_latency.upper_bound(LATE_DEVIATIONS);
        let is_conclusive = is_late && !self.attempt.is_cancelled();
        // An endpoint that still answers other requests is overloaded; ejecting it would overload the others.
        let is_unresponsive = self.endpoint.has_not_responded_since(self.attempt.sent_at());
        let failed = HealthEvidence::Failed { weight: FAILURE_WEIGHT };
        Evidence {
            health: if is_conclusive && is_unresponsive { failed } else { HealthEvidence::Inconclusive },
            counts_as_load_until: Some(self.abandoned_until()),
            latency: is_conclusive.then(|| self.latency_sample()),
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

/// Returns the failure weight of an unresponsive endpoint at which `late_attempts` attempts are late.
pub(crate) fn unresponsive_endpoint_weight(is_primary: bool, late_attempts: u32) -> f64 {
    if is_primary && late_attempts < LATE_ATTEMPTS_TO_EJECT_PRIMARY {
        CONNECTION_FAILURE_WEIGHT
    } else {
        EJECTION_SCORE
    }
}

#[cfg(test)]
mod tests;

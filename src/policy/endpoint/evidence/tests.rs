use rstest::rstest;

use super::*;
use crate::interface::LoadReport;
use crate::time::tests::{at, cluster_at, secs};

/// When the attempt was sent, in seconds.
const SENT_AT: f64 = 10.0;

/// An attempt, and the state in which its outcome is evaluated.
struct Fixture {
    endpoint: EndpointState,
    attempt: Attempt,
    latency: LatencyEstimator,
    settings: Settings,
}

impl Fixture {
    /// Creates a fixture whose endpoint last responded at `answered_at`. The latency of the class has a mean
    /// and a deviation of 50 ms.
    fn with_last_response_at(answered_at: f64) -> Fixture {
        let mut endpoint = EndpointState::new("db-1".into(), 0, 0);
        endpoint.record_attempt_ended(Outcome::Overloaded, at(answered_at));
        Fixture {
            endpoint,
            attempt: Attempt::new(0, at(SENT_AT)),
            latency: LatencyEstimator::new(secs(0.05)),
            settings: Settings::default(),
        }
    }

    fn evidence(&self, outcome: Outcome, elapsed: f64) -> Evidence {
        let result = AttemptResult {
            id: "a".into(),
            endpoint: "db-1".into(),
            attempt: 0,
            outcome,
            request_finished: false,
            elapsed: secs(elapsed),
            log_position: None,
            role: None,
            report: LoadReport::default(),
        };
        let observation = Observation {
            attempt: &self.attempt,
            result: &result,
            endpoint: &self.endpoint,
            class_latency: &self.latency,
            settings: &self.settings,
            now: at(SENT_AT + elapsed),
            cluster_now: cluster_at(SENT_AT + elapsed),
        };
        observation.evidence()
    }
}

#[rstest]
#[case::served(Outcome::Success, HealthEvidence::Served { sent_at: at(SENT_AT) })]
#[case::error(Outcome::Error, HealthEvidence::Failed { weight: FAILURE_WEIGHT })]
#[case::reset(Outcome::ConnectionReset, HealthEvidence::Failed { weight: CONNECTION_RESET_WEIGHT })]
#[case::behind(Outcome::Ineligible, HealthEvidence::Inconclusive)]
#[case::overloaded(Outcome::Overloaded, HealthEvidence::Inconclusive)]
#[case::cancelled(Outcome::Cancelled, HealthEvidence::Inconclusive)]
#[case::not_sent(Outcome::NotSent, HealthEvidence::Inconclusive)]
#[case::invalid(Outcome::InvalidRequest, HealthEvidence::Inconclusive)]
fn each_outcome_has_its_evidence(#[case] outcome: Outcome, #[case] expected: HealthEvidence) {
    let evidence = Fixture::with_last_response_at(9.0).evidence(outcome, 0.1);
    assert_eq!(evidence.health, expected);
    assert_eq!(evidence.stale_until.is_some(), outcome == Outcome::Ineligible);
    assert_eq!(evidence.latency.is_some(), outcome == Outcome::Success);
    let counts_as_load = matches!(outcome, Outcome::Overloaded | Outcome::Cancelled);
    assert_eq!(evidence.counts_as_load_until.is_some(), counts_as_load);
}

#[rstest]
#[case::refused_by_a_dead_process(9.0, 0.01, Some(EJECTION_SCORE))]
#[case::refused_after_an_answer(9.9, 0.01, Some(CONNECTION_FAILURE_WEIGHT))]
#[case::timed_out(9.0, 0.25, Some(CONNECTION_FAILURE_WEIGHT))]
fn a_connect_failure_is_weighted_by_its_cause(
    #[case] answered_at: f64,
    #[case] elapsed: f64,
    #[case] weight: Option<f64>,
) {
    let evidence = Fixture::with_last_response_at(answered_at).evidence(Outcome::ConnectFailed, elapsed);
    assert_eq!(evidence.health, HealthEvidence::ConnectFailed { weight });
}

#[test]
fn an_unresponsive_endpoint_is_not_counted_again_when_the_connection_fails() {
    let mut fixture = Fixture::with_last_response_at(9.0);
    fixture.attempt.mark_counted_as_failure();
    let timed_out = fixture.evidence(Outcome::ConnectFailed, 0.25);
    assert_eq!(timed_out.health, HealthEvidence::ConnectFailed { weight: None });
    let refused = fixture.evidence(Outcome::ConnectFailed, 0.01);
    assert_eq!(refused.health, HealthEvidence::ConnectFailed { weight: Some(EJECTION_SCORE) });
}

#[test]
fn a_timeout_counts_if_it_is_late_and_the_endpoint_is_unresponsive() {
    let failed = HealthEvidence::Failed { weight: FAILURE_WEIGHT };
    let late = Fixture::with_last_response_at(9.0).evidence(Outcome::Timeout, 0.2);
    assert_eq!((late.health, late.latency.is_some()), (failed, true));
    let short = Fixture::with_last_response_at(9.0).evidence(Outcome::Timeout, 0.1);
    assert_eq!((short.health, short.latency.is_some()), (HealthEvidence::Inconclusive, false));
    let answers_others = Fixture::with_last_response_at(10.1).evidence(Outcome::Timeout, 0.2);
    assert_eq!(
        (answers_others.health, answers_others.latency.is_some()),
        (HealthEvidence::Inconclusive, true)
    );
    let mut cancelled = Fixture::with_last_response_at(9.0);
    cancelled.attempt.cancel();
    let cancelled = cancelled.evidence(Outcome::Timeout, 0.2);
    assert_eq!((cancelled.health, cancelled.latency.is_some()), (HealthEvidence::Inconclusive, false));
    assert_eq!(cancelled.counts_as_load_until, Some(at(SENT_AT + 0.2) + secs(0.05) + secs(0.05)));
}

#[test]
fn an_unresponsive_primary_is_ejected_with_its_second_late_attempt() {
    assert_eq!(unresponsive_endpoint_weight(true, 1), CONNECTION_FAILURE_WEIGHT);
    assert_eq!(unresponsive_endpoint_weight(true, 2), EJECTION_SCORE);
    assert_eq!(unresponsive_endpoint_weight(false, 1), EJECTION_SCORE);
}

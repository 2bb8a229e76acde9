//! Tests of the printed counters.

use std::time::Duration;

use super::{Counters, OutcomeCounts};
use crate::interface::Outcome;

const OUTCOMES: [Outcome; 10] = [
    Outcome::Success,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Ineligible,
    Outcome::InvalidRequest,
];

/// Returns counts in which the outcome at index `n` has occurred `n + 1` times.
fn distinct_outcome_counts() -> OutcomeCounts {
    let mut counts = OutcomeCounts::default();
    for (index, outcome) in OUTCOMES.into_iter().enumerate() {
        for _ in 0..=index {
            counts.record(outcome);
        }
    }
    counts
}

fn distinct_counters() -> Counters {
    let mut health_check_outcomes = OutcomeCounts::default();
    for outcome in [Outcome::Success, Outcome::Success, Outcome::Timeout, Outcome::InvalidRequest] {
        health_check_outcomes.record(outcome);
    }
    Counters {
        clients_accepted: 1,
        requests_received: 2,
        malformed: 3,
        client_timeouts: 4,
        idle_closed: 5,
        served: 6,
        rejected: 7,
        failed: 8,
        client_disconnects: 9,
        cancel_requests: 10,
        attempts_sent: 11,
        health_checks_sent: 12,
        malformed_answers: 13,
        unsolicited_messages: 14,
        unreadable_reports: 15,
        backend_connects: 16,
        attempt_outcomes: distinct_outcome_counts(),
        health_check_outcomes,
        endpoint_updates: 17,
        watch_failures: 18,
        reloads: 19,
        reload_failures: 20,
        longest_callback: Duration::from_millis(21),
    }
}

#[test]
fn every_counter_is_printed_under_its_name() {
    let expected = "clients_accepted=1 requests_received=2 malformed=3 served=6 rejected=7 failed=8 \
        client_disconnects=9 client_timeouts=4 idle_closed=5 backend_connects=16 attempts_sent=11 success=1 \
        error=2 overloaded=3 timeout=4 connect_failed=5 connection_reset=6 cancelled=7 not_sent=8 \
        ineligible=9 invalid_request=10 health_checks_sent=12 health_check_success=2 health_check_timeout=1 \
        health_check_invalid_request=1 malformed_answers=13 unsolicited_messages=14 unreadable_reports=15 \
        endpoint_updates=17 watch_failures=18 reloads=19 reload_failures=20 cancel_requests=10 \
        longest_callback_ms=21";
    assert_eq!(distinct_counters().to_string(), expected);
}

#[test]
fn health_check_outcomes_are_printed_only_after_they_occur() {
    let line = Counters::default().to_string();
    assert!(line.contains(" success=0 ") && line.contains(" health_checks_sent=0 malformed_answers=0 "));
    assert!(!line.contains("health_check_"), "{line}");
}

//! Attempts of requests: deadlines, retries, the retry budget, idempotency keys and hedged requests.

use pg_pooler::interface::{Action, AttemptDenied, Event, GiveUpReason, Outcome, Role, UpdateKind};
use pg_pooler::settings::Settings;
use rstest::rstest;

use crate::harness::{
    count_final_answers, default_settings, first_endpoint, has_rejection_with_retry_after, primary, replica,
    secs, sent_endpoints, FinishedAttempt, Simulation, BOUNDED_READ, EVENTUAL_READ, KEYED_WRITE,
    LOCAL_REPLICA, LOCAL_ZONE, NON_IDEMPOTENT_WRITE, NO_ENDPOINTS, PRIMARY, REMOTE_REPLICA, REMOTE_ZONE,
    SESSION_READ, STRONG_READ,
};

/// The primary serves the first attempt of a write.
fn succeed_on_primary(sim: &mut Simulation, id: &str) {
    sim.finish_attempt_with(FinishedAttempt::new(id, PRIMARY, Outcome::Success).role(Role::Primary));
}

#[test]
fn a_request_ends_at_the_deadline_of_its_class() {
    let mut sim = Simulation::new(default_settings());
    let actions = sim.handle(Event::request("w", KEYED_WRITE, 0, secs(1e9)));
    assert!(matches!(actions[..], [.., Action::Send { timeout, .. }] if timeout <= secs(2.0)), "{actions:?}");
    assert_eq!(count_final_answers(&sim.advance_time(2.0)), 1);
}

#[test]
fn every_request_gets_exactly_one_final_answer_within_its_deadline() {
    let mut sim = Simulation::new(default_settings());
    let classes = [KEYED_WRITE, BOUNDED_READ, SESSION_READ, EVENTUAL_READ, STRONG_READ, NON_IDEMPOTENT_WRITE];
    for (i, class) in classes.into_iter().enumerate() {
        sim.request(&format!("q{i}"), class);
    }
    sim.advance_time(1.8);
    assert_eq!(count_final_answers(&sim.actions), 6);
    sim.advance_time(5.0);
    assert_eq!(count_final_answers(&sim.actions), 6);
}

/// Guards against queuing a request that no endpoint has received until its client has no time left to retry.
#[test]
fn a_request_that_reached_no_endpoint_is_rejected_after_half_its_timeout() {
    let mut sim = Simulation::new(default_settings());
    // Connections to the primary fail, so that the next write is queued until there is another primary.
    for id in ["x", "y"] {
        sim.request(id, KEYED_WRITE);
        sim.finish_attempt(id, PRIMARY, 0, Outcome::ConnectFailed);
    }
    assert_eq!(sent_endpoints(&sim.request("w", KEYED_WRITE)), NO_ENDPOINTS);
    assert_eq!(
        count_final_answers(&sim.advance_time(0.85)),
        0,
        "half of the timeout of 1.8 s has not passed"
    );
    let actions = sim.advance_time(0.1);
    let is_rejection = |action: &Action| match action {
        Action::Reject { id, retry_after, .. } => &**id == "w" && *retry_after > Some(secs(0.0)),
        _ => false,
    };
    assert!(actions.iter().any(is_rejection), "{actions:?}");
}

/// Guards against giving up a request early although an endpoint has received it.
#[test]
fn a_request_that_reached_an_endpoint_keeps_its_whole_timeout() {
    let mut sim = Simulation::new(default_settings());
    sim.request("w", KEYED_WRITE);
    assert_eq!(count_final_answers(&sim.advance_time(1.7)), 0);
    assert_eq!(count_final_answers(&sim.advance_time(0.1)), 1);
}

#[test]
fn nothing_is_sent_after_the_client_has_disconnected() {
    let mut sim = Simulation::new(default_settings());
    sim.request("b", BOUNDED_READ);
    sim.disconnect_client("b");
    let actions = sim.finish_attempt("b", LOCAL_REPLICA, 0, Outcome::Ineligible);
    assert_eq!(sent_endpoints(&actions).len(), 0);
}

#[test]
fn retries_do_not_amplify_load() {
    let mut sim = Simulation::new(default_settings());
    sim.report_fresh(LOCAL_REPLICA);
    sim.report_fresh(REMOTE_REPLICA);
    let mut sends = 0;
    for i in 0..300 {
        let id = format!("a{i}");
        let mut target = first_endpoint(&sim.request(&id, EVENTUAL_READ));
        let mut attempt = 0;
        while let Some(endpoint) = target {
            sends += 1;
            target = first_endpoint(&sim.finish_attempt(&id, &endpoint, attempt, Outcome::Error));
            attempt += 1;
        }
    }
    assert!(sends < 300 * 3 / 2, "{sends}");
}

#[test]
fn a_possibly_executed_non_idempotent_write_fails_without_a_retry() {
    let mut sim = Simulation::new(default_settings());
    sim.request("u", NON_IDEMPOTENT_WRITE);
    let actions = sim.finish_attempt("u", PRIMARY, 0, Outcome::Error);
    let first = actions.iter().find(|action| !matches!(action, Action::SetTimer { .. }));
    assert_eq!(
        first,
        Some(&Action::Fail {
            id: "u".into(),
            reason: GiveUpReason::AttemptDenied(AttemptDenied::UnsafeRepeat)
        })
    );
}

#[test]
fn a_keyed_write_is_not_retried_near_the_end_of_its_deduplication_window() {
    let mut sim = Simulation::new(default_settings());
    sim.request("w", KEYED_WRITE);
    sim.now += 0.2;
    assert_eq!(sent_endpoints(&sim.finish_attempt("w", PRIMARY, 0, Outcome::Error)), [PRIMARY]);

    let mut sim = Simulation::new(default_settings());
    sim.request("w", KEYED_WRITE);
    sim.now += 1.0;
    let actions = sim.finish_attempt("w", PRIMARY, 0, Outcome::Error);
    let sends = sent_endpoints(&actions).len();
    assert_eq!(
        (sends, count_final_answers(&actions)),
        (0, 1),
        "the remaining window is too short to connect"
    );
    assert!(actions.contains(&Action::Fail {
        id: "w".into(),
        reason: GiveUpReason::AttemptDenied(AttemptDenied::UnsafeRepeat)
    }));
}

/// Sends a write that gets no answer and then, if `later_writes_succeed`, twenty writes that are answered.
/// Returns the simulation, and whether the attempt of the first write was cancelled.
fn simulate_lost_answer(later_writes_succeed: bool) -> (Simulation, bool) {
    let mut sim = Simulation::new(default_settings());
    sim.request("lost", KEYED_WRITE);
    for i in 0..20 {
        sim.advance_time(0.03);
        if later_writes_succeed {
            let id = format!("w{i}");
            sim.request(&id, KEYED_WRITE);
            sim.advance_time(0.01);
            succeed_on_primary(&mut sim, &id);
        }
    }
    let cancelled = sim.actions.contains(&Action::CancelAttempt { id: "lost".into(), attempt: 0 });
    (sim, cancelled)
}

/// Guards against waiting for a lost answer until the client times out: a primary answered all writes but one
/// in eight.
#[test]
fn a_keyed_write_is_retried_once_the_primary_has_answered_many_later_ones() {
    let (mut sim, cancelled) = simulate_lost_answer(true);
    assert!(cancelled);
    let retried = sim.finish_attempt("lost", PRIMARY, 0, Outcome::Cancelled);
    assert_eq!(sent_endpoints(&retried), [PRIMARY], "the retry is inside the deduplication window");
    let (_, cancelled) = simulate_lost_answer(false);
    assert!(!cancelled, "a primary that answers nothing may be slow, so its writes are not repeated");
}

/// Sends a write that the primary does not answer, while it answers twenty later ones. After `failover_after`
/// seconds the remote replica is promoted, and another half second passes.
fn simulate_lost_answer_and_failover(settings: Settings, failover_after: f64) -> Simulation {
    let mut sim = Simulation::new(settings);
    sim.request("lost", KEYED_WRITE);
    for i in 0..20 {
        sim.advance_time(failover_after / 20.0 * 0.75);
        let id = format!("w{i}");
        sim.request(&id, KEYED_WRITE);
        sim.advance_time(failover_after / 20.0 * 0.25);
        succeed_on_primary(&mut sim, &id);
    }
    let entries = vec![primary(REMOTE_REPLICA, REMOTE_ZONE), replica(PRIMARY, LOCAL_ZONE)];
    sim.update_endpoints(UpdateKind::Delta, entries);
    for (endpoint, is_primary) in [(REMOTE_REPLICA, true), (PRIMARY, false)] {
        let claim =
            FinishedAttempt::new("none", endpoint, Outcome::Success).role(Role::primary_if(is_primary));
        sim.finish_attempt_with(claim);
    }
    sim.advance_time(0.5);
    sim
}

/// Returns the endpoint and the timeout in seconds of each attempt of a request.
fn attempts_of(sim: &Simulation, request: &str) -> Vec<(String, f64)> {
    let attempt = |action: &Action| match action {
        Action::Send { id, endpoint, timeout } if &**id == request => {
            Some((endpoint.to_string(), timeout.as_secs()))
        }
        _ => None,
    };
    sim.actions.iter().filter_map(attempt).collect()
}

/// Settings that allow hedged requests, with the given deduplication window for keyed writes.
fn hedging_settings(deduplication_window: f64) -> Settings {
    let mut settings = Settings { hedging: true, ..default_settings() };
    settings.classes[KEYED_WRITE].deduplication_window = secs(deduplication_window);
    settings
}

/// Guards against a hedged write that reaches a promoted replica after the end of its deduplication window:
/// it would be executed a second time.
#[rstest]
#[case::window_closed(0.5, 1)]
#[case::connect_timeout_does_not_fit(1.0, 1)]
#[case::window_open(2.0, 2)]
fn a_keyed_write_is_hedged_only_inside_its_deduplication_window(
    #[case] window: f64,
    #[case] attempts: usize,
) {
    let sim = simulate_lost_answer_and_failover(hedging_settings(window), 0.8);
    assert_eq!(attempts_of(&sim, "lost").len(), attempts, "{:?}", attempts_of(&sim, "lost"));
}

#[test]
fn a_hedged_write_times_out_before_its_deduplication_window_closes() {
    let sim = simulate_lost_answer_and_failover(hedging_settings(1.3), 0.8);
    let attempts = attempts_of(&sim, "lost");
    assert_eq!(attempts[1].0, REMOTE_REPLICA, "only the new primary takes writes");
    assert!(attempts[1].1 <= 0.5, "{attempts:?}");
}

#[test]
fn hedged_requests_count_towards_the_limit_of_attempts() {
    let sim = simulate_lost_answer_and_failover(Settings { max_attempts: 1, ..hedging_settings(2.0) }, 0.8);
    assert_eq!(attempts_of(&sim, "lost").len(), 1);
}

/// Guards against measuring the window from the attempt that ended first: with two attempts in flight, that
/// is not necessarily the one that was sent first.
#[test]
fn the_deduplication_window_begins_with_the_first_attempt_that_was_sent() {
    let mut sim = simulate_lost_answer_and_failover(hedging_settings(1.3), 0.8);
    assert_eq!(attempts_of(&sim, "lost").len(), 2);
    sim.finish_attempt("lost", REMOTE_REPLICA, 1, Outcome::Error);
    sim.advance_time(0.05);
    sim.finish_attempt("lost", PRIMARY, 0, Outcome::ConnectionReset);
    assert_eq!(attempts_of(&sim, "lost").len(), 2, "1.35 s after the first attempt");
    assert_eq!(count_final_answers(&sim.actions), 1);
}

/// Guards against hedging a hedged attempt: when every endpoint was unresponsive, a read was in flight at all
/// replicas at once.
#[test]
fn with_hedging_a_request_never_has_three_attempts_in_flight() {
    let mut settings = Settings { hedging: true, ..default_settings() };
    settings.classes[EVENTUAL_READ].latency_objective = secs(1.8);
    let mut sim = Simulation::new(settings);
    let replicas = ["replica-1", "replica-2", "replica-3", "replica-4"];
    sim.update_endpoints(UpdateKind::Delta, replicas.map(|id| replica(id, LOCAL_ZONE)).into());
    for i in 0..30 {
        let id = format!("quick-{i}");
        let endpoint = sent_endpoints(&sim.request(&id, EVENTUAL_READ))[0].to_string();
        sim.finish_attempt(&id, &endpoint, 0, Outcome::Success);
        sim.advance_time(0.01);
    }
    sim.request("silent", EVENTUAL_READ);
    sim.advance_time(1.7);
    assert_eq!(attempts_of(&sim, "silent").len(), 2, "{:?}", attempts_of(&sim, "silent"));
}

#[test]
fn without_hedging_a_request_never_has_two_attempts_in_flight() {
    let mut sim = Simulation::new(default_settings());
    sim.report_fresh(LOCAL_REPLICA);
    sim.report_fresh(REMOTE_REPLICA);
    sim.request("b", BOUNDED_READ);
    sim.advance_time(1.7);
    assert_eq!(sent_endpoints(&sim.actions).len(), 1);
}

/// An attempt that is merely slow may still be answered. Without another endpoint, cancelling it only ends in a
/// rejection.
#[test]
fn an_overdue_read_is_not_cancelled_if_no_other_endpoint_is_left_for_a_retry() {
    let endpoints = |_| vec![replica(LOCAL_REPLICA, LOCAL_ZONE), replica(REMOTE_REPLICA, REMOTE_ZONE)];
    let mut sim = Simulation::with_endpoints(default_settings(), 1, endpoints);
    for i in 0..50 {
        sim.advance_time(0.01);
        let id = format!("fast{i}");
        let endpoint = sim.route(&id, EVENTUAL_READ);
        sim.finish_attempt_with(FinishedAttempt::new(&id, &endpoint, Outcome::Success).elapsed(0.001));
    }
    let first = sim.route("slow", EVENTUAL_READ);
    let second = first_endpoint(&sim.finish_attempt("slow", &first, 0, Outcome::Overloaded));
    assert!(second.is_some_and(|second| second != first));
    let actions = sim.advance_time(0.2);
    let is_cancelled = actions.iter().any(|action| matches!(action, Action::CancelAttempt { .. }));
    assert!(!is_cancelled, "{actions:?}");
}

/// A process that is about to be killed cannot wait for an answer.
#[test]
fn an_imminent_shutdown_ends_a_request_at_once() {
    let mut sim = Simulation::new(default_settings());
    for (id, class) in [("read", EVENTUAL_READ), ("write", NON_IDEMPOTENT_WRITE)] {
        assert_eq!(sent_endpoints(&sim.request(id, class)).len(), 1);
    }
    let announce_shutdown =
        |sim: &mut Simulation, id: &str| sim.handle(Event::ShutdownImminent { id: id.into() });
    let read = announce_shutdown(&mut sim, "read");
    assert!(matches!(&read[..], [Action::Reject { .. }]), "a retry is safe: {read:?}");
    let write = announce_shutdown(&mut sim, "write");
    assert_eq!(
        write,
        [Action::Fail { id: "write".into(), reason: GiveUpReason::Shutdown }],
        "it may have been executed"
    );
    assert_eq!(announce_shutdown(&mut sim, "write"), []);
    assert_eq!(announce_shutdown(&mut sim, "unknown"), []);
}

/// How long the process may be suspended between a decision and the resulting network write, in seconds. The
/// policy uses the same time.
const MAX_PROCESS_PAUSE: f64 = 0.15;

/// A retry that is sent late because of a pause must still arrive inside the deduplication window.
#[test]
fn a_retry_leaves_time_for_a_suspended_process() {
    let settings = Settings { connect_timeout: secs(0.05), ..default_settings() };
    let window = settings.classes[KEYED_WRITE].deduplication_window.as_secs();
    for (elapsed, retries) in [(window - MAX_PROCESS_PAUSE - 0.01, 1), (window - MAX_PROCESS_PAUSE + 0.01, 0)]
    {
        let mut sim = Simulation::new(settings.clone());
        sim.request("w", KEYED_WRITE);
        sim.now += elapsed;
        sim.finish_attempt("w", PRIMARY, 0, Outcome::Error);
        let attempts = attempts_of(&sim, "w");
        assert_eq!(attempts.len(), 1 + retries, "after {elapsed} s");
        let longest_timeout = (window - MAX_PROCESS_PAUSE - elapsed).max(settings.tick.as_secs()) + 1e-9;
        assert!(attempts[1..].iter().all(|(_, timeout)| *timeout <= longest_timeout), "{attempts:?}");
    }
}

#[test]
fn a_request_without_time_for_an_answer_is_rejected_unsent() {
    let mut sim = Simulation::new(default_settings());
    let actions = sim.handle(Event::request("late", KEYED_WRITE, 0, secs(0.004)));
    assert_eq!((sent_endpoints(&actions), count_final_answers(&actions)), (Vec::new(), 1));
    assert!(has_rejection_with_retry_after(&actions));
}

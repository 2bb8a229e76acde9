use mio::Poll;
use rstest::rstest;

use super::*;

const LONGEST_DEADLINE: Duration = Duration::from_secs(8);

fn drain_with_max_retry_after(max_retry_after: Option<Duration>) -> Drain {
    GracefulShutdown::new(LONGEST_DEADLINE, max_retry_after).start_draining(Instant::now())
}

#[test]
fn the_process_ends_only_after_the_grace_period() {
    let poll = Poll::new().unwrap();
    let mut reactor = Reactor::new(&poll).unwrap();
    let mut shutdown = GracefulShutdown::new(LONGEST_DEADLINE, None);
    assert!(!shutdown.is_draining());
    shutdown.start(&mut reactor);
    assert!(!shutdown.is_draining(), "the grace period has just started");
    shutdown.start_draining(Instant::now());
    shutdown.start(&mut reactor);
    assert!(shutdown.is_draining(), "a second signal changes nothing");
}

#[rstest]
#[case::short(500, 1200)]
#[case::counted_in_full(3000, 3700)]
#[case::longer_than_the_kill_waits(8000, 3700)]
fn the_kill_waits_for_the_longest_deadline_up_to_a_limit(#[case] deadline: u64, #[case] kill: u64) {
    let shutdown = GracefulShutdown::new(Duration::from_millis(deadline), None);
    let requested_at = Instant::now();
    assert_eq!(shutdown.earliest_kill(requested_at), requested_at + Duration::from_millis(kill));
}

#[rstest]
#[case::not_allowed(None, None)]
#[case::shorter(Some(Duration::from_millis(20)), Some(Duration::from_millis(20)))]
#[case::longer(Some(Duration::from_secs(1)), Some(RETRY_AFTER))]
fn the_settings_limit_the_retry_after(#[case] longest: Option<Duration>, #[case] expected: Option<Duration>) {
    assert_eq!(drain_with_max_retry_after(longest).retry_after(), expected);
}

#[test]
fn only_queries_received_after_the_start_of_draining_are_rejected() {
    let started_at = Instant::now();
    let drain = GracefulShutdown::new(LONGEST_DEADLINE, None).start_draining(started_at);
    assert!(!drain.rejects(started_at, started_at));
    assert!(drain.rejects(started_at + Duration::from_nanos(1), started_at));
}

#[test]
fn shortly_before_the_kill_no_query_is_started_whenever_it_was_received() {
    let received_at = Instant::now();
    let drain = GracefulShutdown::new(LONGEST_DEADLINE, None).start_draining(received_at);
    let end_of_waiting = received_at + Duration::from_millis(3400);
    assert!(!drain.rejects(received_at, end_of_waiting - Duration::from_nanos(1)));
    assert!(drain.rejects(received_at, end_of_waiting));
}

//! Read-your-writes consistency: the reads of a session see its earlier writes.

use pg_pooler::interface::{Action, Event, Outcome, Request, Role};
use pg_pooler::settings::{Settings, StaleReadHandling};

use crate::harness::{
    default_settings, secs, sent_endpoints, session_request, FinishedAttempt, Simulation, KEYED_WRITE,
    LOCAL_REPLICA, NON_IDEMPOTENT_WRITE, PRIMARY, SESSION_READ,
};

/// Settings with which the pooler records the writes of each session, and endpoints serve stale reads.
fn settings_that_record_writes() -> Settings {
    Settings {
        stale_reads: StaleReadHandling::ServeStale,
        session_tokens_carried: false,
        ..default_settings()
    }
}

fn request(sim: &mut Simulation, id: &str, class: usize) -> Vec<Action> {
    sim.handle(Event::Request(session_request(id, class)))
}

#[test]
fn a_session_read_goes_to_a_replica_only_once_it_has_applied_the_sessions_write() {
    let mut sim =
        Simulation::new(Settings { stale_reads: StaleReadHandling::ServeStale, ..default_settings() });
    sim.report_fresh(LOCAL_REPLICA);
    sim.now += 0.2;
    let read = |id: &str, age: f64| {
        let request = session_request(id, SESSION_READ);
        Event::Request(Request { session: None, session_token_age: Some(secs(age)), ..request })
    };
    assert_eq!(sent_endpoints(&sim.handle(read("old", 0.3))), [LOCAL_REPLICA]);
    assert_eq!(sent_endpoints(&sim.handle(read("new", 0.1))), [PRIMARY]);
}

#[test]
fn a_recorded_write_sends_its_sessions_reads_to_the_primary() {
    let mut sim = Simulation::new(settings_that_record_writes());
    sim.report_fresh(LOCAL_REPLICA);
    assert_eq!(sent_endpoints(&request(&mut sim, "before", SESSION_READ)), [LOCAL_REPLICA]);
    request(&mut sim, "w", KEYED_WRITE);
    sim.now += 0.05;
    let commit = sim.now;
    sim.finish_attempt_with(
        FinishedAttempt::new("w", PRIMARY, Outcome::Success).role(Role::Primary).log_position(commit),
    );
    assert_eq!(sent_endpoints(&request(&mut sim, "after", SESSION_READ)), [PRIMARY]);
}

#[test]
fn a_write_without_a_plausible_commit_position_counts_as_committed_when_answered() {
    let mut sim = Simulation::new(settings_that_record_writes());
    sim.report_fresh(LOCAL_REPLICA);
    // No position, a position in the future, and a position that is not a number.
    for (id, commit) in [("1", None), ("2", Some(sim.now + 1e6)), ("3", Some(f64::NAN))] {
        sim.now += 0.1;
        request(&mut sim, id, KEYED_WRITE);
        let write = FinishedAttempt::new(id, PRIMARY, Outcome::Success).role(Role::Primary);
        sim.finish_attempt_with(write.log_position(commit));

        let read = format!("{id} read");
        assert_eq!(sent_endpoints(&request(&mut sim, &read, SESSION_READ)), [PRIMARY]);
        sim.finish_attempt_with(FinishedAttempt::new(&read, PRIMARY, Outcome::Success).role(Role::Primary));

        sim.report_fresh(LOCAL_REPLICA);
        let later = format!("{id} later");
        assert_eq!(sent_endpoints(&request(&mut sim, &later, SESSION_READ)), [LOCAL_REPLICA]);
        sim.finish_attempt_with(
            FinishedAttempt::new(&later, LOCAL_REPLICA, Outcome::Success).role(Role::Replica),
        );
    }
}

/// The recorded writes are lost in a restart, so any session may have written before it.
#[test]
fn after_a_restart_an_unknown_session_reads_data_no_older_than_the_start() {
    let mut sim = Simulation::new(settings_that_record_writes());
    sim.report_position(LOCAL_REPLICA, sim.now - 0.3);
    assert_eq!(sent_endpoints(&request(&mut sim, "early", SESSION_READ)), [PRIMARY]);
    sim.report_fresh(LOCAL_REPLICA);
    assert_eq!(sent_endpoints(&request(&mut sim, "later", SESSION_READ)), [LOCAL_REPLICA]);
}

/// A write that is in flight or whose answer was lost may have been executed. Later reads of its session must
/// not go to a replica that has not applied it.
#[test]
fn a_possibly_executed_write_sends_its_sessions_reads_to_the_primary() {
    let mut sim = Simulation::new(settings_that_record_writes());
    sim.report_fresh(LOCAL_REPLICA);
    assert_eq!(sent_endpoints(&request(&mut sim, "before", SESSION_READ)), [LOCAL_REPLICA]);
    assert_eq!(sent_endpoints(&request(&mut sim, "w", NON_IDEMPOTENT_WRITE)), [PRIMARY]);
    sim.now += 0.1;
    sim.report_fresh(LOCAL_REPLICA);
    sim.now += 0.1;
    let in_flight = request(&mut sim, "write-in-flight", SESSION_READ);
    assert_eq!(sent_endpoints(&in_flight), [PRIMARY]);
    sim.finish_attempt("w", PRIMARY, 0, Outcome::ConnectionReset);
    sim.now += 0.1;
    let before_report = request(&mut sim, "before-report", SESSION_READ);
    assert_eq!(sent_endpoints(&before_report), [PRIMARY]);
    sim.report_fresh(LOCAL_REPLICA);
    let after_report = request(&mut sim, "after-report", SESSION_READ);
    assert_eq!(sent_endpoints(&after_report), [LOCAL_REPLICA]);
}

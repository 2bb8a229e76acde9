//! Attempts that have waited for their connection: whether they may still be sent.

use pg_pooler::interface::{Event, Outcome, Request, Role};
use pg_pooler::settings::{Settings, StaleReadHandling};

use crate::harness::{
    default_settings, secs, sent_endpoints, session_request, FinishedAttempt, Simulation, BOUNDED_READ,
    EVENTUAL_READ, KEYED_WRITE, LOCAL_REPLICA, PRIMARY, SESSION_READ, STRONG_READ,
};

/// A simulation in which endpoints answer reads from stale data.
fn simulation() -> Simulation {
    Simulation::new(Settings { stale_reads: StaleReadHandling::ServeStale, ..default_settings() })
}

/// The primary rejects a write because it is a replica now.
fn demote_primary(sim: &mut Simulation) {
    sim.request("demoting", KEYED_WRITE);
    sim.finish_attempt_with(
        FinishedAttempt::new("demoting", PRIMARY, Outcome::Ineligible).role(Role::Replica),
    );
}

/// Guards against sending a strong read to an endpoint that has meanwhile told that it is a replica. It was
/// answered from data that lacked later commits.
#[test]
fn a_strong_read_is_not_sent_to_an_endpoint_that_is_no_longer_the_primary() {
    let mut sim = simulation();
    assert_eq!(sent_endpoints(&sim.request("r", STRONG_READ)), [PRIMARY]);
    assert!(sim.allows_send("r"));
    demote_primary(&mut sim);
    assert!(!sim.allows_send("r"));
}

/// Guards against sending a read with bounded staleness although its bound, which counts from the moment when
/// it is sent, has passed the position of the replica.
#[test]
fn a_bounded_read_is_not_sent_to_a_replica_whose_position_has_become_too_old() {
    let mut sim = simulation();
    sim.report_fresh(LOCAL_REPLICA);
    assert_eq!(sent_endpoints(&sim.request("r", BOUNDED_READ)), [LOCAL_REPLICA]);
    assert!(sim.allows_send("r"));
    sim.now += default_settings().classes[BOUNDED_READ].staleness_bound().unwrap().as_secs() + 0.001;
    assert!(!sim.allows_send("r"));
    // A later position makes the replica fresh enough again.
    sim.report_fresh(LOCAL_REPLICA);
    assert!(sim.allows_send("r"));
}

#[test]
fn a_bounded_read_at_the_primary_is_sent_however_long_it_has_waited() {
    let mut sim = simulation();
    assert_eq!(sent_endpoints(&sim.request("r", BOUNDED_READ)), [PRIMARY]);
    sim.now += 10.0;
    assert!(sim.allows_send("r"));
    demote_primary(&mut sim);
    assert!(!sim.allows_send("r"));
}

#[test]
fn a_session_read_is_sent_to_a_replica_that_has_reached_the_position_of_its_session() {
    let mut sim = simulation();
    sim.report_fresh(LOCAL_REPLICA);
    sim.now += 0.2;
    let request =
        Request { session: None, session_token_age: Some(secs(0.3)), ..session_request("r", SESSION_READ) };
    assert_eq!(sent_endpoints(&sim.handle(Event::Request(request))), [LOCAL_REPLICA]);
    sim.now += 10.0;
    assert!(sim.allows_send("r"));
}

/// An endpoint rejects a write that it cannot take, and the search for a lost primary relies on that.
#[test]
fn writes_and_eventual_reads_are_sent_whatever_has_become_known_of_their_endpoint() {
    let mut sim = simulation();
    sim.request("w", KEYED_WRITE);
    sim.request("r", EVENTUAL_READ);
    demote_primary(&mut sim);
    sim.now += 10.0;
    assert!(sim.allows_send("w"));
    assert!(sim.allows_send("r"));
}

#[test]
fn nothing_is_sent_for_a_client_that_no_longer_waits() {
    let mut sim = simulation();
    sim.request("r", EVENTUAL_READ);
    sim.disconnect_client("r");
    assert!(!sim.allows_send("r"));
    assert!(!sim.allows_send("unknown"));
}

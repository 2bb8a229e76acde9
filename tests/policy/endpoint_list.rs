//! The endpoint list: snapshots and deltas, draining and removed endpoints, and a lost watch.

use pg_pooler::interface::{Action, Endpoint, EndpointStatus, Event, UpdateKind};
use pg_pooler::settings::{ListDelivery, Settings};
use rstest::rstest;

use crate::harness::{
    default_settings, primary, replica, secs, sent_endpoints, Simulation, EVENTUAL_READ, KEYED_WRITE,
    LOCAL_REPLICA, LOCAL_ZONE, PRIMARY,
};

fn replica_with_status(id: &str, status: EndpointStatus) -> Endpoint {
    Endpoint { status, ..replica(id, LOCAL_ZONE) }
}

#[test]
fn draining_and_removed_endpoints_get_no_new_requests() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut sim = Simulation::new(default_settings());
        sim.report_fresh(LOCAL_REPLICA);
        sim.update_endpoints(UpdateKind::Delta, vec![replica_with_status(LOCAL_REPLICA, status)]);
        for i in 0..20 {
            let actions = sim.request(&format!("a{i}"), EVENTUAL_READ);
            assert!(!sent_endpoints(&actions).contains(&LOCAL_REPLICA));
        }
    }
}

#[test]
fn with_advisory_removal_only_draining_is_binding() {
    let settings = Settings { removal_is_advisory: true, ..default_settings() };
    let mut sim = Simulation::new(settings.clone());
    sim.update_endpoints(UpdateKind::Snapshot, vec![primary(PRIMARY, LOCAL_ZONE)]);
    assert_eq!(sent_endpoints(&sim.request("a", EVENTUAL_READ)), [LOCAL_REPLICA]);

    let mut sim = Simulation::new(settings);
    sim.update_endpoints(
        UpdateKind::Delta,
        vec![replica_with_status(LOCAL_REPLICA, EndpointStatus::Draining)],
    );
    sim.update_endpoints(
        UpdateKind::Delta,
        vec![replica_with_status(LOCAL_REPLICA, EndpointStatus::Removed)],
    );
    assert_ne!(sent_endpoints(&sim.request("a", EVENTUAL_READ)), [LOCAL_REPLICA]);
}

#[test]
fn a_lost_watch_keeps_the_last_list_and_is_restarted() {
    let mut sim =
        Simulation::new(Settings { list_delivery: ListDelivery::SharedService, ..default_settings() });
    assert!(sim.advance_time(0.2).contains(&Action::Watch));
    sim.handle(Event::WatchFailed);
    assert_eq!(sent_endpoints(&sim.request("w", KEYED_WRITE)), [PRIMARY]);
    assert!(sim.advance_time(5.0).contains(&Action::Watch));
}

/// A drain is binding 6 s after discovery has announced it, whether or not the pooler was reachable. With a
/// backoff that grows with `max_watch_gap`, the pooler would learn of the drain too late.
#[test]
fn a_watch_that_fails_repeatedly_is_restarted_every_second() {
    for max_watch_gap in [2.0, 10.0, 60.0] {
        let mut sim = Simulation::new(Settings {
            list_delivery: ListDelivery::SharedService,
            max_watch_gap: secs(max_watch_gap),
            ..default_settings()
        });
        let count_watches =
            |actions: &[Action]| actions.iter().filter(|action| **action == Action::Watch).count();
        for _ in 0..10 {
            sim.handle(Event::WatchFailed);
            assert_eq!(count_watches(&sim.advance_time(1.2)), 1, "{max_watch_gap}");
        }
        // A start of the watch without a response is not repeated at once: even an update without entries may
        // take 2 s.
        assert_eq!(count_watches(&sim.advance_time(2.0)), 0, "{max_watch_gap}");
        assert_eq!(count_watches(&sim.advance_time(2.2)), 1, "a start without a response is repeated");
    }
}

/// What the local agent has been sent counts as known to the pooler, so a drain must reach it within the grace.
#[rstest]
fn the_local_agent_is_requested_again_well_within_the_drain_grace(#[values(0.3, 2.0)] grace: f64) {
    let mut sim = Simulation::new(Settings {
        list_delivery: ListDelivery::LocalAgent,
        drain_grace: secs(grace),
        ..default_settings()
    });
    for _ in 0..10 {
        sim.handle(Event::WatchFailed);
        assert!(sim.advance_time(grace / 10.0).contains(&Action::Watch), "after a failure");
        assert!(sim.advance_time(grace / 10.0).contains(&Action::Watch), "without an answer");
    }
    sim.handle(Event::WatchAnswered { answer_time: secs(0.001) });
    assert!(!sim.advance_time(grace * 3.0).contains(&Action::Watch), "while the watch is open");
}

/// Returns a policy that gets its list from the local agent, with the drain grace of most deployments.
fn simulation_with_agent() -> Simulation {
    Simulation::new(Settings {
        list_delivery: ListDelivery::LocalAgent,
        drain_grace: secs(2.0),
        ..default_settings()
    })
}

/// Returns how often the list is requested in this time.
fn requests_within(sim: &mut Simulation, seconds: f64) -> usize {
    sim.advance_time(seconds).iter().filter(|action| **action == Action::Watch).count()
}

/// Guards against keeping a service that answers one request after another busy with repetitions.
#[test]
fn an_agent_that_takes_long_to_answer_is_requested_less_often() {
    let mut sim = simulation_with_agent();
    let mut requests_after_loss = |answer_time: f64| {
        sim.handle(Event::WatchAnswered { answer_time: secs(answer_time) });
        sim.handle(Event::WatchFailed);
        requests_within(&mut sim, 10.0)
    };
    let slow = requests_after_loss(3.0);
    assert!((20..=21).contains(&slow), "a quarter of the grace: {slow}");
    let medium = requests_after_loss(0.4);
    assert!((49..=51).contains(&medium), "half of the answer time: {medium}");
    let fast = requests_after_loss(0.001);
    assert!((99..=101).contains(&fast), "a twentieth of the grace: {fast}");
    let outage = requests_after_loss(5.0);
    assert!((99..=101).contains(&outage), "an answer that an outage has delayed changes nothing: {outage}");
}

/// Guards against a burst of requests to a slow service at the start of a pooler.
#[test]
fn before_the_first_answer_the_time_between_requests_grows() {
    let mut sim = simulation_with_agent();
    sim.update_endpoints(UpdateKind::Cached, vec![primary(PRIMARY, LOCAL_ZONE)]);
    let first = requests_within(&mut sim, 1.0);
    assert!((2..=4).contains(&first), "0.1, 0.3 and 0.7 s after the first: {first}");
    for _ in 0..10 {
        assert_ne!(requests_within(&mut sim, 0.51), 0, "a quarter of the grace at most");
    }
}

#[test]
fn after_a_move_of_the_service_the_list_is_requested_at_once_and_as_at_the_start() {
    let mut sim = simulation_with_agent();
    sim.handle(Event::WatchAnswered { answer_time: secs(0.001) });
    assert_eq!(requests_within(&mut sim, 1.0), 0);
    assert!(sim.handle(Event::WatchMoved).contains(&Action::Watch));
    let first = requests_within(&mut sim, 1.0);
    assert!((2..=4).contains(&first), "{first}");
}

/// Guards against memory use that grows with every endpoint ever listed, such as when hosts are replaced in
/// waves.
#[test]
fn removed_endpoints_are_purged_and_the_others_stay_usable() {
    let mut sim = Simulation::new(default_settings());
    for i in 0..2000 {
        let (added, removed) = (format!("n{i}"), format!("n{}", i - 1));
        let entries =
            vec![replica(&added, LOCAL_ZONE), replica_with_status(&removed, EndpointStatus::Removed)];
        sim.update_endpoints(UpdateKind::Delta, entries);
        sim.report_fresh(&added);
        sim.advance_time(0.5);
    }
    assert!(sim.policy.endpoint_count() <= 80, "{}", sim.policy.endpoint_count());
    sim.report_fresh("n1999");
    assert_ne!(sent_endpoints(&sim.request("a", EVENTUAL_READ)).len(), 0);
    sim.update_endpoints(UpdateKind::Delta, vec![replica_with_status("n3", EndpointStatus::Removed)]);
    assert!(sim.policy.endpoint_count() <= 80);
}

/// Guards against memory use that grows with every group ever listed.
#[test]
fn groups_whose_endpoints_were_removed_are_purged() {
    let mut sim = Simulation::new(default_settings());
    for group in 1..500 {
        let entry =
            |group: u32, status| Endpoint { group, ..replica_with_status(&format!("n{group}"), status) };
        sim.update_endpoints(
            UpdateKind::Delta,
            vec![entry(group, EndpointStatus::Serving), entry(group - 1, EndpointStatus::Removed)],
        );
        sim.advance_time(0.5);
    }
    assert!(sim.policy.group_count() <= 80, "{}", sim.policy.group_count());
}

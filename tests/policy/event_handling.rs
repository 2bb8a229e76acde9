//! General properties of event handling: determinism, and tolerance of unusual events.

use pg_pooler::interface::{Action, Event, Outcome, UpdateKind};

use crate::harness::{
    count_final_answers, default_settings, primary, secs, Simulation, BOUNDED_READ, EVENTUAL_READ,
    KEYED_WRITE, LOCAL_REPLICA, LOCAL_ZONE, PRIMARY, REMOTE_ZONE,
};

/// A group that no endpoint list names.
const UNKNOWN_GROUP: u32 = 99;

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut sim = Simulation::new(default_settings());
        for i in 0..50 {
            sim.request(&format!("q{i}"), i % 6);
            sim.advance_time(0.03);
        }
        sim.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn unusual_but_valid_events_are_tolerated() {
    let mut sim = Simulation::new(default_settings());
    sim.handle(Event::request("no time", KEYED_WRITE, 0, secs(0.0)));
    sim.handle(Event::request("negative time", BOUNDED_READ, 0, secs(-1.0)));
    sim.handle(Event::request("unknown class", 99, 0, secs(1.0)));
    sim.finish_attempt("unknown", "nobody", 5, Outcome::Success);
    sim.finish_attempt("no time", PRIMARY, 9, Outcome::Timeout);
    sim.update_endpoints(UpdateKind::Snapshot, vec![]);
    sim.request("no endpoint", KEYED_WRITE);
    let two_primaries = vec![primary(PRIMARY, LOCAL_ZONE), primary(LOCAL_REPLICA, REMOTE_ZONE)];
    sim.update_endpoints(UpdateKind::Snapshot, two_primaries);
    sim.request("two primaries", KEYED_WRITE);
    sim.handle(Event::TimerExpired { cookie: 12345 });
    sim.advance_time(3.0);
    assert_eq!(count_final_answers(&sim.actions), 5);
}

/// The number of requests of a client that sends at full speed, in the test of timers.
const REQUESTS: usize = 1000;
/// Timers of the policy itself, of which it sets a new one only when the one before has expired.
const OWN_TIMERS: usize = 2;

fn count_timers(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::SetTimer { .. })).count()
}

/// Guards against timers that stay until the deadline of a request that was answered at once: with a client
/// that sent such requests at full speed, the memory grew for as long as the longest deadline.
#[test]
fn a_request_that_is_answered_at_once_leaves_no_timer_behind() {
    let mut sim = Simulation::new(default_settings());
    for number in 0..REQUESTS {
        sim.handle(Event::request(&number.to_string(), EVENTUAL_READ, UNKNOWN_GROUP, secs(2.0)));
    }
    assert_eq!(count_final_answers(&sim.actions), REQUESTS);
    let timers = count_timers(&sim.actions);
    assert!(timers <= OWN_TIMERS, "{timers} timers");
}

#[test]
fn a_request_has_one_timer_at_a_time() {
    let mut sim = Simulation::new(default_settings());
    sim.report_fresh(LOCAL_REPLICA);
    for number in 0..REQUESTS {
        let id = number.to_string();
        let endpoint = sim.route(&id, EVENTUAL_READ);
        sim.finish_attempt(&id, &endpoint, 0, Outcome::Success);
    }
    let timers = count_timers(&sim.actions);
    assert!(timers <= REQUESTS + OWN_TIMERS, "{timers} timers");
}

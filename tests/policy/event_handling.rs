//! General properties of event handling: determinism, and tolerance of unusual events.

use pg_pooler::interface::{Event, Outcome, UpdateKind};

use crate::harness::{
    count_final_answers, default_settings, primary, secs, Simulation, BOUNDED_READ, KEYED_WRITE,
    LOCAL_REPLICA, LOCAL_ZONE, PRIMARY, REMOTE_ZONE,
};

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

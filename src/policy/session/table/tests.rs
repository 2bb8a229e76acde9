use super::*;
use crate::time::tests::cluster;

fn session(name: &str) -> Arc<str> {
    Arc::from(name)
}

#[test]
fn a_session_without_a_write_has_seen_nothing() {
    let table = SessionTable::default();
    assert_eq!(table.last_commit(Some(&session("a"))), None);
    assert_eq!(table.last_commit(None), None);
}

#[test]
fn the_latest_commit_counts_whatever_the_order() {
    let mut table = SessionTable::default();
    table.record(session("a"), cluster(2.0));
    table.record(session("a"), cluster(1.0));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster(2.0)));
}

#[test]
fn a_forgotten_session_may_have_written_as_late_as_any_forgotten() {
    let mut table = SessionTable::default();
    table.record(session("a"), cluster(1.0));
    table.record(session("b"), cluster(2.0));
    table.record(session("c"), cluster(3.0));
    table.evict(1, cluster(0.0));
    assert_eq!(table.last_commit(Some(&session("c"))), Some(cluster(3.0)));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster(2.0)));
    assert_eq!(table.last_commit(Some(&session("never heard of"))), Some(cluster(2.0)));
}

#[test]
fn commits_before_the_horizon_are_forgotten() {
    let mut table = SessionTable::default();
    table.record(session("a"), cluster(1.0));
    table.record(session("b"), cluster(2.0));
    table.evict(100, cluster(1.5));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster(1.0)), "the floor for unknown sessions");
    assert_eq!(table.last_commit(Some(&session("b"))), Some(cluster(2.0)));
}

#[test]
fn an_old_write_does_not_take_a_newer_one_with_it() {
    let mut table = SessionTable::default();
    table.record(session("a"), cluster(1.0));
    table.record(session("a"), cluster(2.0));
    table.evict(1, cluster(0.0));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster(2.0)));
    assert_eq!(table.last_commit(Some(&session("b"))), None);
}

#[test]
fn after_a_restart_any_session_may_have_written() {
    let mut table = SessionTable::default();
    table.assume_writes_until(cluster(5.0));
    table.assume_writes_until(cluster(4.0));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster(5.0)));
}

use super::*;
use crate::time::tests::cluster_at;

fn session(name: &str) -> Arc<str> {
    Arc::from(name)
}

#[test]
fn a_session_without_a_write_has_no_last_commit() {
    let table = SessionTable::default();
    assert_eq!(table.last_commit(Some(&session("a"))), None);
    assert_eq!(table.last_commit(None), None);
}

#[test]
fn the_latest_commit_counts_in_any_order_of_recording() {
    let mut table = SessionTable::default();
    table.record(session("a"), cluster_at(2.0));
    table.record(session("a"), cluster_at(1.0));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster_at(2.0)));
}

#[test]
fn an_evicted_session_may_have_written_as_late_as_any_evicted_one() {
    let mut table = SessionTable::default();
    table.record(session("a"), cluster_at(1.0));
    table.record(session("b"), cluster_at(2.0));
    table.record(session("c"), cluster_at(3.0));
    table.evict(1, cluster_at(0.0));
    assert_eq!(table.last_commit(Some(&session("c"))), Some(cluster_at(3.0)));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster_at(2.0)));
    assert_eq!(table.last_commit(Some(&session("unknown"))), Some(cluster_at(2.0)));
}

#[test]
fn commits_before_the_horizon_are_evicted() {
    let mut table = SessionTable::default();
    table.record(session("a"), cluster_at(1.0));
    table.record(session("b"), cluster_at(2.0));
    table.evict(100, cluster_at(1.5));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster_at(1.0)), "latest evicted commit");
    assert_eq!(table.last_commit(Some(&session("b"))), Some(cluster_at(2.0)));
}

#[test]
fn evicting_an_old_write_keeps_a_newer_one_of_the_session() {
    let mut table = SessionTable::default();
    table.record(session("a"), cluster_at(1.0));
    table.record(session("a"), cluster_at(2.0));
    table.evict(1, cluster_at(0.0));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster_at(2.0)));
    assert_eq!(table.last_commit(Some(&session("b"))), None);
}

#[test]
fn assumed_writes_count_for_sessions_that_are_not_in_the_table() {
    let mut table = SessionTable::default();
    table.assume_writes_until(cluster_at(5.0));
    table.assume_writes_until(cluster_at(4.0));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster_at(5.0)));
}

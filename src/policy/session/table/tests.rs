use super::*;
use crate::time::tests::cluster_at;

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
    table.remember(session("a"), cluster_at(2.0));
    table.remember(session("a"), cluster_at(1.0));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster_at(2.0)));
}

#[test]
fn a_forgotten_session_may_have_written_as_late_as_any_forgotten() {
    let mut table = SessionTable::default();
    table.remember(session("a"), cluster_at(1.0));
    table.remember(session("b"), cluster_at(2.0));
    table.remember(session("c"), cluster_at(3.0));
    table.forget(1, cluster_at(0.0));
    assert_eq!(table.last_commit(Some(&session("c"))), Some(cluster_at(3.0)));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster_at(2.0)));
    assert_eq!(table.last_commit(Some(&session("never heard of"))), Some(cluster_at(2.0)));
}

#[test]
fn commits_before_the_horizon_are_forgotten() {
    let mut table = SessionTable::default();
    table.remember(session("a"), cluster_at(1.0));
    table.remember(session("b"), cluster_at(2.0));
    table.forget(100, cluster_at(1.5));
    assert_eq!(
        table.last_commit(Some(&session("a"))),
        Some(cluster_at(1.0)),
        "the floor for unknown sessions"
    );
    assert_eq!(table.last_commit(Some(&session("b"))), Some(cluster_at(2.0)));
}

#[test]
fn an_old_write_does_not_take_a_newer_one_with_it() {
    let mut table = SessionTable::default();
    table.remember(session("a"), cluster_at(1.0));
    table.remember(session("a"), cluster_at(2.0));
    table.forget(1, cluster_at(0.0));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster_at(2.0)));
    assert_eq!(table.last_commit(Some(&session("b"))), None);
}

#[test]
fn after_a_restart_any_session_may_have_written() {
    let mut table = SessionTable::default();
    table.assume_writes_until(cluster_at(5.0));
    table.assume_writes_until(cluster_at(4.0));
    assert_eq!(table.last_commit(Some(&session("a"))), Some(cluster_at(5.0)));
}

use super::*;
use crate::time::tests::{at, cluster_at};

fn entry(id: &str, group: u32, status: EndpointStatus) -> Endpoint {
    Endpoint { id: id.into(), group, status, ..Endpoint::default() }
}

fn serving(id: &str, group: u32) -> Endpoint {
    entry(id, group, EndpointStatus::Serving)
}

fn status(table: &EndpointTable, id: &str) -> Option<EndpointStatus> {
    Some(table[table.key(&EndpointId::from(id))?].listing().status())
}

#[test]
fn a_snapshot_removes_endpoints_that_it_does_not_contain_and_a_delta_does_not() {
    let mut table = EndpointTable::default();
    table.apply_update(UpdateKind::Snapshot, &[serving("a", 0), serving("b", 0)], at(1.0));
    table.apply_update(UpdateKind::Delta, &[serving("c", 0)], at(2.0));
    assert_eq!(status(&table, "a"), Some(EndpointStatus::Serving));
    table.apply_update(UpdateKind::Snapshot, &[serving("b", 0)], at(3.0));
    assert_eq!(status(&table, "a"), Some(EndpointStatus::Removed));
    assert_eq!(status(&table, "b"), Some(EndpointStatus::Serving));
    assert_eq!(status(&table, "c"), Some(EndpointStatus::Removed));
}

#[test]
fn an_unknown_endpoint_that_is_removed_is_not_added() {
    let mut table = EndpointTable::default();
    table.apply_update(UpdateKind::Delta, &[entry("a", 0, EndpointStatus::Removed)], at(1.0));
    assert_eq!((status(&table, "a"), table.slot_count()), (None, 0));
}

#[test]
fn an_endpoint_belongs_to_one_group() {
    let mut table = EndpointTable::default();
    table.apply_update(UpdateKind::Delta, &[serving("a", 1)], at(1.0));
    table.apply_update(UpdateKind::Delta, &[serving("a", 2)], at(2.0));
    let sizes: Vec<usize> = table.groups.values().map(|group| group.members().len()).collect();
    assert_eq!((table.group_ids(), sizes), (vec![1, 2], vec![0, 1]));
    table.remove_empty_groups();
    assert_eq!(table.group_ids(), [2]);
}

#[test]
fn the_slot_of_a_purged_endpoint_is_reused() {
    let mut table = EndpointTable::default();
    table.apply_update(UpdateKind::Delta, &[serving("a", 0)], at(1.0));
    table.apply_update(UpdateKind::Delta, &[entry("a", 0, EndpointStatus::Removed)], at(2.0));
    table.purge_removed(0, at(1.0));
    assert_eq!(status(&table, "a"), Some(EndpointStatus::Removed), "it was still listed at the horizon");
    table.purge_removed(0, at(1.5));
    assert_eq!(status(&table, "a"), None);
    table.apply_update(UpdateKind::Delta, &[serving("b", 0)], at(3.0));
    assert_eq!((status(&table, "b"), table.slot_count()), (Some(EndpointStatus::Serving), 1));
}

#[test]
fn an_update_returns_the_endpoints_that_were_added_or_have_restarted() {
    let mut table = EndpointTable::default();
    let started =
        |id: &str, seconds: f64| Endpoint { started_at: Some(cluster_at(seconds)), ..serving(id, 0) };
    let update = table.apply_update(UpdateKind::Snapshot, &[started("a", 1.0), serving("b", 0)], at(2.0));
    assert_eq!(update, StartedEndpoints { added: vec![0, 1], restarted: vec![] });
    let update = table.apply_update(UpdateKind::Delta, &[started("a", 1.0), started("b", 3.0)], at(4.0));
    assert_eq!(update, StartedEndpoints { added: vec![], restarted: vec![1] });
}

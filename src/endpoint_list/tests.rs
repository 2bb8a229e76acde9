use rstest::rstest;
use serde_json::{json, Value};

use super::*;

fn decode(list: Value) -> Option<EndpointList> {
    serde_json::from_value(list).ok()
}

fn entry() -> Value {
    json!({"name": "s-1", "address": "10.0.0.1:5", "zone": "zone-a", "group": 2, "status": "SERVING"})
}

fn entry_with(field: &str, value: Value) -> Value {
    let mut entry = entry();
    entry[field] = value;
    entry
}

fn decode_entry(entry: Value) -> Option<ListedEndpoint> {
    let list = decode(json!({"index": 1, "endpoints": [entry]})).unwrap();
    assert_eq!(list.is_complete, !list.endpoints.is_empty());
    list.endpoints.into_iter().next()
}

#[test]
fn a_list_is_decoded() {
    let list = decode(json!({"index": 43.0, "snapshot": true, "odd": 1, "endpoints": [entry()]})).unwrap();
    assert_eq!((list.version, list.is_snapshot, list.is_complete, list.endpoints.len()), (43, true, true, 1));
    let endpoint = &list.endpoints[0];
    assert_eq!((&*endpoint.name, endpoint.zone.as_str(), endpoint.group), ("s-1", "zone-a", 2));
    assert_eq!((endpoint.address, endpoint.status), (([10, 0, 0, 1], 5).into(), EndpointStatus::Serving));
    assert_eq!((endpoint.started_at, endpoint.role), (None, Role::Replica));
}

#[rstest]
#[case::no_index(json!({"endpoints": []}))]
#[case::index_of_a_wrong_type(json!({"index": "1", "endpoints": []}))]
#[case::no_endpoints(json!({"index": 1}))]
#[case::endpoints_of_a_wrong_type(json!({"index": 1, "endpoints": {}}))]
fn a_list_without_its_required_fields_is_rejected(#[case] list: Value) {
    assert!(decode(list).is_none());
}

#[rstest]
#[case::null(json!(null))]
#[case::array(json!(["s-1", "10.0.0.1:5", "zone-a", 2, "SERVING"]))]
#[case::name(entry_with("name", json!(1)))]
#[case::address(entry_with("address", json!("localhost")))]
#[case::no_address(entry_with("address", json!(null)))]
#[case::zone(entry_with("zone", json!(null)))]
#[case::group(entry_with("group", json!("two")))]
#[case::status(entry_with("status", json!("ODD")))]
#[case::status_of_a_wrong_type(entry_with("status", json!({"SERVING": null})))]
fn an_invalid_entry_is_omitted(#[case] invalid: Value) {
    assert!(decode_entry(invalid.clone()).is_none());
    let list = decode(json!({"index": 1, "endpoints": [entry(), invalid, entry()]})).unwrap();
    assert_eq!((list.is_complete, list.endpoints.len()), (false, 2));
}

#[rstest]
#[case("SERVING", EndpointStatus::Serving)]
#[case("DRAINING", EndpointStatus::Draining)]
#[case("DELETED", EndpointStatus::Removed)]
fn the_status_is_decoded(#[case] text: &str, #[case] expected: EndpointStatus) {
    assert_eq!(decode_entry(entry_with("status", json!(text))).unwrap().status, expected);
}

#[rstest]
#[case::absent(json!(null))]
#[case::not_an_address(json!("localhost"))]
fn a_removed_endpoint_needs_no_address(#[case] address: Value) {
    let mut removed = entry_with("status", json!("DELETED"));
    removed["address"] = address;
    assert_eq!(decode_entry(removed).unwrap().address, NO_ADDRESS);
}

#[rstest]
#[case::negative(json!(-1), 0)]
#[case::fraction(json!(2.9), 2)]
#[case::too_large(json!(1e300), u32::MAX)]
fn the_group_is_truncated_and_saturates(#[case] group: Value, #[case] expected: u32) {
    assert_eq!(decode_entry(entry_with("group", group)).unwrap().group, expected);
}

#[rstest]
#[case::milliseconds(json!(1500), Some(1.5))]
#[case::zero(json!(0), None)]
#[case::before_1970(json!(-1500), Some(-1.5))]
#[case::a_wrong_type(json!("1500"), None)]
fn the_start_time_is_decoded(#[case] since_ms: Value, #[case] expected: Option<f64>) {
    let started_at = decode_entry(entry_with("since_ms", since_ms)).unwrap().started_at;
    assert_eq!(started_at.map(ClusterInstant::as_secs), expected);
}

#[rstest]
#[case::writer(json!("writer"), Role::Primary)]
#[case::reader(json!("reader"), Role::Replica)]
#[case::a_wrong_type(json!(true), Role::Replica)]
fn the_primary_is_the_writer(#[case] access: Value, #[case] expected: Role) {
    assert_eq!(decode_entry(entry_with("access", access)).unwrap().role, expected);
}

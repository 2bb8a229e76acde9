use rstest::rstest;
use serde_json::json;

use super::*;
use crate::time::tests::secs;

/// Decodes a settings object. An error is returned as its message.
fn decode(settings: &Value) -> Result<Settings, String> {
    decode_settings(settings).map_err(|error| error.to_string())
}

/// Decodes a settings object with a single class, and returns the class.
fn decode_class(class: Value) -> Result<RequestClass, String> {
    let settings = decode(&json!({"classes": [class], "specifics": {"consistency": ["any"]}}))?;
    Ok(settings.classes[0].clone())
}

fn assert_same(decoded: &impl std::fmt::Debug, expected: &impl std::fmt::Debug) {
    assert_eq!(format!("{decoded:#?}"), format!("{expected:#?}"));
}

fn default_class() -> RequestClass {
    RequestClass {
        latency_objective: secs(1.0),
        latency_objective_factor: 0.0,
        deadline: secs(1.0),
        deduplication_window: secs(0.0),
        idempotency: Idempotency::NonIdempotent,
        deduplication_scope: DeduplicationScope::Group,
        late_weight: 0.0,
        priority_weight: 1.0,
        consistency: Consistency::Eventual,
    }
}

fn default_settings() -> Settings {
    Settings {
        classes: Vec::new(),
        tenant_quotas: Vec::new(),
        over_quota_weight: 1.0,
        pooler_count: 1,
        zone: 0,
        shares_endpoint_clock: true,
        tick: secs(0.005),
        health_checks: false,
        cancellation: false,
        hedging: false,
        max_attempts: 1,
        send_retry_after: false,
        max_retry_after: secs(0.0),
        connect_timeout: secs(0.25),
        list_delivery: ListDelivery::Unrequested,
        max_watch_gap: secs(10.0),
        drain_grace: secs(2.0),
        initial_capacity: 1.0,
        slow_start_window: secs(0.0),
        overload_limit: None,
        overload_window: secs(1.0),
        removal_is_advisory: false,
        stale_reads: StaleReadHandling::ServeStale,
        session_tokens_carried: false,
    }
}

#[rstest]
#[case::absent(json!({"classes": []}))]
#[case::unknown_fields(json!({"classes": [], "odd": [1], "limits": {"odd": {}}, "Tick": 1, "fleet_size": 9}))]
#[case::null_numbers(
    json!({"classes": [], "tick": null, "fleetSize": null, "limits": {"maxAttempts": null}})
)]
#[case::null_objects(json!({"classes": [], "limits": null, "invariants": null, "specifics": null}))]
#[case::objects_of_a_wrong_type(
    json!({"classes": [], "limits": 1, "invariants": "a", "specifics": [["any"]]})
)]
#[case::array_in_place_of_an_object(json!({"classes": [], "limits": [true, true, true, true, 9, 9, 9, 9]}))]
#[case::flags_of_a_wrong_type(json!({"classes": [], "limits": {"cancel": 1, "retryAfter": "true"}}))]
#[case::texts_of_a_wrong_type(
    json!({"classes": [], "registryMode": 1, "specifics": {"writeMarks": ["carried"]}})
)]
#[case::arrays_of_a_wrong_type(json!({"classes": [], "customers": {}, "specifics": {"stalenessBound": 3}}))]
#[case::unknown_texts(json!({"classes": [], "registryMode": "pull", "specifics": {"whenBehind": "silent"}}))]
#[case::unused_number(json!({"classes": [], "specifics": {"wait": "soon"}}))]
fn absent_and_invalid_fields_have_defaults(#[case] settings: Value) {
    assert_same(&decode(&settings).unwrap(), &default_settings());
}

/// Settings with a value for each field that differs from its default.
fn settings_with_every_field() -> Value {
    json!({
        "classes": [
            {"aim": 2, "aimStretch": 0.5, "deadline": 3, "dedupWindow": 4, "lateWorth": 0.25, "value": 5,
             "effect": "idempotency_key", "group": "all"},
            {"effect": "read_like"}, {}, {}, {},
        ],
        "customers": [{"quotaPerS": 7}, {}, "acme"],
        "overShareWorth": 0.75, "fleetSize": 8, "zone": 9, "tick": 0.5, "registryMode": "subscribe",
        "loadInfo": {"how": "on_reply", "fields": ["x1"]},
        "limits": {"probes": true, "cancel": true, "mayDuplicate": true, "maxAttempts": 10,
                   "retryAfter": true, "maxRetryAfter": 11, "connectTimeout": 12},
        "invariants": {"askWithin": 13, "drainGrace": 18, "coldFrom": 14, "warmUp": 15, "tipMultiple": 16,
                       "fall": 17, "goneIsAdvice": true},
        "specifics": {"consistency": ["write", "session", "bounded", "any", "strong"],
                      "stalenessBound": [1, 2, 3], "whenBehind": "wait", "wait": 18, "writeMarks": "carried"},
    })
}

#[test]
fn every_field_is_decoded() {
    let first = RequestClass {
        latency_objective: secs(2.0),
        latency_objective_factor: 0.5,
        deadline: secs(3.0),
        deduplication_window: secs(4.0),
        idempotency: Idempotency::IdempotencyKey,
        deduplication_scope: DeduplicationScope::AnyEndpoint,
        late_weight: 0.25,
        priority_weight: 5.0,
        consistency: Consistency::Write,
    };
    let second = RequestClass {
        idempotency: Idempotency::Idempotent,
        consistency: Consistency::Session,
        ..default_class()
    };
    let third = RequestClass { consistency: Consistency::BoundedStaleness(secs(3.0)), ..default_class() };
    let fifth = RequestClass { consistency: Consistency::Strong, ..default_class() };
    let expected = Settings {
        classes: vec![first, second, third, default_class(), fifth],
        tenant_quotas: vec![Some(7.0), None, None],
        over_quota_weight: 0.75,
        pooler_count: 8,
        zone: 9,
        shares_endpoint_clock: true,
        tick: secs(0.5),
        health_checks: true,
        cancellation: true,
        hedging: true,
        max_attempts: 10,
        send_retry_after: true,
        max_retry_after: secs(11.0),
        connect_timeout: secs(12.0),
        list_delivery: ListDelivery::SharedService,
        max_watch_gap: secs(13.0),
        drain_grace: secs(18.0),
        initial_capacity: 14.0,
        slow_start_window: secs(15.0),
        overload_limit: Some(16.0),
        overload_window: secs(17.0),
        removal_is_advisory: true,
        stale_reads: StaleReadHandling::Reject,
        session_tokens_carried: true,
    };
    assert_same(&decode(&settings_with_every_field()).unwrap(), &expected);
}

#[rstest]
#[case::empty(json!({}))]
#[case::null(json!(null))]
#[case::text(json!("reports"))]
#[case::array(json!([2, 2, 2, 2, 2, 2, "read_like", "all"]))]
#[case::null_numbers(json!({"aim": null, "deadline": null, "value": null}))]
#[case::texts_of_a_wrong_type(json!({"effect": 1, "group": {"all": null}}))]
#[case::unknown_texts(json!({"effect": "odd", "group": "odd"}))]
#[case::key_within_a_zone(json!({"effect": "idempotency_key", "group": "zone"}))]
fn absent_and_invalid_fields_of_a_class_have_defaults(#[case] class: Value) {
    assert_same(&decode_class(class).unwrap(), &default_class());
}

#[rstest]
#[case::fraction(json!(2.9), 2)]
#[case::negative(json!(-1), 0)]
#[case::too_large(json!(4294967296.0), u32::MAX)]
#[case::far_too_large(json!(1e300), u32::MAX)]
fn whole_numbers_are_truncated_and_saturate(#[case] number: Value, #[case] expected: u32) {
    let settings =
        json!({"classes": [], "fleetSize": number, "zone": number, "limits": {"maxAttempts": number}});
    let decoded = decode(&settings).unwrap();
    assert_eq!((decoded.pooler_count, decoded.zone, decoded.max_attempts), (expected, expected, expected));
}

#[test]
fn an_exponent_is_allowed_in_a_whole_number() {
    let settings = serde_json::from_str(r#"{"classes":[],"fleetSize":1e3,"zone":2E+0}"#).unwrap();
    let decoded = decode(&settings).unwrap();
    assert_eq!((decoded.pooler_count, decoded.zone), (1000, 2));
}

#[rstest]
#[case("tick", json!({"classes": [], "tick": "soon"}))]
#[case("fleetSize", json!({"classes": [], "fleetSize": true}))]
#[case("zone", json!({"classes": [], "zone": [0]}))]
#[case("overShareWorth", json!({"classes": [], "overShareWorth": {}}))]
#[case("maxAttempts", json!({"classes": [], "limits": {"maxAttempts": "6"}}))]
#[case("maxRetryAfter", json!({"classes": [], "limits": {"maxRetryAfter": false}}))]
#[case("connectTimeout", json!({"classes": [], "limits": {"connectTimeout": ""}}))]
#[case("askWithin", json!({"classes": [], "invariants": {"askWithin": "1"}}))]
#[case("coldFrom", json!({"classes": [], "invariants": {"coldFrom": "1"}}))]
#[case("warmUp", json!({"classes": [], "invariants": {"warmUp": "1"}}))]
#[case("tipMultiple", json!({"classes": [], "invariants": {"tipMultiple": "1"}}))]
#[case("fall", json!({"classes": [], "invariants": {"fall": "1"}}))]
#[case("wait", json!({"classes": [], "specifics": {"whenBehind": "wait", "wait": "1"}}))]
#[case("quotaPerS", json!({"classes": [], "customers": [{"quotaPerS": "1"}]}))]
fn a_number_of_a_wrong_type_is_named(#[case] field: &str, #[case] settings: Value) {
    assert_eq!(decode(&settings).unwrap_err(), format!("'{field}' is not a number"));
}

#[rstest]
fn a_number_of_a_wrong_type_in_a_class_is_named(
    #[values("aim", "aimStretch", "deadline", "dedupWindow", "lateWorth", "value")] field: &str,
    #[values(json!("1"), json!(true), json!([]), json!({}))] value: Value,
) {
    assert_eq!(decode_class(json!({ field: value })).unwrap_err(), format!("'{field}' is not a number"));
}

#[rstest]
#[case::no_object(json!(7), "'classes' is not an array")]
#[case::no_classes(json!({}), "'classes' is not an array")]
#[case::classes_of_a_wrong_type(json!({"classes": {}}), "'classes' is not an array")]
#[case::no_levels(json!({"classes": [{}]}), "'classes' and 'consistency' differ in length")]
#[case::too_many_levels(
    json!({"classes": [], "specifics": {"consistency": ["any"]}}),
    "'classes' and 'consistency' differ in length"
)]
fn classes_are_required(#[case] settings: Value, #[case] message: &str) {
    assert_eq!(decode(&settings).unwrap_err(), message);
}

#[rstest]
#[case::no_level(json!([null]), json!([1]), Consistency::Strong)]
#[case::unknown_level(json!(["odd"]), json!([1]), Consistency::Strong)]
#[case::bound(json!(["bounded"]), json!([1.5]), Consistency::BoundedStaleness(secs(1.5)))]
#[case::no_bound(json!(["bounded"]), json!([]), Consistency::BoundedStaleness(secs(0.0)))]
#[case::bound_of_a_wrong_type(json!(["bounded"]), json!(["1.5"]), Consistency::BoundedStaleness(secs(0.0)))]
fn a_consistency_level_is_decoded(
    #[case] levels: Value,
    #[case] bounds: Value,
    #[case] expected: Consistency,
) {
    let specifics = json!({"consistency": levels, "stalenessBound": bounds});
    let settings = decode(&json!({"classes": [{}], "specifics": specifics})).unwrap();
    assert_eq!(settings.classes[0].consistency, expected);
}

#[rstest]
#[case::no_load_info(json!(null), true)]
#[case::no_fields(json!({"how": "on_reply"}), true)]
#[case::fields_of_a_wrong_type(json!({"fields": "x9"}), true)]
#[case::empty_fields(json!({"fields": []}), false)]
#[case::log_position(json!({"fields": [1, "x0"]}), true)]
#[case::other_fields(json!({"fields": ["x2"]}), false)]
#[case::silent(json!({"how": "silent", "fields": ["x0"]}), false)]
fn health_checks_require_a_report_of_log_position_or_role(#[case] load_info: Value, #[case] expected: bool) {
    let settings = json!({"classes": [], "limits": {"probes": true}, "loadInfo": load_info});
    assert_eq!(decode(&settings).unwrap().health_checks, expected);
}

#[test]
fn the_last_of_duplicate_fields_counts() {
    let settings = serde_json::from_str(r#"{"classes":[],"tick":1,"tick":2}"#).unwrap();
    assert_eq!(decode(&settings).unwrap().tick, secs(2.0));
}

/// The policy does not use `specifics.wait`, but a value out of range is still an error.
#[test]
fn the_range_of_the_unused_wait_is_checked() {
    let settings = |wait: f64| json!({"classes": [], "specifics": {"whenBehind": "wait", "wait": wait}});
    assert_eq!(decode(&settings(-1.0)).unwrap_err(), "'specifics.wait' must be finite and non-negative");
    assert!(decode(&settings(0.5)).is_ok());
}

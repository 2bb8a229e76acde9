use rstest::rstest;
use serde_json::{json, Value};

use super::*;
use crate::interface::EndpointStatus;

fn parse(config: &Value) -> Result<Config, String> {
    Config::parse(&config.to_string()).map_err(|error| error.to_string())
}

/// Returns a configuration with only the required fields.
fn minimal_config() -> Value {
    json!({
        "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7f",
        "settings": {
            "classes": [{"name": "a"}],
            "specifics": {"consistency": ["any"]},
            "limits": {"maxAttempts": 1},
        },
    })
}

/// Returns the minimal configuration with a field replaced or added at this JSON pointer.
fn config_with(pointer: &str, value: Value) -> Value {
    let mut config = minimal_config();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    config.pointer_mut(parent).unwrap()[field] = value;
    config
}

#[test]
fn omitted_fields_have_defaults() {
    let config = parse(&minimal_config()).unwrap();
    assert_eq!((config.name.as_str(), config.seed), ("pg-pooler", 0x7f));
    assert_eq!(
        (config.max_descriptors, config.max_memory, config.keepalive_timeout),
        (1024, 192_000_000, 15.0)
    );
    assert_eq!(
        (config.classes.as_slice(), config.tenants.len(), config.zones.len()),
        (&["a".into()][..], 0, 0)
    );
    assert!(
        config.settings.list_delivery == ListDelivery::LocalAgent && !config.settings.shares_endpoint_clock
    );
    assert!(config.cached_list.endpoints.is_empty());
}

#[rstest]
#[case("/seed", json!(7), "'seed' is not a string")]
#[case("/seed", json!("g"), "'seed' is not a 64-bit hexadecimal number: 'g'")]
#[case("/listen", json!(null), "'listen' is not a string")]
#[case("/listen", json!("localhost"), "'listen' is not an IP address with a port: 'localhost'")]
#[case("/discovery", json!("1.2.3.4"), "'discovery' is not an IP address with a port: '1.2.3.4'")]
#[case("/limits", json!({"sockets": "1"}), "'sockets' is not a number")]
#[case("/limits", json!({"memory_mb": "1"}), "'memory_mb' is not a number")]
#[case("/settings/limits/keepalive", json!("1"), "'keepalive' is not a number")]
#[case("/settings/limits/keepalive", json!(0), "'keepalive' must be finite and greater than 0")]
#[case("/settings/zones", json!(["here", 1]), "an entry of 'zones' has no name")]
#[case("/settings/customers", json!([{}]), "an entry of 'customers' has no name")]
#[case("/settings/classes", json!([{}]), "an entry of 'classes' has no name")]
#[case("/settings/tick", json!("1"), "in 'settings': 'tick' is not a number")]
#[case("/settings/tick", json!(0), "in 'settings': 'tick' must be finite and greater than 0")]
#[case("/settings/classes", json!(1), "in 'settings': 'classes' is not an array")]
fn an_error_names_the_invalid_field(#[case] pointer: &str, #[case] value: Value, #[case] message: &str) {
    assert_eq!(parse(&config_with(pointer, value)).unwrap_err(), message);
}

#[test]
fn a_name_is_a_string_or_a_field_of_an_object() {
    let config = config_with("/settings/zones", json!(["here", {"name": "there", "odd": 1}]));
    assert_eq!(parse(&config).unwrap().zones, ["here", "there"]);
}

#[rstest]
#[case::absent(json!(null))]
#[case::a_wrong_type(json!([1]))]
#[case::no_index(json!({"endpoints": []}))]
#[case::no_endpoints(json!({"index": 41}))]
fn an_invalid_cached_list_counts_as_empty(#[case] known: Value) {
    let list = parse(&config_with("/known", known)).unwrap().cached_list;
    assert_eq!(
        (list.version, list.is_snapshot, list.is_complete, list.endpoints.len()),
        (0, false, false, 0)
    );
}

#[test]
fn a_cached_list_is_read() {
    let entry =
        json!({"name": "s-1", "address": "10.0.0.1:5", "zone": "here", "group": 2, "status": "SERVING"});
    let known = json!({"index": 41, "snapshot": true, "endpoints": [entry, {"name": "s-2"}]});
    let list = parse(&config_with("/known", known)).unwrap().cached_list;
    assert_eq!(
        (list.version, list.is_snapshot, list.is_complete, list.endpoints.len()),
        (41, true, false, 1)
    );
    assert_eq!((&*list.endpoints[0].name, list.endpoints[0].status), ("s-1", EndpointStatus::Serving));
}

#[rstest]
#[case::at_the_bound(29, true)]
#[case::too_deep(30, false)]
#[case::far_too_deep(1_000_000, false)]
fn the_depth_of_a_configuration_is_bounded(#[case] levels: usize, #[case] accepted: bool) {
    // The array `odd` is itself at the third level.
    let text = minimal_config().to_string();
    let odd = format!(r#""settings":{{"odd":[{}{}],"#, "[".repeat(levels), "]".repeat(levels));
    let text = text.replace(r#""settings":{"#, &odd);
    assert_eq!(Config::parse(&text).is_ok(), accepted);
}

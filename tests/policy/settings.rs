//! Validation of the settings.

use pg_pooler::settings::Settings;
use pg_pooler::Policy;

use crate::harness::{default_settings, secs};

/// Returns the field that the policy rejects after a change to valid settings.
fn rejected_field(change: fn(&mut Settings)) -> Option<String> {
    let mut settings = default_settings();
    change(&mut settings);
    Policy::new(settings, 1).err().map(|error| error.field)
}

#[test]
fn a_setting_out_of_range_is_rejected_with_its_name() {
    assert_eq!(rejected_field(|_| ()), None);
    type Change = fn(&mut Settings);
    let cases: [(Change, &str); 9] = [
        (|s| s.classes.clear(), "classes"),
        (|s| s.pooler_count = 0, "fleetSize"),
        (|s| s.max_attempts = 0, "limits.maxAttempts"),
        (|s| s.connect_timeout = secs(f64::NAN), "limits.connectTimeout"),
        (|s| s.slow_start_window = secs(f64::INFINITY), "invariants.warmUp"),
        (|s| s.initial_capacity = 0.0, "invariants.coldFrom"),
        (|s| s.overload_limit = Some(-1.0), "invariants.tipMultiple"),
        (|s| s.tenant_quotas = vec![Some(-1.0)], "customers[0].quotaPerS"),
        (|s| s.classes[2].late_weight = 1.5, "classes[2].lateWorth"),
    ];
    for (change, field) in cases {
        assert_eq!(rejected_field(change).as_deref(), Some(field));
    }
}

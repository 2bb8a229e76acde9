//! Validation of the settings: values out of range are rejected before a policy uses them.

use super::{Consistency, RequestClass, Settings};
use crate::time::Span;

/// A setting is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{field}' must be {requirement}")]
pub struct SettingsError {
    /// The path of the setting in the settings object of a configuration file.
    pub field: String,
    /// The range that the setting must be in.
    pub requirement: &'static str,
}

const POSITIVE_TIME: &str = "finite and greater than 0";
const NON_NEGATIVE: &str = "finite and non-negative";
const SHARE: &str = "between 0 and 1";

fn is_positive_time(time: Span) -> bool {
    time.as_secs().is_finite() && time.as_secs() > 0.0
}

fn is_non_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

fn is_non_negative_time(time: Span) -> bool {
    is_non_negative(time.as_secs())
}

fn is_share(share: f64) -> bool {
    (0.0..=1.0).contains(&share)
}

/// Checks the range of every setting that has one.
pub(crate) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    validate_general(settings)?;
    for (index, quota) in settings.tenant_quotas.iter().enumerate() {
        require(
            quota.is_none_or(|quota| quota >= 0.0),
            || format!("customers[{index}].quotaPerS"),
            "non-negative",
        )?;
    }
    for (index, class) in settings.classes.iter().enumerate() {
        validate_class(index, class)?;
    }
    Ok(())
}

fn validate_general(settings: &Settings) -> Result<(), SettingsError> {
    let s = settings;
    let initial_capacity_in_range = s.initial_capacity > 0.0 && is_share(s.initial_capacity);
    for (in_range, field, requirement) in [
        (!s.classes.is_empty(), "classes", "a non-empty array"),
        (s.pooler_count > 0, "fleetSize", "at least 1"),
        (s.max_attempts > 0, "limits.maxAttempts", "at least 1"),
        (is_positive_time(s.tick), "tick", POSITIVE_TIME),
        (is_positive_time(s.connect_timeout), "limits.connectTimeout", POSITIVE_TIME),
        (is_positive_time(s.max_watch_gap), "invariants.askWithin", POSITIVE_TIME),
        (is_positive_time(s.overload_window), "invariants.fall", POSITIVE_TIME),
        (is_non_negative_time(s.drain_grace), "invariants.drainGrace", NON_NEGATIVE),
        (is_non_negative_time(s.slow_start_window), "invariants.warmUp", NON_NEGATIVE),
        (is_non_negative_time(s.max_retry_after), "limits.maxRetryAfter", NON_NEGATIVE),
        (initial_capacity_in_range, "invariants.coldFrom", "greater than 0 and at most 1"),
        (s.overload_limit.is_none_or(|limit| limit > 0.0), "invariants.tipMultiple", "greater than 0"),
        (is_share(s.over_quota_weight), "overShareWorth", SHARE),
    ] {
        require(in_range, || field.to_string(), requirement)?;
    }
    Ok(())
}

fn validate_class(index: usize, class: &RequestClass) -> Result<(), SettingsError> {
    let staleness_in_range = match class.consistency {
        Consistency::BoundedStaleness(bound) => is_non_negative_time(bound),
        Consistency::Write | Consistency::Strong | Consistency::Session | Consistency::Eventual => true,
    };
    for (in_range, field, requirement) in [
        (is_positive_time(class.latency_objective), "aim", POSITIVE_TIME),
        (is_positive_time(class.deadline), "deadline", POSITIVE_TIME),
        (is_non_negative(class.latency_objective_factor), "aimStretch", NON_NEGATIVE),
        (is_non_negative_time(class.deduplication_window), "dedupWindow", NON_NEGATIVE),
        (is_share(class.late_weight), "lateWorth", SHARE),
        (is_non_negative(class.priority_weight), "value", NON_NEGATIVE),
    ] {
        require(in_range, || format!("classes[{index}].{field}"), requirement)?;
    }
    require(staleness_in_range, || format!("specifics.stalenessBound[{index}]"), NON_NEGATIVE)
}

/// Checks that a setting that the policy does not use is finite and non-negative.
pub(crate) fn require_non_negative(number: f64, field: &str) -> Result<(), SettingsError> {
    require(is_non_negative(number), || field.to_string(), NON_NEGATIVE)
}

fn require(
    in_range: bool,
    field: impl FnOnce() -> String,
    requirement: &'static str,
) -> Result<(), SettingsError> {
    if in_range {
        return Ok(());
    }
    Err(SettingsError { field: field(), requirement })
}

//! The JSON format of the settings object and its conversion to [`Settings`]. No other module reads its
//! fields, except for the names of classes, tenants and zones.
//!
//! Unknown fields are ignored, and absent fields have defaults. A field of the wrong type is treated as
//! absent, unless it must be a number: then the wrong type is an error.

use serde::Deserialize;
use serde_json::Value;

use crate::json::lenient::{self, NotANumber, Number};
use crate::json::{self, JsonError};
use crate::load_report::{LOG_POSITION_FIELD, ROLE_FIELD};
use crate::settings::{
    require_non_negative, Consistency, DeduplicationScope, Idempotency, ListDelivery, RequestClass, Settings,
    SettingsError, StaleReadHandling,
};
use crate::time::Span;

/// The settings object is invalid.
#[derive(Debug, thiserror::Error)]
pub enum DecodeSettingsError {
    /// The object is nested too deeply.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// A field that must be a number has another type.
    #[error(transparent)]
    NotANumber(#[from] NotANumber),
    /// A setting is out of range.
    #[error(transparent)]
    OutOfRange(#[from] SettingsError),
    /// The array of request classes is missing or has another type.
    #[error("'classes' is not an array")]
    MissingClasses,
    /// The number of consistency levels is not the number of request classes.
    #[error("'classes' and 'consistency' differ in length")]
    ConsistencyLengthMismatch,
}

/// Decodes the settings from the settings object. Most ranges are not checked here, but by
/// [`Policy::new`](crate::Policy::new).
pub fn decode_settings(settings: &Value) -> Result<Settings, DecodeSettingsError> {
    json::check_depth(settings)?;
    lenient::or_default::<RawSettings>(settings.clone()).decode()
}

/// The JSON format of the settings object.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(super) struct RawSettings {
    #[serde(deserialize_with = "lenient::list")]
    classes: Option<Vec<RawClass>>,
    #[serde(deserialize_with = "lenient::list")]
    customers: Option<Vec<RawCustomer>>,
    over_share_worth: Number,
    fleet_size: Number,
    zone: Number,
    tick: Number,
    #[serde(deserialize_with = "lenient::value")]
    load_info: RawLoadInfo,
    #[serde(deserialize_with = "lenient::value")]
    registry_mode: Option<String>,
    #[serde(deserialize_with = "lenient::value")]
    limits: RawLimits,
    #[serde(deserialize_with = "lenient::value")]
    invariants: RawInvariants,
    #[serde(deserialize_with = "lenient::value")]
    specifics: RawSpecifics,
}

/// An entry of `classes`.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct RawClass {
    aim: Number,
    aim_stretch: Number,
    deadline: Number,
    dedup_window: Number,
    late_worth: Number,
    value: Number,
    #[serde(deserialize_with = "lenient::value")]
    effect: Option<String>,
    #[serde(deserialize_with = "lenient::value")]
    group: Option<String>,
}

/// An entry of `customers`.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct RawCustomer {
    quota_per_s: Number,
}

/// The object `loadInfo`: how endpoints send load reports, and the fields of the reports.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct RawLoadInfo {
    #[serde(deserialize_with = "lenient::value")]
    how: Option<String>,
    #[serde(deserialize_with = "lenient::list")]
    fields: Option<Vec<Option<String>>>,
}

/// The object `limits`: what the pooler may do, such as retries and health checks, and how often or how long.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct RawLimits {
    #[serde(deserialize_with = "lenient::value")]
    probes: bool,
    #[serde(deserialize_with = "lenient::value")]
    cancel: bool,
    #[serde(deserialize_with = "lenient::value")]
    may_duplicate: bool,
    #[serde(deserialize_with = "lenient::value")]
    retry_after: bool,
    max_attempts: Number,
    max_retry_after: Number,
    connect_timeout: Number,
    keepalive: Number,
}

/// The object `invariants`: properties of the endpoints and of the endpoint list.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct RawInvariants {
    ask_within: Number,
    drain_grace: Number,
    cold_from: Number,
    warm_up: Number,
    tip_multiple: Number,
    fall: Number,
    #[serde(deserialize_with = "lenient::value")]
    gone_is_advice: bool,
}

/// The object `specifics`: properties of replicated databases.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct RawSpecifics {
    #[serde(deserialize_with = "lenient::list")]
    consistency: Option<Vec<Option<String>>>,
    #[serde(deserialize_with = "lenient::list")]
    staleness_bound: Option<Vec<Option<f64>>>,
    #[serde(deserialize_with = "lenient::value")]
    when_behind: Option<String>,
    wait: Number,
    #[serde(deserialize_with = "lenient::value")]
    write_marks: Option<String>,
}

impl RawSettings {
    /// Returns the time after which an endpoint closes an idle connection, in seconds.
    pub(super) fn keepalive_timeout(&self) -> Result<f64, NotANumber> {
        self.limits.keepalive.or("keepalive", 15.0)
    }

    /// Converts the object to settings. Ranges are not checked, except that of the unused field `wait`.
    pub(super) fn decode(&self) -> Result<Settings, DecodeSettingsError> {
        let (limits, invariants, specifics) = (&self.limits, &self.invariants, &self.specifics);
        Ok(Settings {
            classes: self.decode_classes()?,
            tenant_quotas: self.decode_tenant_quotas()?,
            over_quota_weight: self.over_share_worth.or("overShareWorth", 1.0)?,
            pooler_count: self.fleet_size.or("fleetSize", 1.0)? as u32,
            zone: self.zone.or("zone", 0.0)? as u32,
            shares_endpoint_clock: true,
            tick: span(self.tick, "tick", 0.005)?,
            health_checks: limits.probes && self.load_info.reports_replication_state(),
            cancellation: limits.cancel,
            hedging: limits.may_duplicate,
            max_attempts: limits.max_attempts.or("maxAttempts", 1.0)? as u32,
            send_retry_after: limits.retry_after,
            max_retry_after: span(limits.max_retry_after, "maxRetryAfter", 0.0)?,
            connect_timeout: span(limits.connect_timeout, "connectTimeout", 0.25)?,
            list_delivery: self.list_delivery(),
            max_watch_gap: span(invariants.ask_within, "askWithin", 10.0)?,
            drain_grace: span(invariants.drain_grace, "drainGrace", 2.0)?,
            initial_capacity: invariants.cold_from.or("coldFrom", 1.0)?,
            slow_start_window: span(invariants.warm_up, "warmUp", 0.0)?,
            overload_limit: optional(invariants.tip_multiple, "tipMultiple")?,
            overload_window: span(invariants.fall, "fall", 1.0)?,
            removal_is_advisory: invariants.gone_is_advice,
            stale_reads: specifics.decode_stale_reads()?,
            session_tokens_carried: specifics.write_marks.as_deref() == Some("carried"),
        })
    }

    fn list_delivery(&self) -> ListDelivery {
        match self.registry_mode.as_deref() {
            Some("subscribe") => ListDelivery::SharedService,
            _ => ListDelivery::Unrequested,
        }
    }

    /// Combines the classes with their consistency levels, which are in an array of their own.
    fn decode_classes(&self) -> Result<Vec<RequestClass>, DecodeSettingsError> {
        let classes = self.classes.as_deref().ok_or(DecodeSettingsError::MissingClasses)?;
        let levels = self.specifics.consistency.as_deref().unwrap_or_default();
        if classes.len() != levels.len() {
            return Err(DecodeSettingsError::ConsistencyLengthMismatch);
        }
        let pairs = classes.iter().zip(levels).enumerate();
        pairs
            .map(|(index, (class, level))| {
                let staleness_bound = self.specifics.staleness_bound_of(index);
                Ok(class.decode(decode_consistency(level.as_deref(), staleness_bound))?)
            })
            .collect()
    }

    fn decode_tenant_quotas(&self) -> Result<Vec<Option<f64>>, NotANumber> {
        let customers = self.customers.as_deref().unwrap_or_default();
        customers.iter().map(|customer| optional(customer.quota_per_s, "quotaPerS")).collect()
    }
}

impl RawClass {
    fn decode(&self, consistency: Consistency) -> Result<RequestClass, NotANumber> {
        Ok(RequestClass {
            latency_objective: span(self.aim, "aim", 1.0)?,
            latency_objective_factor: self.aim_stretch.or("aimStretch", 0.0)?,
            deadline: span(self.deadline, "deadline", 1.0)?,
            deduplication_window: span(self.dedup_window, "dedupWindow", 0.0)?,
            idempotency: self.decode_idempotency(),
            deduplication_scope: match self.group.as_deref() {
                Some("all") => DeduplicationScope::AnyEndpoint,
                _ => DeduplicationScope::Group,
            },
            late_weight: self.late_worth.or("lateWorth", 0.0)?,
            priority_weight: self.value.or("value", 1.0)?,
            consistency,
        })
    }

    fn decode_idempotency(&self) -> Idempotency {
        match (self.effect.as_deref(), self.group.as_deref()) {
            (Some("read_like"), _) => Idempotency::Idempotent,
            // The policy has no deduplication scope for a zone, so such a request must not be repeated.
            (Some("idempotency_key"), Some("zone")) => Idempotency::NonIdempotent,
            (Some("idempotency_key"), _) => Idempotency::IdempotencyKey,
            _ => Idempotency::NonIdempotent,
        }
    }
}

impl RawLoadInfo {
    /// Returns `true` if the answer to a health check contains a log position or a role. Without either,
    /// health checks are of no use.
    fn reports_replication_state(&self) -> bool {
        let has_either_field = |fields: &[Option<String>]| {
            fields.iter().any(|field| matches!(field.as_deref(), Some(LOG_POSITION_FIELD | ROLE_FIELD)))
        };
        self.how.as_deref() != Some("silent") && self.fields.as_deref().is_none_or(has_either_field)
    }
}

impl RawSpecifics {
    /// Returns the staleness bound of a class, or zero if it has none.
    fn staleness_bound_of(&self, class: usize) -> Span {
        let bounds = self.staleness_bound.as_deref().unwrap_or_default();
        Span::from_secs(bounds.get(class).copied().flatten().unwrap_or(0.0))
    }

    /// Decodes `whenBehind`. If it is `"wait"`, the field `wait` is checked: the time that an endpoint waits
    /// for recent data, which the policy does not use.
    fn decode_stale_reads(&self) -> Result<StaleReadHandling, DecodeSettingsError> {
        match self.when_behind.as_deref() {
            Some("refuse") => Ok(StaleReadHandling::Reject),
            Some("wait") => {
                let wait = self.wait.or("wait", 0.0)?;
                require_non_negative(wait, "specifics.wait")?;
                Ok(StaleReadHandling::Reject)
            }
            _ => Ok(StaleReadHandling::ServeStale),
        }
    }
}

/// Converts a number of seconds to a span; `default` is used if the number is absent.
fn span(number: Number, field: &'static str, default: f64) -> Result<Span, NotANumber> {
    Ok(Span::from_secs(number.or(field, default)?))
}

/// Returns the number, or `None` if it is absent or not finite.
fn optional(number: Number, field: &'static str) -> Result<Option<f64>, NotANumber> {
    Ok(Some(number.or(field, f64::INFINITY)?).filter(|number| number.is_finite()))
}

fn decode_consistency(level: Option<&str>, staleness_bound: Span) -> Consistency {
    match level {
        Some("write") => Consistency::Write,
        Some("session") => Consistency::Session,
        Some("bounded") => Consistency::BoundedStaleness(staleness_bound),
        Some("any") => Consistency::Eventual,
        _ => Consistency::Strong,
    }
}

#[cfg(test)]
mod tests;

//! Retries: whether another attempt of a request is allowed, and by when it must be answered.
//!
//! After an attempt has ended, these conditions are checked in order. If one does not hold, the request is
//! given up for the reason in the last column:
//!
//! | Condition | Function | Reason |
//! | --- | --- | --- |
//! | The primary did not reject the attempt as overloaded | [`charge_retry`] | `PrimaryOverloaded` |
//! | The attempt was provably not executed, or a token is left | [`charge_retry`] | `RetryBudgetExhausted` |
//! | Fewer attempts are in flight than 1, or 2 with hedging | [`next_attempt`] | `TooManyInFlight` |
//! | Fewer attempts were made than `max_attempts` | [`next_attempt`] | `AttemptsExhausted` |
//! | No attempt may have been executed, or a repeat is harmless | [`next_attempt`] | `UnsafeRepeat` |
//! | An answer would still be useful | [`check_dispatch`] | `AnswerTooLate` |
//! | The final answer is not due yet | [`check_dispatch`] | `DeadlineReached` |
//!
//! An attempt in flight counts as possibly executed. A repeat is harmless if the class is idempotent, or if
//! its requests carry an idempotency key and the deduplication window is still open. The window starts when
//! the first possibly executed attempt was sent. A repeat must be sent before the end of the window minus
//! the longer of `connect_timeout` and [`MAX_PROCESS_PAUSE`], and must be answered by the deadline or by the
//! end of the window minus [`MAX_PROCESS_PAUSE`], whichever is earlier. An answer is useful until the
//! deadline, or until the latency objective expires if the class gives late answers no weight.
//!
//! [`next_attempt`] is checked again whenever an attempt is sent. If one of the first two conditions does not
//! hold, a hedged request is given up even if its other attempt is still in flight; the remaining conditions
//! are only checked once no attempt is in flight. A withdrawn token is not returned if a later condition
//! forbids the retry. Hedging always costs a token, see [`replacement`].

mod budget;

use crate::interface::{AttemptDenied, GiveUpReason, Outcome};
use crate::policy::admission::LatencyEstimator;
use crate::policy::cluster::{Cluster, EndpointKey};
use crate::policy::overdue::OverdueCause;
use crate::policy::request::PendingRequest;
use crate::settings::{Consistency, DeduplicationScope, Idempotency, RequestClass, Settings};
use crate::time::{LocalInstant, Span};
pub(crate) use budget::RetryBudget;

/// How long the process may be suspended between a decision and the resulting network write.
const MAX_PROCESS_PAUSE: Span = Span::from_secs(0.15);
/// Number of attempts of a request, counted from the first, that may be replaced when overdue.
const MAX_REPLACED_ATTEMPTS: usize = 3;

/// Until when a possibly executed request may be repeated.
enum RepeatLimit {
    Always,
    Until(LocalInstant),
    Never,
}

/// Checks whether the attempts so far allow another one now. Returns the time by which it must be answered:
/// the deadline, or [`MAX_PROCESS_PAUSE`] before the end of the deduplication window if that is earlier.
pub(crate) fn next_attempt(
    request: &PendingRequest,
    cluster: &Cluster,
) -> Result<LocalInstant, AttemptDenied> {
    let settings = cluster.settings();
    if request.attempts_in_flight() >= settings.max_attempts_in_flight() {
        return Err(AttemptDenied::TooManyInFlight);
    }
    if request.attempts().len() >= settings.max_attempts as usize {
        return Err(AttemptDenied::AttemptsExhausted);
    }
    let Some(first_sent_at) = request.possibly_executed_since() else {
        return Ok(request.context().deadline);
    };
    match repeat_limit(cluster.class(request.class()), first_sent_at) {
        RepeatLimit::Always => Ok(request.context().deadline),
        RepeatLimit::Until(window_end) => answer_deadline_within_window(request, window_end, cluster),
        RepeatLimit::Never => Err(AttemptDenied::UnsafeRepeat),
    }
}

/// Checks whether a repeat is certain to reach its endpoint within the deduplication window, even if
/// connecting takes as long as allowed or the process is suspended. Returns the time by which it must be
/// answered.
fn answer_deadline_within_window(
    request: &PendingRequest,
    window_end: LocalInstant,
    cluster: &Cluster,
) -> Result<LocalInstant, AttemptDenied> {
    let reserve = cluster.settings().connect_timeout.max(MAX_PROCESS_PAUSE);
    if cluster.now() >= window_end - reserve {
        return Err(AttemptDenied::UnsafeRepeat);
    }
    Ok(request.context().deadline.min(window_end - MAX_PROCESS_PAUSE))
}

fn repeat_limit(class: &RequestClass, first_sent_at: LocalInstant) -> RepeatLimit {
    match class.idempotency {
        Idempotency::Idempotent => RepeatLimit::Always,
        Idempotency::IdempotencyKey => RepeatLimit::Until(first_sent_at + class.deduplication_window),
        Idempotency::NonIdempotent => RepeatLimit::Never,
    }
}

/// Checks whether a request without attempts in flight may be sent now. Returns the reason to give it up if
/// not.
pub(crate) fn check_dispatch(request: &PendingRequest, cluster: &Cluster) -> Result<(), GiveUpReason> {
    next_attempt(request, cluster).map_err(GiveUpReason::AttemptDenied)?;
    let useful_until = request.useful_until(cluster.class(request.class()));
    if cluster.now() >= useful_until {
        return Err(GiveUpReason::AnswerTooLate);
    }
    if is_final_answer_due(request, cluster) {
        return Err(GiveUpReason::DeadlineReached);
    }
    Ok(())
}

/// Returns `true` if the final answer is due: one tick before the deadline, after which no attempt could be
/// answered in time.
fn is_final_answer_due(request: &PendingRequest, cluster: &Cluster) -> bool {
    cluster.now() + cluster.settings().tick >= request.context().deadline
}

/// Withdraws a token from the retry budget for the retry after an attempt with this outcome. The retry is
/// free if the outcome proves that the attempt was not executed.
pub(crate) fn charge_retry(
    outcome: Outcome,
    is_at_primary: bool,
    budget: &mut RetryBudget,
) -> Result<(), GiveUpReason> {
    // A retry would find the primary just as overloaded, so no token is spent on one.
    if is_at_primary && outcome == Outcome::Overloaded {
        return Err(GiveUpReason::PrimaryOverloaded);
    }
    if !outcome.proves_not_executed() && !budget.withdraw() {
        return Err(GiveUpReason::RetryBudgetExhausted);
    }
    Ok(())
}

/// Returns `true` if a queued request may be sent as a search write (see [`crate::policy::primary::search`]).
/// It must be a write that was not executed; a replica rejects writes without executing them.
pub(crate) fn may_be_search_write(request: &PendingRequest, cluster: &Cluster) -> bool {
    let is_write = cluster.class(request.class()).is_write();
    let is_unexecuted = request.possibly_executed_since().is_none() && next_attempt(request, cluster).is_ok();
    is_write && is_unexecuted && !request.is_finished() && !is_final_answer_due(request, cluster)
}

/// How an overdue attempt is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Replacement {
    /// A second attempt is sent while the first stays in flight: a hedged request.
    Hedge,
    /// The attempt is cancelled, and its request is retried once the cancellation is reported.
    CancelAndRetry,
}

/// Decides how to replace an overdue attempt. Returns `None` if that is unsafe or not allowed, or if the
/// replacement would not be answered in time.
pub(crate) fn replacement(
    request: &PendingRequest,
    number: usize,
    cause: OverdueCause,
    class_latency: &LatencyEstimator,
    budget: &RetryBudget,
    cluster: &Cluster,
) -> Option<Replacement> {
    let class = cluster.class(request.class());
    let is_safe = class.idempotency == Idempotency::Idempotent || cause.is_answer_lost;
    let is_last = request.attempts().len() == number + 1 && number < MAX_REPLACED_ATTEMPTS;
    let is_in_time = has_time_to_replace(request, cause, class_latency.mean(), cluster);
    if !is_in_time || !is_safe || !is_last || !budget.has_token() {
        return None;
    }
    if allows_hedging(class, cluster.settings()) {
        return next_attempt(request, cluster).is_ok().then_some(Replacement::Hedge);
    }
    let may_cancel =
        cluster.settings().cancellation && (cause.is_endpoint_unresponsive || cause.is_answer_lost);
    // Without another endpoint, the slow attempt is the only one that may be answered.
    (may_cancel && has_endpoint_for_retry(request, cluster)).then_some(Replacement::CancelAndRetry)
}

/// Returns `true` if a retry could be sent: a read is sent to each endpoint once, and other requests to the
/// primary again.
fn has_endpoint_for_retry(request: &PendingRequest, cluster: &Cluster) -> bool {
    if cluster.class(request.class()).needs_primary() {
        return true;
    }
    let Some(group) = cluster.group(request.group()) else { return false };
    let is_untried = |endpoint: EndpointKey| !request.has_tried(endpoint);
    cluster.usable_endpoints(group).any(is_untried)
}

/// Returns `true` if a replacement could be answered in time. Only a lost answer is replaced after the
/// latency objective has expired, since any other answer may still arrive.
fn has_time_to_replace(
    request: &PendingRequest,
    cause: OverdueCause,
    mean_latency: Span,
    cluster: &Cluster,
) -> bool {
    let class = cluster.class(request.class());
    let useful_until = if cause.is_answer_lost {
        request.useful_until(class)
    } else {
        request.context().objective_expires_at
    };
    useful_until - cluster.now() > mean_latency
}

/// Returns `true` if requests of this class may be hedged. Strong reads are not, since only the primary
/// serves them.
fn allows_hedging(class: &RequestClass, settings: &Settings) -> bool {
    settings.hedging && class.consistency != Consistency::Strong
}

/// Returns `true` if the client may safely retry a request that the pooler has given up.
pub(crate) fn is_client_retry_safe(request: &PendingRequest, class: &RequestClass) -> bool {
    let is_harmless = match class.idempotency {
        Idempotency::Idempotent => true,
        // The client's retry may reach an endpoint outside the group, which does not know the group's keys.
        Idempotency::IdempotencyKey => class.deduplication_scope == DeduplicationScope::AnyEndpoint,
        Idempotency::NonIdempotent => false,
    };
    is_harmless || request.possibly_executed_since().is_none()
}

#[cfg(test)]
mod tests;

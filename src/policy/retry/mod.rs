//! Retries: whether a request may be sent once more, and until when.
//!
//! The rules, in the order in which they are checked after an attempt has ended, with the reason for each:
//!
//! | Rule | Function | Reason |
//! | --- | --- | --- |
//! | The primary has not rejected it as overloaded | [`charge_retry`] | `PrimaryOverloaded` |
//! | If the attempt may have run, the budget has a token | [`charge_retry`] | `NoRetryBudget` |
//! | Fewer attempts are in flight than 1, or 2 with hedging | [`next_attempt`] | `InFlight` |
//! | Fewer attempts were made than `max_attempts` | [`next_attempt`] | `NoneLeft` |
//! | No attempt may have run, or a repeat is harmless | [`next_attempt`] | `MayTakeEffectTwice` |
//! | An answer would still be of use | [`check_dispatch`] | `NoUsefulAnswer` |
//! | The final answer is not due | [`check_dispatch`] | `Deadline` |
//!
//! An attempt in flight counts as one that may have run. A repeat is harmless if the class is idempotent,
//! or if its requests carry an idempotency key and the deduplication window allows it: the window counts
//! from the first attempt that may have run. A repeat starts before the end of the window less the longer
//! of `connect_timeout` and [`MAX_PROCESS_PAUSE`], and must be answered by the earlier of the deadline and
//! the end of the window less [`MAX_PROCESS_PAUSE`]. An answer is of use until the deadline, or until the
//! latency objective if the class gives late answers no weight.
//!
//! [`next_attempt`] is checked once more where an attempt is sent. After the first two rules, a request
//! that has another attempt in flight (a hedged one) waits for that; by them it is given up all the same. A
//! token that was taken is not given back if a later rule forbids the retry. A hedged request always costs
//! a token, see [`replacement`].

mod budget;

use crate::interface::Outcome;
use crate::policy::admission::LatencyEstimator;
use crate::policy::cluster::Cluster;
use crate::policy::give_up::GiveUpReason;
use crate::policy::overdue::Delay;
use crate::policy::request::PendingRequest;
use crate::settings::{Consistency, DeduplicationScope, Idempotency, RequestClass, Settings};
use crate::time::{LocalInstant, Span};
pub(crate) use budget::RetryBudget;

/// How long the process may be suspended between a decision and the write that follows from it.
const MAX_PROCESS_PAUSE: Span = Span::from_secs(0.15);
/// Only this many attempts of a request are replaced when they take too long: the first ones.
const MAX_REPLACED_ATTEMPTS: usize = 3;

/// Why a request may not have another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoAttempt {
    /// As many attempts are in flight as the settings allow.
    InFlight,
    /// All attempts that the settings allow were made.
    NoneLeft,
    /// An earlier attempt may have been executed, and a repeat could take effect twice.
    MayTakeEffectTwice,
}

/// Until when a request may be repeated that may have been executed.
enum RepeatLimit {
    Always,
    Until(LocalInstant),
    Never,
}

/// Whether the attempts so far allow one more now. Returns the time by which that must be answered: the
/// deadline, or the end of the deduplication window if that is earlier.
pub(crate) fn next_attempt(request: &PendingRequest, cluster: &Cluster) -> Result<LocalInstant, NoAttempt> {
    let settings = cluster.settings();
    if request.attempts_in_flight() >= settings.max_attempts_in_flight() {
        return Err(NoAttempt::InFlight);
    }
    if request.attempts().len() >= settings.max_attempts as usize {
        return Err(NoAttempt::NoneLeft);
    }
    let Some(first_sent_at) = request.may_have_run_since() else { return Ok(request.context().deadline) };
    match repeat_limit(cluster.class(request.class()), first_sent_at) {
        RepeatLimit::Always => Ok(request.context().deadline),
        RepeatLimit::Until(window_end) => answer_due_within_window(request, window_end, cluster),
        RepeatLimit::Never => Err(NoAttempt::MayTakeEffectTwice),
    }
}

/// A repeat must reach its endpoint within the deduplication window: neither the time to connect nor a
/// pause of the process may delay it until later.
fn answer_due_within_window(
    request: &PendingRequest,
    window_end: LocalInstant,
    cluster: &Cluster,
) -> Result<LocalInstant, NoAttempt> {
    let reserve = cluster.settings().connect_timeout.max(MAX_PROCESS_PAUSE);
    if cluster.now() >= window_end - reserve {
        return Err(NoAttempt::MayTakeEffectTwice);
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

/// Whether a request without attempts in flight may be sent now, or why it has to be given up.
pub(crate) fn check_dispatch(request: &PendingRequest, cluster: &Cluster) -> Result<(), GiveUpReason> {
    next_attempt(request, cluster).map_err(GiveUpReason::NoAttempt)?;
    let useful_until = request.useful_until(cluster.class(request.class()));
    if cluster.now() >= useful_until {
        return Err(GiveUpReason::NoUsefulAnswer);
    }
    if is_answer_due(request, cluster) {
        return Err(GiveUpReason::Deadline);
    }
    Ok(())
}

/// The final answer is due a tick before the deadline: nothing that is sent then could be answered in time.
fn is_answer_due(request: &PendingRequest, cluster: &Cluster) -> bool {
    cluster.now() + cluster.settings().tick >= request.context().deadline
}

/// Takes the retry that follows an attempt with this outcome from the budget, if the attempt may have been
/// executed.
pub(crate) fn charge_retry(
    outcome: Outcome,
    is_at_primary: bool,
    budget: &mut RetryBudget,
) -> Result<(), GiveUpReason> {
    // This costs no token: a retry would find the primary as overloaded.
    if is_at_primary && outcome == Outcome::Overloaded {
        return Err(GiveUpReason::PrimaryOverloaded);
    }
    if !outcome.proves_not_executed() && !budget.withdraw() {
        return Err(GiveUpReason::NoRetryBudget);
    }
    Ok(())
}

/// Whether a queued request may be sent to find out which endpoint is the primary: a write that was not
/// executed, since an endpoint that is not the primary rejects it without executing it.
pub(crate) fn may_discover_primary(request: &PendingRequest, cluster: &Cluster) -> bool {
    let is_write = cluster.class(request.class()).is_write();
    let is_unexecuted = request.may_have_run_since().is_none() && next_attempt(request, cluster).is_ok();
    is_write && is_unexecuted && !request.is_finished() && !is_answer_due(request, cluster)
}

/// What replaces an attempt that takes too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Replacement {
    /// A second attempt beside it: a hedged request.
    Hedge,
    /// It is cancelled, which leads to a retry.
    CancelAndRetry,
}

/// How an attempt that takes too long is to be replaced, if that is safe, is allowed and could still be
/// answered in time.
pub(crate) fn replacement(
    request: &PendingRequest,
    number: usize,
    delay: Delay,
    class_latency: &LatencyEstimator,
    budget: &RetryBudget,
    cluster: &Cluster,
) -> Option<Replacement> {
    let class = cluster.class(request.class());
    let is_safe = class.idempotency == Idempotency::Idempotent || delay.is_answer_lost;
    let is_last = request.attempts().len() == number + 1 && number < MAX_REPLACED_ATTEMPTS;
    let is_in_time = has_time_to_replace(request, delay, class_latency.mean(), cluster);
    if !is_in_time || !is_safe || !is_last || !budget.has_retry() {
        return None;
    }
    if is_hedged(class, cluster.settings()) {
        return next_attempt(request, cluster).is_ok().then_some(Replacement::Hedge);
    }
    let may_cancel = cluster.settings().cancellation && (delay.is_endpoint_silent || delay.is_answer_lost);
    may_cancel.then_some(Replacement::CancelAndRetry)
}

/// Only a lost answer is worth replacing after the latency objective: any other may still come.
fn has_time_to_replace(
    request: &PendingRequest,
    delay: Delay,
    mean_latency: Span,
    cluster: &Cluster,
) -> bool {
    let class = cluster.class(request.class());
    let useful_until = if delay.is_answer_lost {
        request.useful_until(class)
    } else {
        request.context().objective_expires_at
    };
    useful_until - cluster.now() > mean_latency
}

/// Strong reads are not hedged: only the primary answers them.
fn is_hedged(class: &RequestClass, settings: &Settings) -> bool {
    settings.hedging && class.consistency != Consistency::Strong
}

/// Whether its client may send a request again that the pooler has given up.
pub(crate) fn may_client_retry(request: &PendingRequest, class: &RequestClass) -> bool {
    let is_harmless = match class.idempotency {
        Idempotency::Idempotent => true,
        // The client's retry may reach an endpoint that does not share the keys of this group.
        Idempotency::IdempotencyKey => class.deduplication_scope == DeduplicationScope::AnyEndpoint,
        Idempotency::NonIdempotent => false,
    };
    is_harmless || request.may_have_run_since().is_none()
}

#[cfg(test)]
mod tests;

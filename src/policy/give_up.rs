//! Giving up: why no further attempt of a request is made, and which final answer the request gets.
//!
//! A request is rejected if its client may safely retry it ([`retry::is_client_retry_safe`]), with a
//! Retry-After if the settings allow one. Otherwise it fails, since it may have been executed. The caller
//! states the reason, which the final answer carries to the operator's log.
//!
//! Some rejections bypass this module: those of queries that arrive while the process drains
//! (`net::shutdown`), of queries for which there is no memory, and of requests of a class that is not in the
//! settings.

use fastrand::Rng;

use crate::interface::{Action, GiveUpReason};
use crate::policy::cluster::Cluster;
use crate::policy::random::Jitter;
use crate::policy::request::PendingRequest;
use crate::policy::retry;
use crate::settings::RequestClass;
use crate::time::Span;

/// Mean Retry-After as a share of the latency objective: short enough for the retry to meet the objective.
const RETRY_AFTER_SHARE: f64 = 0.12;

/// Returns the final answer to a request that is given up: a rejection if the client may safely retry it,
/// otherwise a failure.
pub(crate) fn final_answer(
    request: &PendingRequest,
    reason: GiveUpReason,
    cluster: &Cluster,
    rng: &mut Rng,
) -> Action {
    let id = request.id().clone();
    let class = cluster.class(request.class());
    if !retry::is_client_retry_safe(request, class) {
        return Action::Fail { id, reason };
    }
    let settings = cluster.settings();
    let pause = Jitter::WIDE.apply(mean_retry_after(request, class, cluster), rng);
    let retry_after = settings.send_retry_after.then_some(pause.min(settings.max_retry_after));
    Action::Reject { id, retry_after, reason }
}

/// Returns the mean Retry-After: the deadline of the class if the latency objective has expired (or is about
/// to) and late answers have no weight; otherwise a short time.
fn mean_retry_after(request: &PendingRequest, class: &RequestClass, cluster: &Cluster) -> Span {
    let is_late = cluster.now() >= request.context().objective_expires_at - cluster.settings().tick;
    if is_late && class.late_weight == 0.0 {
        class.deadline
    } else {
        class.latency_objective * RETRY_AFTER_SHARE
    }
}

#[cfg(test)]
mod tests;

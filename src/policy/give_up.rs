//! Giving up: why no further attempt of a request is made, and which final answer the request gets.
//!
//! A request is rejected if its client may safely retry it ([`retry::is_client_retry_safe`]), with a
//! Retry-After if the settings allow one. Otherwise it fails, since it may have been executed. The caller
//! states the reason. The reason is neither logged nor counted, except that load shedding is logged.
//!
//! Some rejections bypass this module: those of queries that arrive while the process drains
//! (`net::shutdown`), of queries for which there is no memory, and of requests of a class that is not in the
//! settings.

use fastrand::Rng;

use crate::interface::Action;
use crate::policy::cluster::Cluster;
use crate::policy::random::Jitter;
use crate::policy::request::PendingRequest;
use crate::policy::retry::{self, AttemptDenied};
use crate::settings::RequestClass;
use crate::time::Span;

/// Mean Retry-After as a share of the latency objective: short enough for the retry to meet the objective.
const RETRY_AFTER_SHARE: f64 = 0.12;

/// The reason for giving up a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GiveUpReason {
    /// The request reached no endpoint within its queue time, for example because its group has no primary.
    QueueTimeout,
    /// The final answer is due, just before the deadline.
    DeadlineReached,
    /// The latency objective has expired, and the class gives late answers no weight.
    AnswerTooLate,
    /// Another attempt is not allowed.
    AttemptDenied(AttemptDenied),
    /// The last attempt may have been executed, and the retry budget has no token.
    RetryBudgetExhausted,
    /// The primary rejected the request as overloaded, and would reject a retry as well.
    PrimaryOverloaded,
    /// No usable endpoint is predicted to answer in time.
    NoCapacity,
    /// The group has no endpoint for the request: none is usable, all were tried, or the group is not known.
    NoEndpoint,
    /// The process may be killed before the request is answered, and other queries wait behind it on its
    /// connection.
    Shutdown,
}

impl GiveUpReason {
    /// Returns `true` if giving up for this reason is logged as load shedding.
    pub(crate) fn is_load_shedding(self) -> bool {
        matches!(self, GiveUpReason::NoCapacity | GiveUpReason::NoEndpoint)
    }
}

/// Returns the final answer to a request that is given up: a rejection if the client may safely retry it,
/// otherwise a failure.
pub(crate) fn final_answer(request: &PendingRequest, cluster: &Cluster, rng: &mut Rng) -> Action {
    let id = request.id().clone();
    let class = cluster.class(request.class());
    if !retry::is_client_retry_safe(request, class) {
        return Action::Fail { id };
    }
    let settings = cluster.settings();
    let pause = Jitter::WIDE.apply(mean_retry_after(request, class, cluster), rng);
    let retry_after = settings.send_retry_after.then_some(pause.min(settings.max_retry_after));
    Action::Reject { id, retry_after }
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

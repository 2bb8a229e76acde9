//! Giving up: why a request is not sent any further, and which final answer it gets.
//!
//! A request is rejected where a retry by its client is harmless ([`retry::may_client_retry`]), with a
//! Retry-After if the settings allow one. Otherwise it fails: it may have been executed. The reason is
//! named at each place that gives up; it stands in no log line and in no counter, but for load shedding.
//!
//! Rejected without this module: queries that arrive while the process drains (`net::shutdown`), queries for
//! which there is no memory, and requests of a class that the settings do not have.

use fastrand::Rng;

use crate::interface::Action;
use crate::policy::cluster::Cluster;
use crate::policy::random::Jitter;
use crate::policy::request::PendingRequest;
use crate::policy::retry::{self, NoAttempt};
use crate::settings::RequestClass;
use crate::time::Span;

/// Mean Retry-After as a share of the latency objective: short, so that the retry still falls within it.
const RETRY_AFTER_SHARE: f64 = 0.12;

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GiveUpReason {
    /// It has waited for its group's primary as long as it may.
    QueueTimeOver,
    /// Its deadline is reached.
    Deadline,
    /// An answer would come after the latency objective, and its class gives no weight to that.
    NoUsefulAnswer,
    /// It may not have another attempt.
    NoAttempt(NoAttempt),
    /// It may have been executed, and the retry budget is used up.
    NoRetryBudget,
    /// The primary has rejected it as overloaded, and would reject a retry too.
    PrimaryOverloaded,
    /// No endpoint is predicted to answer it in time.
    NoCapacity,
    /// No endpoint of its group may take it: none is usable, all were tried, or the group is not known.
    NoEndpoint,
    /// Other queries wait behind it on a connection, and the process may be killed before it is answered.
    Shutdown,
}

impl GiveUpReason {
    /// Whether the rejection counts as load shedding in the log.
    pub(crate) fn is_load_shedding(self) -> bool {
        matches!(self, GiveUpReason::NoCapacity | GiveUpReason::NoEndpoint)
    }
}

/// The final answer to a request that is given up.
pub(crate) fn final_answer(request: &PendingRequest, cluster: &Cluster, rng: &mut Rng) -> Action {
    let id = request.id().clone();
    let class = cluster.class(request.class());
    if !retry::may_client_retry(request, class) {
        return Action::Fail { id };
    }
    let settings = cluster.settings();
    let pause = Jitter::WIDE.apply(mean_retry_after(request, class, cluster), rng);
    let retry_after = settings.send_retry_after.then_some(pause.min(settings.max_retry_after));
    Action::Reject { id, retry_after }
}

/// The mean Retry-After: short while a retry can still be answered within the latency objective, and as long
/// as the deadline once no answer has any weight.
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

//! Detection of overdue attempts, and of whether the cause is an unresponsive endpoint or a lost answer.

use crate::policy::admission::Admission;
use crate::policy::cluster::{Cluster, EndpointKey};
use crate::policy::endpoint::evidence::LATE_DEVIATIONS;
use crate::policy::request::{AttemptInFlight, RequestKey, RequestTable};
use crate::settings::Idempotency;

/// Number of deviations above the mean latency of its class beyond which an attempt is overdue.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Share of the latency objective beyond which an attempt is overdue in any case, so that a retry can still
/// meet the objective.
const OVERDUE_OBJECTIVE_SHARE: f64 = 0.6;
/// Number of deviations above the mean latency beyond which an attempt shows that its endpoint is
/// unresponsive, if the endpoint has sent no response since the attempt was sent.
const UNRESPONSIVE_DEVIATIONS: f64 = 6.0;

/// Why an attempt is overdue. If neither applies, it is merely slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OverdueCause {
    /// The endpoint has sent no response since the attempt was sent.
    pub(crate) is_endpoint_unresponsive: bool,
    /// The answer is presumed lost: the endpoint has served an attempt that was sent much later.
    pub(crate) is_answer_lost: bool,
}

/// An overdue attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverdueAttempt {
    pub(crate) request: RequestKey,
    /// The index of the attempt among those of the request.
    pub(crate) number: usize,
    pub(crate) endpoint: EndpointKey,
    pub(crate) cause: OverdueCause,
    /// Number of late attempts at the endpoint, of those sent since its last response.
    pub(crate) late_attempts: u32,
}

/// Returns all overdue attempts, except those that were already counted as a failure of their endpoint.
pub(crate) fn overdue_attempts(
    requests: &RequestTable,
    admission: &Admission,
    cluster: &Cluster,
) -> Vec<OverdueAttempt> {
    let late_attempts = count_late_attempts(requests, admission, cluster);
    let overdue = requests.attempts_in_flight().filter_map(|in_flight| {
        let cause = overdue_cause(&in_flight, admission, cluster)?;
        let AttemptInFlight { key, number, attempt, .. } = in_flight;
        let endpoint = attempt.endpoint();
        let late_attempts = late_attempts[endpoint];
        Some(OverdueAttempt { request: key, number, endpoint, cause, late_attempts })
    });
    overdue.collect()
}

/// Returns the number of late attempts by endpoint key, of those sent since the endpoint's last response.
fn count_late_attempts(requests: &RequestTable, admission: &Admission, cluster: &Cluster) -> Vec<u32> {
    requests.count_by_endpoint(cluster.endpoints().slot_count(), |in_flight| {
        let AttemptInFlight { request, attempt, .. } = in_flight;
        let late_after = admission.class_latency(request.class()).upper_bound(LATE_DEVIATIONS);
        let is_late = cluster.now() - attempt.sent_at() > late_after;
        is_late && cluster.endpoint(attempt.endpoint()).has_not_responded_since(attempt.sent_at())
    })
}

fn overdue_cause(
    in_flight: &AttemptInFlight,
    admission: &Admission,
    cluster: &Cluster,
) -> Option<OverdueCause> {
    let AttemptInFlight { request, attempt, .. } = in_flight;
    let class = cluster.class(request.class());
    let latency = admission.class_latency(request.class());
    let age = cluster.now() - attempt.sent_at();
    let objective = class.latency_objective * OVERDUE_OBJECTIVE_SHARE;
    if attempt.is_counted_as_failure() || age <= latency.upper_bound(OVERDUE_DEVIATIONS).min(objective) {
        return None;
    }
    let unresponsive_after = latency.upper_bound(UNRESPONSIVE_DEVIATIONS);
    let endpoint = cluster.endpoint(attempt.endpoint());
    // Only for writes: the latency of reads varies too much to tell a lost answer from a slow one.
    let may_be_lost = class.idempotency == Idempotency::IdempotencyKey;
    let newest_served_sent_at = endpoint.newest_served_attempt_sent_at();
    let is_overtaken =
        newest_served_sent_at.is_some_and(|sent_at| sent_at - attempt.sent_at() > unresponsive_after);
    Some(OverdueCause {
        is_endpoint_unresponsive: age > unresponsive_after
            && endpoint.has_not_responded_since(attempt.sent_at()),
        is_answer_lost: age > unresponsive_after && may_be_lost && is_overtaken,
    })
}

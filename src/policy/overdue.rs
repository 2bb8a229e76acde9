//! Attempts that take too long: which endpoints are silent, and which answers are lost.

use crate::policy::admission::Admission;
use crate::policy::cluster::{Cluster, EndpointKey};
use crate::policy::endpoint::evidence::LATE_DEVIATIONS;
use crate::policy::request::{AttemptInFlight, RequestKey, RequestTable};
use crate::settings::Idempotency;

/// An attempt is overdue at this many deviations above the mean latency ...
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// ... or at this share of its latency objective, which leaves time for a retry within it.
const OVERDUE_OBJECTIVE_SHARE: f64 = 0.6;
/// An endpoint counts as silent if it has answered nothing since an attempt that is this late.
const SILENT_DEVIATIONS: f64 = 6.0;

/// What an attempt that takes too long shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Delay {
    /// The endpoint has answered nothing since the attempt was sent.
    pub(crate) is_endpoint_silent: bool,
    /// The endpoint has long answered later attempts: this answer is lost.
    pub(crate) is_answer_lost: bool,
}

/// An attempt that takes too long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverdueAttempt {
    /// Its request.
    pub(crate) request: RequestKey,
    /// Its number among the attempts of the request.
    pub(crate) number: usize,
    /// Where it was sent.
    pub(crate) endpoint: EndpointKey,
    /// What the delay shows.
    pub(crate) delay: Delay,
    /// How many attempts at its endpoint are late of those sent since its last answer.
    pub(crate) late_attempts: u32,
}

/// All attempts that take too long, unless the silence of their endpoint has been counted.
pub(crate) fn overdue_attempts(
    requests: &RequestTable,
    admission: &Admission,
    cluster: &Cluster,
) -> Vec<OverdueAttempt> {
    let late_attempts = count_late_attempts(requests, admission, cluster);
    let overdue = requests.attempts_in_flight().filter_map(|in_flight| {
        let delay = delay_of(&in_flight, admission, cluster)?;
        let AttemptInFlight { key, number, attempt, .. } = in_flight;
        let endpoint = attempt.endpoint();
        let late_attempts = late_attempts[endpoint];
        Some(OverdueAttempt { request: key, number, endpoint, delay, late_attempts })
    });
    overdue.collect()
}

/// For each endpoint, how many attempts are late of those sent since its last answer.
fn count_late_attempts(requests: &RequestTable, admission: &Admission, cluster: &Cluster) -> Vec<u32> {
    requests.count_by_endpoint(cluster.endpoints().slot_count(), |in_flight| {
        let AttemptInFlight { request, attempt, .. } = in_flight;
        let late_after = admission.class_latency(request.class()).upper_bound(LATE_DEVIATIONS);
        let is_late = cluster.now() - attempt.sent_at() > late_after;
        is_late && cluster.endpoint(attempt.endpoint()).is_silent_since(attempt.sent_at())
    })
}

fn delay_of(in_flight: &AttemptInFlight, admission: &Admission, cluster: &Cluster) -> Option<Delay> {
    let AttemptInFlight { request, attempt, .. } = in_flight;
    let class = cluster.class(request.class());
    let latency = admission.class_latency(request.class());
    let age = cluster.now() - attempt.sent_at();
    let objective = class.latency_objective * OVERDUE_OBJECTIVE_SHARE;
    if attempt.is_silence_counted() || age <= latency.upper_bound(OVERDUE_DEVIATIONS).min(objective) {
        return None;
    }
    let silent_after = latency.upper_bound(SILENT_DEVIATIONS);
    let endpoint = cluster.endpoint(attempt.endpoint());
    // Only writes: the latency of reads varies too much to tell a lost answer from a slow one.
    let may_be_lost = class.idempotency == Idempotency::IdempotencyKey;
    let served_sent_at = endpoint.latest_served_sent_at();
    let is_passed_over = served_sent_at.is_some_and(|sent_at| sent_at - attempt.sent_at() > silent_after);
    Some(Delay {
        is_endpoint_silent: age > silent_after && endpoint.is_silent_since(attempt.sent_at()),
        is_answer_lost: age > silent_after && may_be_lost && is_passed_over,
    })
}

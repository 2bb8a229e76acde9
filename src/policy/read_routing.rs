//! Routing of reads that a replica may answer.
//!
//! Each of the following steps selects at most one endpoint. The read is sent to the first selected endpoint
//! that passes admission control (see [`Admission::admits`]):
//!
//! 1. a fresh replica, preferably in the pooler's zone; in that zone, a replica that may be fresh also
//!    qualifies if it has no other request of this pooler in flight;
//! 2. a replica that may be fresh, if there is no candidate for step 1;
//! 3. the primary, if it has spare capacity;
//! 4. an ejected endpoint, as a last resort.
//!
//! An endpoint that was already tried for this request is not tried again. An ejected endpoint whose trial is
//! due counts as healthy in the first three steps.
//!
//! If no endpoint is selected, the read is given up if no usable endpoint is left to try
//! ([`GiveUpReason::NoEndpoint`]) or if admission control refused one ([`GiveUpReason::NoCapacity`]); a
//! refusal in step 2 does not count. Otherwise the read waits in the queue of its group.

use fastrand::Rng;

use crate::interface::GiveUpReason;
use crate::policy::admission::Admission;
use crate::policy::cluster::{Cluster, EndpointKey};
use crate::policy::endpoint::outlier_detection::MAX_EJECTION_TIME;
use crate::policy::freshness::{self, Freshness, RequiredPosition};
use crate::policy::random::TwoChoices;
use crate::policy::request::PendingRequest;
use crate::policy::slow_start::SlowStart;
use crate::policy::{RouteError, RouteResult};
use crate::settings::Consistency;
use crate::time::LocalInstant;

/// A read spills over to another zone if the load of the local replica is more than this multiple of the load
/// of the least loaded remote replica, and exceeds it by at least [`SPILLOVER_MIN_DIFFERENCE`].
const SPILLOVER_LOAD_FACTOR: u32 = 2;
/// Minimum difference in requests in flight for a spillover.
const SPILLOVER_MIN_DIFFERENCE: u32 = 3;
/// Factor of the latency objective in admission control, for reads on a replica.
const REPLICA_OBJECTIVE_FACTOR: f64 = 1.0;
/// Factor of the latency objective in admission control, for reads on the primary, which must keep capacity
/// for writes and strong reads.
const PRIMARY_OBJECTIVE_FACTOR: f64 = 0.35;
/// Maximum number of lagging replicas that are considered for a long read, because a long read delays the
/// replication of each replica that it runs on.
const MAX_CANDIDATES_FOR_LONG_READ: usize = 2;

/// Result of one routing step.
enum StepResult {
    /// The read is sent to this endpoint.
    Selected(EndpointKey),
    /// The candidate did not pass admission control.
    NotAdmitted,
    /// No endpoint qualifies for the step.
    NoCandidate,
}

/// Routes one read.
pub(crate) struct ReadRouter<'a> {
    request: &'a PendingRequest,
    cluster: &'a Cluster,
    admission: &'a Admission,
    slow_start: &'a SlowStart,
    required: RequiredPosition,
    /// See [`SlowStart::read_share`].
    slow_start_share: f64,
    choices: TwoChoices,
    primary: Option<EndpointKey>,
    /// Usable endpoints of the group that were not tried for this request, including the primary.
    candidates: Vec<EndpointKey>,
    /// The candidates of step 1.
    preferred_replicas: Vec<EndpointKey>,
}

impl<'a> ReadRouter<'a> {
    /// Prepares the routing of a read. Returns `None` if its group is unknown.
    pub(crate) fn new(
        request: &'a PendingRequest,
        cluster: &'a Cluster,
        admission: &'a Admission,
        slow_start: &'a SlowStart,
        rng: &mut Rng,
    ) -> Option<ReadRouter<'a>> {
        let choices = TwoChoices::draw(rng);
        let group = cluster.group(request.group())?;
        let consistency = cluster.class(request.class()).consistency;
        let is_untried = |endpoint: &EndpointKey| !request.has_tried(*endpoint);
        let mut router = ReadRouter {
            request,
            cluster,
            admission,
            slow_start,
            required: RequiredPosition::for_consistency(
                consistency,
                request.context().session_token,
                cluster,
            ),
            slow_start_share: slow_start.read_share(group, cluster),
            choices,
            primary: group.primary(),
            candidates: cluster.usable_endpoints(group).filter(is_untried).collect(),
            preferred_replicas: Vec::new(),
        };
        router.preferred_replicas =
            router.replicas().filter(|replica| router.is_preferred(*replica)).collect();
        Some(router)
    }

    /// Returns the endpoint that gets the read, or the reason why it cannot be sent now.
    pub(crate) fn route(&self) -> RouteResult {
        let steps = [
            ReadRouter::preferred_replica,
            ReadRouter::possibly_fresh_replica,
            ReadRouter::primary_with_spare_capacity,
            ReadRouter::ejected_endpoint,
        ];
        let mut error = if self.candidates.is_empty() {
            RouteError::GiveUp(GiveUpReason::NoEndpoint)
        } else {
            RouteError::Queue
        };
        for step in steps {
            match step(self) {
                StepResult::Selected(endpoint) => return Ok(endpoint),
                StepResult::NotAdmitted => error = RouteError::GiveUp(GiveUpReason::NoCapacity),
                StepResult::NoCandidate => {}
            }
        }
        Err(error)
    }

    fn preferred_replica(&self) -> StepResult {
        match self.choose_preferred_replica() {
            Some(replica) => self.check_admission(replica, REPLICA_OBJECTIVE_FACTOR),
            None => StepResult::NoCandidate,
        }
    }

    /// Selects a replica that may be fresh. If it is not, it rejects the read without executing it. A refusal
    /// by admission control counts as [`StepResult::NoCandidate`].
    fn possibly_fresh_replica(&self) -> StepResult {
        if !self.preferred_replicas.is_empty() {
            return StepResult::NoCandidate;
        }
        let is_candidate = |replica: &EndpointKey| {
            self.freshness(*replica) != Freshness::Stale && self.is_available(*replica)
        };
        let candidates = self.replicas().filter(is_candidate);
        let cost = |replica: &EndpointKey| (!self.cluster.is_local(*replica), self.cluster.load(*replica));
        let Some(replica) = candidates.min_by_key(cost) else { return StepResult::NoCandidate };
        match self.check_admission(replica, REPLICA_OBJECTIVE_FACTOR) {
            StepResult::NotAdmitted => StepResult::NoCandidate,
            result => result,
        }
    }

    fn primary_with_spare_capacity(&self) -> StepResult {
        let is_usable =
            |primary: &EndpointKey| self.candidates.contains(primary) && self.is_available(*primary);
        match self.primary.filter(is_usable) {
            Some(primary) => self.check_admission(primary, PRIMARY_OBJECTIVE_FACTOR),
            None => StepResult::NoCandidate,
        }
    }

    /// Selects an ejected endpoint as a last resort: one that still answers some requests is better than a
    /// rejection.
    fn ejected_endpoint(&self) -> StepResult {
        let ejected = self.candidates.iter().copied().filter(|endpoint| self.is_usable_ejected(*endpoint));
        let cost = |endpoint: &EndpointKey| {
            let latency = self.admission.predicted_latency(*endpoint, self.request.class(), self.cluster);
            self.ejection_end(*endpoint) + latency
        };
        match ejected.min_by_key(cost) {
            Some(endpoint) => self.check_admission(endpoint, REPLICA_OBJECTIVE_FACTOR),
            None => StepResult::NoCandidate,
        }
    }

    fn check_admission(&self, endpoint: EndpointKey, objective_factor: f64) -> StepResult {
        if self.admission.admits(self.request, endpoint, objective_factor, self.cluster) {
            StepResult::Selected(endpoint)
        } else {
            StepResult::NotAdmitted
        }
    }

    fn replicas(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.candidates.iter().copied().filter(|endpoint| Some(*endpoint) != self.primary)
    }

    /// Returns `true` if the health and the slow start of an endpoint allow the read.
    fn is_available(&self, endpoint: EndpointKey) -> bool {
        let is_healthy = self.cluster.is_healthy(endpoint) || self.cluster.is_trial_due(endpoint);
        is_healthy && self.slow_start_admits(endpoint)
    }

    fn slow_start_admits(&self, endpoint: EndpointKey) -> bool {
        self.slow_start.admits_read(self.request, endpoint, self.slow_start_share, self.cluster)
    }

    fn freshness(&self, endpoint: EndpointKey) -> Freshness {
        freshness::freshness(self.cluster.endpoint(endpoint), self.required, self.cluster)
    }

    /// Returns `true` if a replica is a candidate of step 1. A local replica that may be fresh gets one read
    /// at a time, so that its log position becomes known.
    fn is_preferred(&self, replica: EndpointKey) -> bool {
        let is_idle = self.cluster.endpoint(replica).load().in_flight() == 0;
        let qualifies = match self.freshness(replica) {
            Freshness::Fresh => true,
            Freshness::PossiblyFresh => self.cluster.is_local(replica) && is_idle,
            Freshness::Stale => false,
        };
        qualifies && self.is_available(replica)
    }

    fn may_be_behind(&self, replica: EndpointKey) -> bool {
        freshness::may_be_behind(self.cluster.endpoint(replica), self.cluster)
    }

    fn choose_preferred_replica(&self) -> Option<EndpointKey> {
        if self.is_long_read() && self.preferred_replicas.iter().any(|replica| self.may_be_behind(*replica)) {
            return Some(self.choose_for_long_read());
        }
        let replicas = self.preferred_replicas.iter().copied();
        let (local, remote): (Vec<_>, Vec<_>) = replicas.partition(|replica| self.cluster.is_local(*replica));
        let Some(local_choice) = self.choose_less_loaded(&local) else {
            return self.choose_less_loaded(&remote);
        };
        let least_loaded = remote.into_iter().min_by_key(|replica| self.cluster.load(*replica));
        let remote_choice = least_loaded.filter(|remote| self.should_spill_over(local_choice, *remote));
        Some(remote_choice.unwrap_or(local_choice))
    }

    /// Returns `true` if the load of an endpoint is so much higher than that of `other` that a read should be
    /// sent to `other` instead.
    fn should_spill_over(&self, endpoint: EndpointKey, other: EndpointKey) -> bool {
        let load = self.cluster.load(endpoint);
        let other_load = self.cluster.load(other);
        load > SPILLOVER_LOAD_FACTOR * other_load && load >= other_load + SPILLOVER_MIN_DIFFERENCE
    }

    /// Returns the less loaded of two random replicas. On a tie, a read with eventual consistency goes to a
    /// lagging replica, which leaves the fresher one to reads with stricter requirements.
    fn choose_less_loaded(&self, replicas: &[EndpointKey]) -> Option<EndpointKey> {
        let pair = self.choices.indices(replicas.len())?.map(|index| replicas[index]);
        let cost = |replica: &EndpointKey| {
            (self.cluster.load(*replica), self.is_eventual() && !self.may_be_behind(*replica))
        };
        pair.into_iter().min_by_key(cost)
    }

    fn is_eventual(&self) -> bool {
        self.cluster.class(self.request.class()).consistency == Consistency::Eventual
    }

    /// Returns `true` if the read has eventual consistency and its class takes so long that it can block the
    /// replication of a replica.
    fn is_long_read(&self) -> bool {
        let mean_latency = self.admission.class_latency(self.request.class()).mean();
        self.is_eventual() && mean_latency > self.cluster.shortest_staleness_bound()
    }

    /// Returns the replica for a long read. Long reads are concentrated on the replica with the largest lag,
    /// and spill over from a busy replica to the one with the next largest lag, because a replica without
    /// load may be catching up.
    fn choose_for_long_read(&self) -> EndpointKey {
        let mut by_position = self.preferred_replicas.clone();
        by_position.sort_by_key(|replica| self.cluster.endpoint(*replica).replication().log_position());
        let is_busy = |pair: &[EndpointKey]| self.should_spill_over(pair[0], pair[1]);
        let first_not_busy = by_position.windows(2).position(|pair| !is_busy(pair));
        let candidates = &by_position[first_not_busy.unwrap_or(by_position.len() - 1)..];
        let is_admitted = |replica: &&EndpointKey| {
            matches!(self.check_admission(**replica, REPLICA_OBJECTIVE_FACTOR), StepResult::Selected(_))
        };
        let chosen = candidates.iter().take(MAX_CANDIDATES_FOR_LONG_READ).find(is_admitted);
        *chosen.unwrap_or(&candidates[0])
    }

    /// Returns `true` if an ejected endpoint may get the read. It qualifies if it is a replica that still
    /// answers other requests, or if no candidate is healthy. A stale replica does not qualify.
    fn is_usable_ejected(&self, endpoint: EndpointKey) -> bool {
        if self.cluster.is_healthy(endpoint) {
            return false;
        }
        let is_primary = Some(endpoint) == self.primary;
        let is_fresh_enough = is_primary || self.freshness(endpoint) != Freshness::Stale;
        let may_answer =
            self.may_be_tried_early(endpoint) || !is_primary && self.has_answered_recently(endpoint);
        is_fresh_enough && may_answer && self.slow_start_admits(endpoint)
    }

    /// Returns `true` if an endpoint has answered a request within the duration of the longest ejection, and
    /// since its last connection failure.
    fn has_answered_recently(&self, endpoint: EndpointKey) -> bool {
        let longest_ejection = self.cluster.settings().connect_timeout * MAX_EJECTION_TIME;
        let state = self.cluster.endpoint(endpoint);
        let since = Some(self.cluster.now() - longest_ejection).max(state.health().connect_failed_at());
        state.last_response_at() > since
    }

    /// Returns `true` if an ejected endpoint may be tried before its ejection ends: no candidate is healthy,
    /// no trial is in flight, and no connection to the endpoint has just failed.
    fn may_be_tried_early(&self, endpoint: EndpointKey) -> bool {
        let none_is_healthy = !self.candidates.iter().any(|other| self.cluster.is_healthy(*other));
        let health = self.cluster.endpoint(endpoint).health();
        let connect_timeout = self.cluster.settings().connect_timeout;
        let has_just_failed = health
            .connect_failed_at()
            .is_some_and(|failed_at| self.cluster.now() - failed_at <= connect_timeout);
        none_is_healthy && !health.is_trial_in_flight() && !has_just_failed
    }

    fn ejection_end(&self, endpoint: EndpointKey) -> LocalInstant {
        let until = self.cluster.endpoint(endpoint).health().ejected_until();
        until.map_or(self.cluster.now(), |until| until.max(self.cluster.now()))
    }
}

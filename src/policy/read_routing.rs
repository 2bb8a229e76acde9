//! Routing of reads: which endpoint gets a read that a replica may answer.
//!
//! Each of these steps chooses one endpoint at most; the read goes to the first one that admission control
//! allows (see [`Admission::admits`]):
//!
//! 1. a replica that is fresh, first in the pooler's zone; in that zone also one that may be fresh and has no
//!    other request of this pooler;
//! 2. a replica that may be fresh, if there is none for step 1;
//! 3. the primary, as far as it has capacity to spare;
//! 4. an ejected endpoint, as the last resort.
//!
//! An endpoint that was tried before is not tried again. An ejected endpoint whose trial is due counts as
//! healthy in the first three steps.
//!
//! If none is chosen, the read is given up where there is no endpoint at all ([`GiveUpReason::NoEndpoint`])
//! or admission control refused one ([`GiveUpReason::NoCapacity`]); a refusal in step 2 does not count.
//! Otherwise the read waits in the queue of its group.

use fastrand::Rng;

use crate::policy::admission::Admission;
use crate::policy::cluster::{Cluster, EndpointKey};
use crate::policy::endpoint::outlier_detection::MAX_EJECTION_TIME;
use crate::policy::freshness::{self, Freshness, RequiredPosition};
use crate::policy::give_up::GiveUpReason;
use crate::policy::random::TwoChoices;
use crate::policy::request::PendingRequest;
use crate::policy::slow_start::SlowStart;
use crate::policy::{NoRoute, Route};
use crate::settings::Consistency;
use crate::time::LocalInstant;

/// A read leaves its zone at more than this multiple of the load of the least loaded remote replica ...
const EXIT_MULTIPLE: u32 = 2;
/// ... and at least this many more requests in flight.
const EXIT_MARGIN: u32 = 3;
/// Part of the latency objective that admission control counts with for reads on a replica ...
const REPLICA_OBJECTIVE_FACTOR: f64 = 1.0;
/// ... and on the primary, which must keep capacity for writes and strong reads.
const PRIMARY_OBJECTIVE_FACTOR: f64 = 0.35;
/// So many replicas that are behind are considered for a long read: it would delay the log of each of them.
const MAX_CANDIDATES_FOR_LONG_READ: usize = 2;

/// What one step has found.
enum Step {
    /// This endpoint gets the read.
    Chosen(EndpointKey),
    /// There is an endpoint, but it cannot answer in time.
    NotAdmitted,
    /// There is no endpoint of this kind.
    NoCandidate,
}

/// One read that is to be routed, and what is known for it.
pub(crate) struct ReadRouter<'a> {
    request: &'a PendingRequest,
    cluster: &'a Cluster,
    admission: &'a Admission,
    slow_start: &'a SlowStart,
    required: RequiredPosition,
    /// Share of the group's reads for an endpoint in slow start.
    slow_start_share: f64,
    choices: TwoChoices,
    primary: Option<EndpointKey>,
    /// Usable endpoints of its group that it has not tried; the primary among them.
    candidates: Vec<EndpointKey>,
    /// The replicas among them for step 1.
    preferred_replicas: Vec<EndpointKey>,
}

impl<'a> ReadRouter<'a> {
    /// Looks at the group of a read; none if it is not known.
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
        let is_new = |endpoint: &EndpointKey| !request.has_tried(*endpoint);
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
            slow_start_share: slow_start.share_of_reads(group, cluster),
            choices,
            primary: group.primary(),
            candidates: cluster.usable_endpoints(group).filter(is_new).collect(),
            preferred_replicas: Vec::new(),
        };
        router.preferred_replicas =
            router.replicas().filter(|replica| router.is_preferred(*replica)).collect();
        Some(router)
    }

    /// The endpoint that gets the read, or why none does now.
    pub(crate) fn route(&self) -> Route {
        let steps = [
            ReadRouter::preferred_replica,
            ReadRouter::possibly_fresh_replica,
            ReadRouter::primary_with_spare_capacity,
            ReadRouter::ejected_endpoint,
        ];
        let mut no_route = if self.candidates.is_empty() {
            NoRoute::GiveUp(GiveUpReason::NoEndpoint)
        } else {
            NoRoute::Queue
        };
        for step in steps {
            match step(self) {
                Step::Chosen(endpoint) => return Ok(endpoint),
                Step::NotAdmitted => no_route = NoRoute::GiveUp(GiveUpReason::NoCapacity),
                Step::NoCandidate => {}
            }
        }
        Err(no_route)
    }

    fn preferred_replica(&self) -> Step {
        match self.choose_preferred_replica() {
            Some(replica) => self.admit(replica, REPLICA_OBJECTIVE_FACTOR),
            None => Step::NoCandidate,
        }
    }

    /// A replica that may be fresh: if it is not, it rejects the read without executing it. One that cannot
    /// answer in time counts as none.
    fn possibly_fresh_replica(&self) -> Step {
        if !self.preferred_replicas.is_empty() {
            return Step::NoCandidate;
        }
        let may_take_it = |replica: &EndpointKey| {
            self.freshness(*replica) != Freshness::Stale && self.is_available(*replica)
        };
        let candidates = self.replicas().filter(may_take_it);
        let cost = |replica: &EndpointKey| (!self.cluster.is_local(*replica), self.cluster.load(*replica));
        let Some(replica) = candidates.min_by_key(cost) else { return Step::NoCandidate };
        match self.admit(replica, REPLICA_OBJECTIVE_FACTOR) {
            Step::NotAdmitted => Step::NoCandidate,
            step => step,
        }
    }

    fn primary_with_spare_capacity(&self) -> Step {
        let is_usable =
            |primary: &EndpointKey| self.candidates.contains(primary) && self.is_available(*primary);
        match self.primary.filter(is_usable) {
            Some(primary) => self.admit(primary, PRIMARY_OBJECTIVE_FACTOR),
            None => Step::NoCandidate,
        }
    }

    /// The last resort: an ejected endpoint that still answers some requests is better than a rejection.
    fn ejected_endpoint(&self) -> Step {
        let ejected = self.candidates.iter().copied().filter(|endpoint| self.is_usable_ejected(*endpoint));
        let cost = |endpoint: &EndpointKey| {
            let latency = self.admission.predicted_latency(*endpoint, self.request.class(), self.cluster);
            self.ejection_end(*endpoint) + latency
        };
        match ejected.min_by_key(cost) {
            Some(endpoint) => self.admit(endpoint, REPLICA_OBJECTIVE_FACTOR),
            None => Step::NoCandidate,
        }
    }

    fn admit(&self, endpoint: EndpointKey, objective_factor: f64) -> Step {
        if self.admission.admits(self.request, endpoint, objective_factor, self.cluster) {
            Step::Chosen(endpoint)
        } else {
            Step::NotAdmitted
        }
    }

    fn replicas(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.candidates.iter().copied().filter(|endpoint| Some(*endpoint) != self.primary)
    }

    /// Whether the health and the slow start of an endpoint allow that it gets the read.
    fn is_available(&self, endpoint: EndpointKey) -> bool {
        let is_available = self.cluster.is_healthy(endpoint) || self.cluster.is_trial_due(endpoint);
        is_available && self.slow_start_admits(endpoint)
    }

    fn slow_start_admits(&self, endpoint: EndpointKey) -> bool {
        self.slow_start.admits_read(self.request, endpoint, self.slow_start_share, self.cluster)
    }

    fn freshness(&self, endpoint: EndpointKey) -> Freshness {
        freshness::freshness(self.cluster.endpoint(endpoint), self.required, self.cluster)
    }

    /// A local replica that may be fresh gets one read at a time, so that its log position becomes known.
    fn is_preferred(&self, replica: EndpointKey) -> bool {
        let is_idle = self.cluster.endpoint(replica).load().in_flight() == 0;
        let is_recent = match self.freshness(replica) {
            Freshness::Fresh => true,
            Freshness::PossiblyFresh => self.cluster.is_local(replica) && is_idle,
            Freshness::Stale => false,
        };
        is_recent && self.is_available(replica)
    }

    fn may_be_behind(&self, replica: EndpointKey) -> bool {
        freshness::may_be_behind(self.cluster.endpoint(replica), self.cluster)
    }

    fn choose_preferred_replica(&self) -> Option<EndpointKey> {
        if self.is_long_read() && self.preferred_replicas.iter().any(|replica| self.may_be_behind(*replica)) {
            return Some(self.choose_most_behind());
        }
        let all = self.preferred_replicas.iter().copied();
        let (local, remote): (Vec<_>, Vec<_>) = all.partition(|replica| self.cluster.is_local(*replica));
        let Some(local_choice) = self.choose_of_two(&local) else { return self.choose_of_two(&remote) };
        let least_loaded = remote.into_iter().min_by_key(|replica| self.cluster.load(*replica));
        let remote_choice = least_loaded.filter(|remote| self.should_leave(local_choice, *remote));
        Some(remote_choice.unwrap_or(local_choice))
    }

    /// Whether the load of an endpoint is so much higher than that of another that a read goes there instead.
    fn should_leave(&self, endpoint: EndpointKey, other: EndpointKey) -> bool {
        let load = self.cluster.load(endpoint);
        let other_load = self.cluster.load(other);
        load > EXIT_MULTIPLE * other_load && load >= other_load + EXIT_MARGIN
    }

    /// The less loaded of two random replicas; on a tie, an eventual read leaves the more recent one to
    /// others.
    fn choose_of_two(&self, replicas: &[EndpointKey]) -> Option<EndpointKey> {
        let pair = self.choices.indices(replicas.len())?.map(|index| replicas[index]);
        let cost = |replica: &EndpointKey| {
            (self.cluster.load(*replica), self.is_eventual() && !self.may_be_behind(*replica))
        };
        pair.into_iter().min_by_key(cost)
    }

    fn is_eventual(&self) -> bool {
        self.cluster.class(self.request.class()).consistency == Consistency::Eventual
    }

    /// Whether it is of a class whose reads take so long that they can block the log of a replica.
    fn is_long_read(&self) -> bool {
        let mean_latency = self.admission.class_latency(self.request.class()).mean();
        self.is_eventual() && mean_latency > self.cluster.shortest_staleness_bound()
    }

    /// Long reads gather on the replica that is most behind, and move from a busy one to the next most
    /// behind: a replica without load may be catching up.
    fn choose_most_behind(&self) -> EndpointKey {
        let mut by_position = self.preferred_replicas.clone();
        by_position.sort_by_key(|replica| self.cluster.endpoint(*replica).replication().log_position());
        let is_busy = |pair: &[EndpointKey]| self.should_leave(pair[0], pair[1]);
        let first_not_busy = by_position.windows(2).position(|pair| !is_busy(pair));
        let candidates = &by_position[first_not_busy.unwrap_or(by_position.len() - 1)..];
        let is_admitted = |replica: &&EndpointKey| {
            matches!(self.admit(**replica, REPLICA_OBJECTIVE_FACTOR), Step::Chosen(_))
        };
        let chosen = candidates.iter().take(MAX_CANDIDATES_FOR_LONG_READ).find(is_admitted);
        *chosen.unwrap_or(&candidates[0])
    }

    /// Whether an ejected endpoint may get the read: one that still answers other requests; or one that
    /// answers none, if there is no healthy one. One that is known to be behind may not.
    fn is_usable_ejected(&self, endpoint: EndpointKey) -> bool {
        if self.cluster.is_healthy(endpoint) {
            return false;
        }
        let is_primary = Some(endpoint) == self.primary;
        let is_recent = is_primary || self.freshness(endpoint) != Freshness::Stale;
        let may_answer =
            self.may_be_tried_early(endpoint) || !is_primary && self.has_answered_recently(endpoint);
        is_recent && may_answer && self.slow_start_admits(endpoint)
    }

    /// Whether it has answered a request in the time of the longest ejection, and since its last failure to
    /// connect.
    fn has_answered_recently(&self, endpoint: EndpointKey) -> bool {
        let longest_ejection = self.cluster.settings().connect_timeout * MAX_EJECTION_TIME;
        let state = self.cluster.endpoint(endpoint);
        let since = Some(self.cluster.now() - longest_ejection).max(state.health().connect_failed_at());
        state.last_response_at() > since
    }

    /// Whether an ejected endpoint may be tried before its time, since no endpoint is healthy.
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

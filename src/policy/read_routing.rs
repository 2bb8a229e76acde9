//! Routing of reads: to a fresh replica in the local zone, then in other zones, then to the primary.

use super::outlier_detection::MAX_EJECTION;
use super::{NoRoute, Policy, Route};
use crate::settings::Consistency;
use crate::state::{two_of, EndpointKey, PendingRequest, RequestKey};
use crate::time::{LocalInstant, LogPosition};

/// A read leaves its zone at more than this multiple of the load of the idlest remote replica ...
const EXIT_MULTIPLE: u32 = 2;
/// ... and at least this many more requests in flight.
const EXIT_MARGIN: u32 = 3;
/// Objective share for reads on the primary, which must keep capacity for writes and strong reads.
const OVERFLOW_SHARE: f64 = 0.35;

struct Read<'a> {
    request: &'a PendingRequest,
    is_eventual: bool,
    needed: LogPosition,
    slow_start_share: f64,
    draws: (usize, usize),
    primary: Option<EndpointKey>,
    /// Usable endpoints of its group that it has not tried; the primary among them.
    untried: Vec<EndpointKey>,
}

impl Policy {
    pub(super) fn route_read(&mut self, key: RequestKey) -> Route {
        let draws = (self.rng.usize(..), self.rng.usize(..));
        let read = self.plan_read(key, draws).ok_or(NoRoute::Reject)?;
        let admit = |endpoint, share| self.admit(read.request, endpoint, share);
        let route = match self.choose_replica(&read) {
            Some(replica) => admit(replica, 1.0),
            None => self.choose_possibly_fresh(&read).and_then(|e| admit(e, 1.0).ok()).ok_or(NoRoute::Queue),
        };
        let primary = read.primary.filter(|p| read.untried.contains(p) && self.is_fit(&read, *p));
        let route = route.or_else(|reason| primary.map_or(Err(reason), |p| admit(p, OVERFLOW_SHARE)));
        route.or_else(|reason| match self.choose_ejected(&read) {
            Some(endpoint) => admit(endpoint, 1.0),
            None if read.untried.is_empty() => Err(NoRoute::Reject),
            None => Err(reason),
        })
    }

    fn plan_read(&self, key: RequestKey, draws: (usize, usize)) -> Option<Read<'_>> {
        let request = self.requests.get(key)?;
        let group = self.endpoints.groups.get(&request.group)?;
        let consistency = self.class(request.class).consistency;
        Some(Read {
            request,
            is_eventual: consistency == Consistency::Eventual,
            needed: consistency.required_position(self.present_for_reads(self.now), request.session_token),
            slow_start_share: self.read_slow_start_share(group),
            draws,
            primary: group.primary,
            untried: self.usable_endpoints(group).filter(|endpoint| !request.tried(*endpoint)).collect(),
        })
    }

    fn replicas<'a>(&self, read: &'a Read) -> impl Iterator<Item = EndpointKey> + 'a {
        read.untried.iter().copied().filter(|endpoint| Some(*endpoint) != read.primary)
    }

    fn is_fit(&self, read: &Read, endpoint: EndpointKey) -> bool {
        let is_available =
            self.is_healthy(endpoint) || self.endpoints[endpoint].health.is_trial_due(self.now);
        is_available && self.slow_start_admits(read.request, endpoint, read.slow_start_share)
    }

    /// Whether an endpoint that checks reads may be fresh without this being known: if its lag is unchanged,
    /// if it has had as much time to catch up as its lag was, or if its position is unknown.
    fn may_be_fresh(&self, read: &Read, endpoint: EndpointKey) -> bool {
        let endpoint = &self.endpoints[endpoint];
        let lag = endpoint.lag(&self.clock);
        let has_caught_up = self.now - endpoint.log_position_at > lag;
        let is_possible =
            self.clock.likely(self.now) - lag >= read.needed || has_caught_up || lag.as_secs().is_nan();
        self.settings.stale_reads.is_checked() && is_possible && self.now >= endpoint.stale_until
    }

    /// A local replica that may be fresh gets one read at a time, so that its log position becomes known.
    fn is_fresh(&self, read: &Read, endpoint: EndpointKey) -> bool {
        let state = &self.endpoints[endpoint];
        let is_quiet = self.is_local(endpoint) && state.load.in_flight == 0;
        let is_tried = is_quiet && self.may_be_fresh(read, endpoint);
        (state.log_position >= read.needed || is_tried) && self.is_fit(read, endpoint)
    }

    fn is_behind(&self, endpoint: EndpointKey) -> bool {
        self.endpoints[endpoint].log_position < self.clock.likely(self.now) - self.shortest_staleness
    }

    fn choose_replica(&self, read: &Read) -> Option<EndpointKey> {
        let fresh: Vec<_> = self.replicas(read).filter(|endpoint| self.is_fresh(read, *endpoint)).collect();
        let is_long = self.latency[read.request.class].mean > self.shortest_staleness;
        if read.is_eventual && is_long && fresh.iter().any(|endpoint| self.is_behind(*endpoint)) {
            return Some(self.choose_most_behind(read, fresh));
        }
        let (local, remote): (Vec<_>, Vec<_>) = fresh.into_iter().partition(|e| self.is_local(*e));
        let Some(home) = self.choose_of_two(read, &local) else { return self.choose_of_two(read, &remote) };
        let idlest = remote.into_iter().min_by_key(|endpoint| self.load(*endpoint));
        Some(idlest.filter(|away| self.should_leave(home, *away)).unwrap_or(home))
    }

    fn should_leave(&self, here: EndpointKey, there: EndpointKey) -> bool {
        let (here, there) = (self.load(here), self.load(there));
        here > EXIT_MULTIPLE * there && here >= there + EXIT_MARGIN
    }

    /// The less loaded of two random replicas; on a tie, an eventual read leaves the fresh one to others.
    fn choose_of_two(&self, read: &Read, from: &[EndpointKey]) -> Option<EndpointKey> {
        let candidates = two_of(from.len(), read.draws)?.map(|index| from[index]);
        candidates.into_iter().min_by_key(|e| (self.load(*e), read.is_eventual && !self.is_behind(*e)))
    }

    /// A long read can block the log of its replica. Such reads gather on the replica that is most behind,
    /// and move from a busy one to the next most behind: a replica without load may be catching up.
    fn choose_most_behind(&self, read: &Read, mut fresh: Vec<EndpointKey>) -> EndpointKey {
        let position = |endpoint: &EndpointKey| self.endpoints[*endpoint].log_position;
        fresh.sort_by_key(position);
        let first_kept = fresh.windows(2).position(|pair| !self.should_leave(pair[0], pair[1]));
        let candidates = &fresh[first_kept.unwrap_or(fresh.len() - 1)..];
        // Only one more replica is tried, since long reads would delay the log of each of them.
        let is_able = |e: &&EndpointKey| self.admit(read.request, **e, 1.0).is_ok();
        *candidates.iter().take(2).find(is_able).unwrap_or(&candidates[0])
    }

    /// A replica that may be fresh: if it is not, it rejects the read without executing it.
    fn choose_possibly_fresh(&self, read: &Read) -> Option<EndpointKey> {
        let candidates = self.replicas(read).filter(|e| self.may_be_fresh(read, *e) && self.is_fit(read, *e));
        candidates.min_by_key(|endpoint| (!self.is_local(*endpoint), self.load(*endpoint)))
    }

    /// The last resort: an ejected endpoint that still answers some requests is better than a rejection. One
    /// that answers none is used only if there is no healthy one; one known to be behind, never.
    fn choose_ejected(&self, read: &Read) -> Option<EndpointKey> {
        let none_is_healthy = !read.untried.iter().any(|endpoint| self.is_healthy(*endpoint));
        let lately = self.now - self.settings.connect_timeout * MAX_EJECTION;
        let is_usable = |&endpoint: &EndpointKey| {
            let state = &self.endpoints[endpoint];
            let (health, is_primary) = (&state.health, Some(endpoint) == read.primary);
            let is_fresh = state.log_position >= read.needed || self.may_be_fresh(read, endpoint);
            let answers = state.last_response_at > lately.max(health.connect_failed_at) && !is_primary;
            let failed_lately = self.now - health.connect_failed_at <= self.settings.connect_timeout;
            let is_due = none_is_healthy && !health.trial_in_flight && !failed_lately;
            let is_admitted = self.slow_start_admits(read.request, endpoint, read.slow_start_share);
            health.is_ejected && (is_fresh || is_primary) && (is_due || answers) && is_admitted
        };
        let until = |endpoint: EndpointKey| -> LocalInstant {
            self.endpoints[endpoint].health.ejected_until.max(self.now)
        };
        let cost = |e: &EndpointKey| until(*e) + self.predicted_latency(*e, read.request.class);
        read.untried.iter().copied().filter(is_usable).min_by_key(cost)
    }
}

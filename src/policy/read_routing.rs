//! Where reads go: to a fresh replica of the own zone, then of another zone, then to the primary.

use super::outlier_detection::MAX_EJECTION;
use super::{NoRoute, Policy, Route};
use crate::settings::Consistency;
use crate::state::{two_of, EndpointKey, PendingRequest, RequestKey};

/// A read leaves its zone at more than this multiple of the load of the idlest remote replica ...
const EXIT_MULTIPLE: u32 = 2;
/// ... and at least so many more (design).
const EXIT_MARGIN: u32 = 3;
/// Share of its objective up to which a read may overflow onto the primary, whose own work comes first.
const OVERFLOW_SHARE: f64 = 0.35;

/// A read that is to be routed, and what it may use.
struct Read<'a> {
    request: &'a PendingRequest,
    is_eventual: bool,
    /// The log position that it has to see.
    needed: f64,
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
            None => self.choose_hopeful(&read).and_then(|e| admit(e, 1.0).ok()).ok_or(NoRoute::Queue),
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
        let is_untried = |e: &EndpointKey| self.accepts_requests(*e) && !request.tried(*e);
        Some(Read {
            request,
            is_eventual: consistency == Consistency::Eventual,
            needed: consistency.required_position(self.now, request.session_token),
            slow_start_share: self.read_slow_start_share(group),
            draws,
            primary: group.primary,
            untried: group.endpoints.iter().copied().filter(is_untried).collect(),
        })
    }

    fn replicas<'a>(&self, read: &'a Read) -> impl Iterator<Item = EndpointKey> + 'a {
        read.untried.iter().copied().filter(|endpoint| Some(*endpoint) != read.primary)
    }

    fn load(&self, endpoint: EndpointKey) -> u32 {
        self.endpoints[endpoint].load.total(self.now)
    }

    fn is_local(&self, endpoint: EndpointKey) -> bool {
        self.endpoints[endpoint].zone == self.settings.zone
    }

    fn is_fit(&self, read: &Read, endpoint: EndpointKey) -> bool {
        let is_available = self.is_healthy(endpoint) || self.trial_due(endpoint);
        is_available && self.slow_start_admits(read.request, endpoint, read.slow_start_share)
    }

    /// Not known to be fresh, but perhaps, where endpoints check reads: as little behind as when last heard,
    /// or left alone since for as long as it was behind, or never heard.
    fn is_hopeful(&self, read: &Read, endpoint: EndpointKey) -> bool {
        let endpoint = &self.endpoints[endpoint];
        let lag = endpoint.log_position_at - endpoint.log_position;
        let has_caught_up = self.now - endpoint.log_position_at > lag;
        let may_be_fresh = self.now - lag >= read.needed || has_caught_up || lag.is_nan();
        self.settings.stale_reads.is_checked() && may_be_fresh && self.now >= endpoint.stale_until
    }

    /// A local replica without anything in flight is tried on hope, one read at a time: otherwise its silence
    /// would keep reads away from it, and their absence its silence.
    fn is_fresh(&self, read: &Read, endpoint: EndpointKey) -> bool {
        let state = &self.endpoints[endpoint];
        let is_quiet = self.is_local(endpoint) && state.load.in_flight == 0;
        let is_tried = is_quiet && self.is_hopeful(read, endpoint);
        (state.log_position >= read.needed || is_tried) && self.is_fit(read, endpoint)
    }

    fn is_behind(&self, endpoint: EndpointKey) -> bool {
        self.endpoints[endpoint].log_position < self.now - self.shortest_staleness
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
        Some(idlest.filter(|away| self.leaves(home, *away)).unwrap_or(home))
    }

    /// Whether a read leaves one replica for another that is idler (design).
    fn leaves(&self, here: EndpointKey, there: EndpointKey) -> bool {
        let (here, there) = (self.load(here), self.load(there));
        here > EXIT_MULTIPLE * there && here >= there + EXIT_MARGIN
    }

    /// The less busy of two that are drawn. A read that any data will do for prefers one that is behind: the
    /// fresh ones are kept for reads that need them.
    fn choose_of_two(&self, read: &Read, from: &[EndpointKey]) -> Option<EndpointKey> {
        let drawn = two_of(from.len(), read.draws)?.map(|place| from[place]);
        drawn.into_iter().min_by_key(|e| (self.load(*e), read.is_eventual && !self.is_behind(*e)))
    }

    /// A read so long that it could put its replica behind by holding up the log there goes to the one most
    /// behind, so that few are held up; from a busy one to the next, as the idlest is idle to catch up.
    fn choose_most_behind(&self, read: &Read, mut fresh: Vec<EndpointKey>) -> EndpointKey {
        let position = |endpoint: &EndpointKey| self.endpoints[*endpoint].log_position;
        fresh.sort_by(|a, b| position(a).total_cmp(&position(b)));
        let stays = fresh.windows(2).position(|pair| !self.leaves(pair[0], pair[1]));
        let candidates = &fresh[stays.unwrap_or(fresh.len() - 1)..];
        // One that cannot answer in time is passed over once: were each asked, all would be held up.
        let is_able = |e: &&EndpointKey| self.admit(read.request, **e, 1.0).is_ok();
        *candidates.iter().take(2).find(is_able).unwrap_or(&candidates[0])
    }

    /// Where endpoints check reads, one that may be fresh is tried: its rejection costs a hop.
    fn choose_hopeful(&self, read: &Read) -> Option<EndpointKey> {
        let hopeful = self.replicas(read).filter(|e| self.is_hopeful(read, *e) && self.is_fit(read, *e));
        hopeful.min_by_key(|endpoint| (!self.is_local(*endpoint), self.load(*endpoint)))
    }

    /// The last resort: an ejected endpoint that still answers some is better than a rejection; one that
    /// answers nothing is used only if there is no other. One known to be behind would reject the read.
    fn choose_ejected(&self, read: &Read) -> Option<EndpointKey> {
        let none_is_healthy = !read.untried.iter().any(|endpoint| self.is_healthy(*endpoint));
        let lately = self.now - self.settings.connect_timeout * MAX_EJECTION;
        let is_usable = |&endpoint: &EndpointKey| {
            let state = &self.endpoints[endpoint];
            let (health, is_primary) = (&state.health, Some(endpoint) == read.primary);
            let is_able = state.log_position >= read.needed || self.is_hopeful(read, endpoint) || is_primary;
            let answers = state.last_response_at > lately.max(health.connect_failed_at) && !is_primary;
            let failed_lately = self.now - health.connect_failed_at <= self.settings.connect_timeout;
            let is_due = none_is_healthy && !health.trial_in_flight && !failed_lately;
            let is_admitted = self.slow_start_admits(read.request, endpoint, read.slow_start_share);
            health.ejected && is_able && (is_due || answers) && is_admitted
        };
        let until = |endpoint: EndpointKey| self.endpoints[endpoint].health.ejected_until.max(self.now);
        let cost = |e: &EndpointKey| until(*e) + self.predicted_latency(*e, read.request.class);
        read.untried.iter().copied().filter(is_usable).min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }
}

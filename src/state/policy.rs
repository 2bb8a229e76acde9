//! The state of a policy.

use super::{
    ClusterClock, EndpointKey, EndpointTable, LatencyEstimator, RequestTable, SessionTable, TokenBucket,
    Watch,
};
use crate::interface::Action;
use crate::settings::{RequestClass, Settings};
use crate::time::{LocalInstant, Span};

/// Decides where each request of one pooler goes.
pub struct Policy {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: LocalInstant,
    /// The clock by which log positions and start times are given.
    pub(crate) clock: ClusterClock,
    /// What is to be done about the present event.
    pub(crate) actions: Vec<Action>,
    pub(crate) housekeeping_interval: Span,
    pub(crate) housekeeping_scheduled: bool,
    pub(crate) endpoints: EndpointTable,
    pub(crate) requests: RequestTable,
    /// Latency of successful attempts, by class.
    pub(crate) latency: Vec<LatencyEstimator>,
    /// Running share of the requests that a replica may answer.
    pub(crate) read_share: f64,
    /// The shortest staleness bound of any class.
    pub(crate) shortest_staleness: Span,
    pub(crate) sessions: SessionTable,
    /// Any session may have written until then, although no write of it is remembered.
    pub(crate) unknown_writes_until: Option<LocalInstant>,
    pub(crate) watch: Watch,
    pub(crate) retry_budget: TokenBucket,
    pub(crate) health_check_budget: TokenBucket,
    pub(crate) tenant_quotas: Vec<Option<TokenBucket>>,
    /// Load shedding is not logged again before then.
    pub(crate) shedding_until: Option<LocalInstant>,
    /// Until then endpoints are taken to have no room for idle connections.
    pub(crate) connections_scarce_until: Option<LocalInstant>,
}

impl Policy {
    /// The state of a pooler that knows nothing yet.
    pub(crate) fn empty(settings: Settings, rng: fastrand::Rng) -> Policy {
        let staleness_bounds = settings.classes.iter().filter_map(RequestClass::staleness_bound);
        Policy {
            shortest_staleness: staleness_bounds.fold(Span::from_secs(1.0), Span::min),
            clock: ClusterClock::new(settings.shares_host_clock),
            settings,
            rng,
            now: LocalInstant::EPOCH,
            actions: Vec::new(),
            housekeeping_interval: Span::ZERO,
            housekeeping_scheduled: false,
            endpoints: EndpointTable::default(),
            requests: RequestTable::default(),
            latency: Vec::new(),
            read_share: 1.0,
            sessions: SessionTable::default(),
            unknown_writes_until: None,
            watch: Watch::default(),
            retry_budget: TokenBucket::default(),
            health_check_budget: TokenBucket::default(),
            tenant_quotas: Vec::new(),
            shedding_until: None,
            connections_scarce_until: None,
        }
    }

    /// The settings of a request class.
    pub(crate) fn class(&self, class: usize) -> &RequestClass {
        &self.settings.classes[class]
    }

    /// Requests that this pooler has in flight at an endpoint, abandoned ones included.
    pub(crate) fn load(&self, endpoint: EndpointKey) -> u32 {
        self.endpoints[endpoint].load.total(self.now)
    }

    /// Whether an endpoint is not ejected as an outlier.
    pub(crate) fn is_healthy(&self, endpoint: EndpointKey) -> bool {
        !self.endpoints[endpoint].health.is_ejected
    }

    /// Whether an endpoint is in the pooler's own zone.
    pub(crate) fn is_local(&self, endpoint: EndpointKey) -> bool {
        self.endpoints[endpoint].zone == self.settings.zone
    }

    /// How many endpoints are kept in memory, those that were removed lately included.
    pub fn endpoints_known(&self) -> usize {
        self.endpoints.slots()
    }

    /// How many groups are kept in memory.
    pub fn groups_known(&self) -> usize {
        self.endpoints.groups.len()
    }
}

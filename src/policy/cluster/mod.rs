//! What a pooler knows of the cluster that it serves: the settings, the present time and the endpoints.

mod clock;
mod endpoint_table;
mod group;

use crate::interface::{AttemptResult, Endpoint, EndpointStatus, LoadReport, Role, UpdateKind};
use crate::policy::endpoint::{EndpointState, ReportAge};
use crate::settings::{RequestClass, Settings};
use crate::time::{ClusterInstant, LocalInstant, Span};
pub(crate) use clock::ClusterClock;
pub(crate) use endpoint_table::{EndpointKey, EndpointTable, StartedEndpoints};
pub(crate) use group::Group;

/// Upper limit of [`Cluster::shortest_staleness_bound`], for settings without a bounded class.
const MAX_SHORTEST_STALENESS: Span = Span::from_secs(1.0);

/// The cluster as it is known at present.
pub(crate) struct Cluster {
    settings: Settings,
    now: LocalInstant,
    clock: ClusterClock,
    endpoints: EndpointTable,
    shortest_staleness_bound: Span,
}

impl Cluster {
    /// A cluster of which nothing is known yet.
    pub(crate) fn new(settings: Settings) -> Cluster {
        let staleness_bounds = settings.classes.iter().filter_map(RequestClass::staleness_bound);
        Cluster {
            shortest_staleness_bound: staleness_bounds.fold(MAX_SHORTEST_STALENESS, Span::min),
            clock: ClusterClock::new(settings.shares_endpoint_clock),
            settings,
            now: LocalInstant::EPOCH,
            endpoints: EndpointTable::default(),
        }
    }

    /// Moves the present on; it never goes back.
    pub(crate) fn advance_to(&mut self, now: LocalInstant) {
        self.now = self.now.max(now);
    }

    /// Applies an update of the endpoint list. Returns the endpoints that were added or have restarted.
    pub(crate) fn apply_list_update(&mut self, kind: UpdateKind, entries: &[Endpoint]) -> StartedEndpoints {
        for started_at in entries.iter().filter_map(|entry| entry.started_at) {
            self.clock.observe_past_time(started_at, self.now);
        }
        self.endpoints.apply(kind, entries, self.now)
    }

    /// Takes in what an answer shows of its endpoint and of the endpoints' clock. `sent_at` is when the
    /// attempt was sent, if it is known.
    pub(crate) fn observe_response(
        &mut self,
        endpoint: EndpointKey,
        result: &AttemptResult,
        sent_at: Option<LocalInstant>,
    ) {
        if let Some(position) = result.log_position {
            match sent_at.filter(|_| result.role == Some(Role::Primary)) {
                Some(sent_at) => self.clock.observe_present_time(position, sent_at, self.now),
                None => self.clock.observe_past_time(position, self.now),
            }
        }
        let answer = LoadReport { log_position: result.log_position, role: result.role };
        self.endpoints[endpoint].observe(&answer, ReportAge::Current, &self.clock, self.now);
    }

    /// Takes in what an endpoint has reported about itself some time ago.
    pub(crate) fn observe_report(&mut self, endpoint: EndpointKey, report: &LoadReport) {
        if let Some(position) = report.log_position {
            self.clock.observe_past_time(position, self.now);
        }
        self.endpoints[endpoint].observe(report, ReportAge::Unknown, &self.clock, self.now);
    }

    /// The settings.
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The settings of a request class.
    pub(crate) fn class(&self, class: usize) -> &RequestClass {
        &self.settings.classes[class]
    }

    /// The shortest staleness bound of any class.
    pub(crate) fn shortest_staleness_bound(&self) -> Span {
        self.shortest_staleness_bound
    }

    /// The present on the pooler's clock.
    pub(crate) fn now(&self) -> LocalInstant {
        self.now
    }

    /// The clock of the endpoints.
    pub(crate) fn clock(&self) -> &ClusterClock {
        &self.clock
    }

    /// The present as it probably is on the clock of the endpoints.
    pub(crate) fn estimated_now(&self) -> ClusterInstant {
        self.clock.estimate(self.now)
    }

    /// All endpoints and groups.
    pub(crate) fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// All endpoints and groups, to be changed.
    pub(crate) fn endpoints_mut(&mut self) -> &mut EndpointTable {
        &mut self.endpoints
    }

    /// One endpoint.
    pub(crate) fn endpoint(&self, key: EndpointKey) -> &EndpointState {
        &self.endpoints[key]
    }

    /// One endpoint, to be changed.
    pub(crate) fn endpoint_mut(&mut self, key: EndpointKey) -> &mut EndpointState {
        &mut self.endpoints[key]
    }

    /// A group, if one of this number is known.
    pub(crate) fn group(&self, group: u32) -> Option<&Group> {
        self.endpoints.group(group)
    }

    /// Requests that this pooler has in flight at an endpoint, abandoned ones included.
    pub(crate) fn load(&self, endpoint: EndpointKey) -> u32 {
        self.endpoints[endpoint].load().total(self.now)
    }

    /// Whether an endpoint is not ejected as an outlier.
    pub(crate) fn is_healthy(&self, endpoint: EndpointKey) -> bool {
        !self.endpoints[endpoint].health().is_ejected()
    }

    /// Whether an endpoint is ejected and may have the one request that tries it.
    pub(crate) fn is_trial_due(&self, endpoint: EndpointKey) -> bool {
        self.endpoints[endpoint].health().is_trial_due(self.now)
    }

    /// Whether an endpoint is in the pooler's own zone.
    pub(crate) fn is_local(&self, endpoint: EndpointKey) -> bool {
        self.endpoints[endpoint].listing().zone() == self.settings.zone
    }

    /// Whether an endpoint is known as the primary of its group.
    pub(crate) fn is_primary(&self, endpoint: EndpointKey) -> bool {
        self.endpoints.primary(self.endpoints[endpoint].listing().group()) == Some(endpoint)
    }

    /// Whether new requests may be sent to an endpoint. A drain is binding as soon as it is announced.
    pub(crate) fn accepts_requests(&self, endpoint: EndpointKey) -> bool {
        let endpoint = &self.endpoints[endpoint];
        match endpoint.listing().status() {
            EndpointStatus::Serving => true,
            EndpointStatus::Draining => false,
            EndpointStatus::Removed => {
                self.settings.removal_is_advisory && !endpoint.listing().is_drain_announced()
            }
        }
    }

    /// The endpoints of a group to which new requests may be sent.
    pub(crate) fn usable_endpoints<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = EndpointKey> + 'a {
        group.members().iter().copied().filter(|endpoint| self.accepts_requests(*endpoint))
    }
}

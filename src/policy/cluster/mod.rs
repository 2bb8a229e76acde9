//! The pooler's view of the cluster that it serves: settings, current time, and endpoints with their clock.

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

/// Upper limit of [`Cluster::shortest_staleness_bound`], and its value if no class has a staleness bound.
const MAX_SHORTEST_STALENESS_BOUND: Span = Span::from_secs(1.0);

/// What the log position in a response of a primary tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PositionMeaning {
    /// Nothing is known of the attempt that was answered.
    Unknown,
    /// The time of a commit, which is older than the attempt if the write was dropped as a repeat.
    Commit,
    /// The time of the primary when it answered the attempt.
    CurrentTime {
        /// When the attempt was sent.
        sent_at: LocalInstant,
    },
}

/// The state of the cluster as known to the pooler.
pub(crate) struct Cluster {
    settings: Settings,
    now: LocalInstant,
    clock: ClusterClock,
    endpoints: EndpointTable,
    shortest_staleness_bound: Span,
}

impl Cluster {
    /// Creates a cluster without any endpoints.
    pub(crate) fn new(settings: Settings) -> Cluster {
        let staleness_bounds = settings.classes.iter().filter_map(RequestClass::staleness_bound);
        Cluster {
            shortest_staleness_bound: staleness_bounds.fold(MAX_SHORTEST_STALENESS_BOUND, Span::min),
            clock: ClusterClock::new(settings.shares_endpoint_clock),
            settings,
            now: LocalInstant::EPOCH,
            endpoints: EndpointTable::default(),
        }
    }

    /// Advances the current time, which never goes back.
    pub(crate) fn advance_to(&mut self, now: LocalInstant) {
        self.now = self.now.max(now);
    }

    /// Applies an update of the endpoint list. Returns the endpoints that were added or have restarted.
    pub(crate) fn apply_list_update(&mut self, kind: UpdateKind, entries: &[Endpoint]) -> StartedEndpoints {
        for started_at in entries.iter().filter_map(|entry| entry.started_at) {
            self.clock.observe_past_time(started_at, self.now);
        }
        self.endpoints.apply_update(kind, entries, self.now)
    }

    /// Updates an endpoint and the endpoints' clock from a response. `meaning` says what the log position in
    /// a response of a primary tells.
    pub(crate) fn update_from_response(
        &mut self,
        endpoint: EndpointKey,
        result: &AttemptResult,
        meaning: PositionMeaning,
    ) {
        if let Some(position) = result.log_position {
            let is_primary = result.role == Some(Role::Primary);
            match if is_primary { meaning } else { PositionMeaning::Unknown } {
                PositionMeaning::Unknown => self.clock.observe_past_time(position, self.now),
                PositionMeaning::Commit => self.clock.observe_commit(position, self.now),
                PositionMeaning::CurrentTime { sent_at } => {
                    self.clock.observe_current_time(position, sent_at, self.now);
                }
            }
        }
        let report = LoadReport { log_position: result.log_position, role: result.role };
        let replication = self.endpoints[endpoint].replication_mut();
        replication.update_from_report(&report, ReportAge::Current, &self.clock, self.now);
    }

    /// Updates an endpoint and the endpoints' clock from a load report of unknown age.
    pub(crate) fn update_from_report(&mut self, endpoint: EndpointKey, report: &LoadReport) {
        if let Some(position) = report.log_position {
            self.clock.observe_past_time(position, self.now);
        }
        let replication = self.endpoints[endpoint].replication_mut();
        replication.update_from_report(report, ReportAge::Unknown, &self.clock, self.now);
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the settings of a request class, by its number.
    pub(crate) fn class(&self, class: usize) -> &RequestClass {
        &self.settings.classes[class]
    }

    /// Returns the shortest staleness bound of any class.
    pub(crate) fn shortest_staleness_bound(&self) -> Span {
        self.shortest_staleness_bound
    }

    /// Returns the current time on the pooler's clock.
    pub(crate) fn now(&self) -> LocalInstant {
        self.now
    }

    /// Returns the endpoints' clock.
    pub(crate) fn clock(&self) -> &ClusterClock {
        &self.clock
    }

    /// Returns the estimated current time on the endpoints' clock.
    pub(crate) fn estimated_now(&self) -> ClusterInstant {
        self.clock.estimate(self.now)
    }

    pub(crate) fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    pub(crate) fn endpoints_mut(&mut self) -> &mut EndpointTable {
        &mut self.endpoints
    }

    pub(crate) fn endpoint(&self, key: EndpointKey) -> &EndpointState {
        &self.endpoints[key]
    }

    pub(crate) fn endpoint_mut(&mut self, key: EndpointKey) -> &mut EndpointState {
        &mut self.endpoints[key]
    }

    pub(crate) fn group(&self, group: u32) -> Option<&Group> {
        self.endpoints.group(group)
    }

    /// Returns the number of attempts that this pooler has in flight at an endpoint, including abandoned
    /// ones that still count as load.
    pub(crate) fn load(&self, endpoint: EndpointKey) -> u32 {
        self.endpoints[endpoint].load().in_flight_and_abandoned(self.now)
    }

    /// Returns `true` if an endpoint is not ejected as an outlier.
    pub(crate) fn is_healthy(&self, endpoint: EndpointKey) -> bool {
        !self.endpoints[endpoint].health().is_ejected()
    }

    /// Returns `true` if an endpoint is ejected and a trial request may be sent to it.
    pub(crate) fn is_trial_due(&self, endpoint: EndpointKey) -> bool {
        self.endpoints[endpoint].health().is_trial_due(self.now)
    }

    /// Returns `true` if an endpoint is in the pooler's own zone.
    pub(crate) fn is_local(&self, endpoint: EndpointKey) -> bool {
        self.endpoints[endpoint].listing().zone() == self.settings.zone
    }

    /// Returns `true` if an endpoint is the known primary of its group.
    pub(crate) fn is_primary(&self, endpoint: EndpointKey) -> bool {
        self.endpoints.primary(self.endpoints[endpoint].listing().group()) == Some(endpoint)
    }

    /// Returns `true` if new requests may be sent to an endpoint. A drain takes effect as soon as it is
    /// announced.
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

    /// Returns the endpoints of a group to which new requests may be sent.
    pub(crate) fn usable_endpoints<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = EndpointKey> + 'a {
        group.members().iter().copied().filter(|endpoint| self.accepts_requests(*endpoint))
    }
}

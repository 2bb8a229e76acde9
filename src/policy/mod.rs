//! Every decision of the pooler. Its events and actions are in `src/interface`.
//!
//! [`Policy`] takes an event, calls the subjects that it concerns, in order, and returns actions. Each
//! subject is a module that owns its state and its rules:
//!
//! | Subject | Module |
//! |---|---|
//! | The way of a request | [`dispatch`] |
//! | May a request be sent again, and until when? | [`retry`] |
//! | Which final answer does it get, and why? | [`give_up`] |
//! | Which endpoint gets a read? | [`read_routing`] |
//! | Is a replica recent enough? | [`freshness`] |
//! | Can an endpoint answer in time? | [`admission`] |
//! | What may an endpoint get that is warming up? | [`slow_start`] |
//! | Which endpoint is the primary? | [`primary`], [`failover`] |
//! | What does an outcome show of its endpoint? | [`endpoint::evidence`] |
//! | Which endpoints are ejected? | [`endpoint::outlier_detection`], [`health`] |
//! | Which attempts take too long? | [`overdue`] |
//! | What does a session have to see? | [`session`] |
//! | When is the endpoint list called for? | [`watch`] |
//!
//! The rest holds what these share: [`cluster`] with endpoints, groups and clocks, the pending requests, and
//! estimates.

mod admission;
mod cluster;
mod connection_shortage;
mod dispatch;
mod endpoint;
mod failover;
mod freshness;
mod give_up;
mod health;
mod housekeeping;
mod overdue;
mod primary;
mod random;
mod read_routing;
mod request;
mod retry;
mod session;
mod slow_start;
mod token_bucket;
mod watch;

use fastrand::Rng;

use crate::interface::{Action, Endpoint, Event, StateChange, UpdateKind};
use crate::settings::{validate, Settings, SettingsError};
use crate::time::LocalInstant;
use admission::Admission;
use cluster::{Cluster, EndpointKey};
use connection_shortage::ConnectionShortage;
use give_up::GiveUpReason;
use housekeeping::Housekeeping;
use primary::health_checks::HealthChecks;
use request::RequestTable;
use retry::RetryBudget;
use session::SessionTracker;
use slow_start::SlowStart;
use watch::{Watch, WatchChange};

/// Cookie of the housekeeping timer; requests use their own key, from 1.
const HOUSEKEEPING_COOKIE: u64 = 0;
/// A removed endpoint is forgotten after this multiple of the watch gap, far beyond every deadline.
const FORGET_AFTER_WATCH_GAPS: f64 = 3.0;

/// Why a request is not sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoRoute {
    /// It waits in the queue of its group.
    Queue,
    /// It is given up.
    GiveUp(GiveUpReason),
}

/// Where a request is sent, or why it is not.
pub(crate) type Route = Result<EndpointKey, NoRoute>;

/// Decides where each request of one pooler goes.
pub struct Policy {
    cluster: Cluster,
    requests: RequestTable,
    admission: Admission,
    slow_start: SlowStart,
    retry_budget: RetryBudget,
    health_checks: HealthChecks,
    sessions: SessionTracker,
    watch: Watch,
    connection_shortage: ConnectionShortage,
    housekeeping: Housekeeping,
    rng: Rng,
    /// What is to be done about the present event.
    actions: Vec<Action>,
}

impl Policy {
    /// A policy with these settings; all its randomness comes from the seed.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of its range.
    pub fn new(settings: Settings, seed: u64) -> Result<Policy, SettingsError> {
        validate(&settings)?;
        Ok(Policy {
            requests: RequestTable::default(),
            admission: Admission::new(&settings),
            slow_start: SlowStart::new(),
            retry_budget: RetryBudget::new(),
            health_checks: HealthChecks::new(),
            sessions: SessionTracker::default(),
            watch: Watch::default(),
            connection_shortage: ConnectionShortage::default(),
            housekeeping: Housekeeping::new(&settings),
            rng: Rng::with_seed(seed),
            actions: Vec::new(),
            cluster: Cluster::new(settings),
        })
    }

    /// Handles one event at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: LocalInstant, event: Event, actions: &mut Vec<Action>) {
        self.cluster.advance_to(now);
        match event {
            Event::WatchFailed => self.watch_failed(),
            Event::EndpointsUpdated { kind, endpoints } => self.endpoints_updated(kind, &endpoints),
            Event::Request(request) => self.request_received(request),
            Event::AttemptFinished(result) => self.attempt_finished(&result),
            Event::HealthCheckFinished { endpoint, outcome, report } => {
                self.health_checked(&endpoint, outcome, &report);
            }
            Event::ResponseStarted { id } | Event::ClientDisconnected { id } => {
                self.requests.finish_by_id(&id);
            }
            Event::ShutdownImminent { id } => self.shutdown_imminent(&id),
            Event::TimerExpired { cookie: HOUSEKEEPING_COOKIE } => self.housekeep(),
            Event::TimerExpired { cookie } => self.request_timer_expired(cookie),
        }
        self.schedule_housekeeping();
        actions.append(&mut self.actions);
    }

    fn schedule_housekeeping(&mut self) {
        if let Some(at) = self.housekeeping.schedule(self.cluster.now(), &mut self.rng) {
            self.actions.push(Action::SetTimer { at, cookie: HOUSEKEEPING_COOKIE });
        }
    }

    /// Handles what no event announces: overdue attempts, queued requests, lost primaries and the watch.
    fn housekeep(&mut self) {
        self.housekeeping.expired();
        let now = self.cluster.now();
        if self.watch.call_if_due(self.cluster.settings(), now) {
            self.actions.push(Action::Watch);
        }
        self.handle_overdue_attempts();
        self.cluster.endpoints_mut().remove_empty_groups();
        self.slow_start.forget_groups(&self.cluster);
        let horizon = now - self.cluster.settings().max_watch_gap * FORGET_AFTER_WATCH_GAPS;
        for group in self.cluster.endpoints().group_ids() {
            self.cluster.endpoints_mut().purge_removed(group, horizon);
            self.search_primary(group);
            self.update_primary(group);
        }
    }

    fn watch_failed(&mut self) {
        let now = self.cluster.now();
        let change = self.watch.failed(self.cluster.settings(), now, &mut self.rng);
        if change == WatchChange::Changed {
            self.actions.push(Action::Log(StateChange::WatchLost));
        }
    }

    fn endpoints_updated(&mut self, kind: UpdateKind, entries: &[Endpoint]) {
        if kind == UpdateKind::Cached {
            // After a restart no writes are remembered: any session may have written until now.
            self.sessions.assume_writes_until(self.cluster.now());
        } else if self.watch.succeeded() == WatchChange::Changed {
            self.actions.push(Action::Log(StateChange::WatchRestored));
        }
        let started = self.cluster.apply_list_update(kind, entries);
        for &endpoint in &started.added {
            self.health_checks.endpoint_added(endpoint);
        }
        for &endpoint in started.added.iter().chain(&started.restarted) {
            self.slow_start.endpoint_started(endpoint);
        }
        for group in self.cluster.endpoints().group_ids() {
            self.update_primary(group);
        }
    }

    /// How many endpoints are kept in memory, those that were removed recently included.
    pub fn endpoint_count(&self) -> usize {
        self.cluster.endpoints().slot_count()
    }

    /// How many groups are kept in memory.
    pub fn group_count(&self) -> usize {
        self.cluster.endpoints().group_count()
    }
}

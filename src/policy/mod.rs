//! The decision logic of the pooler, without any I/O. Its events and actions are in `src/interface`.
//!
//! [`Policy`] dispatches each event to the modules that it concerns and returns the resulting actions. Each
//! module owns the state and the rules of one area:
//!
//! | Area | Module |
//! |---|---|
//! | Request life cycle | [`dispatch`] |
//! | Whether and until when a request may be retried | [`retry`] |
//! | Giving up a request, and its final answer | [`give_up`] |
//! | Routing of reads | [`read_routing`] |
//! | Whether an attempt that has waited for its connection may still be sent | [`send_check`] |
//! | Freshness of replicas | [`freshness`] |
//! | Admission control: whether an endpoint can answer in time | [`admission`] |
//! | Traffic limits of endpoints that are warming up | [`slow_start`] |
//! | Primary of each group, and failover | [`primary`], [`failover`] |
//! | What the outcome of an attempt shows about its endpoint | [`endpoint::evidence`] |
//! | Ejection of endpoints | [`endpoint::outlier_detection`], [`health`] |
//! | Attempts that take too long | [`overdue`] |
//! | Session consistency | [`session`] |
//! | Watch of the endpoint list | [`watch`] |
//!
//! The other modules hold shared state and helpers: [`cluster`] with endpoints, groups and clocks, the table
//! of pending requests, token buckets and random choices.

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
mod send_check;
mod session;
mod slow_start;
mod token_bucket;
mod watch;

use fastrand::Rng;

use crate::interface::{Action, Endpoint, Event, GiveUpReason, StateChange, UpdateKind};
use crate::settings::{validate, ListDelivery, Settings, SettingsError};
use crate::time::LocalInstant;
use admission::Admission;
use cluster::{Cluster, EndpointKey};
use connection_shortage::ConnectionShortage;
use housekeeping::Housekeeping;
use primary::health_checks::HealthChecks;
use request::RequestTable;
use retry::RetryBudget;
use session::SessionTracker;
use slow_start::SlowStart;
use watch::{Watch, WatchChange};

/// Cookie of the housekeeping timer. The timers of a request use its key, and keys start at 1.
const HOUSEKEEPING_COOKIE: u64 = 0;
/// Cookie of the timer of the watch. Keys of requests stay far below it.
const WATCH_COOKIE: u64 = 1 << 62;
/// How long removed endpoints are kept, in multiples of the longest watch gap: far longer than any deadline.
const REMOVED_ENDPOINT_RETENTION: f64 = 3.0;

/// Why a request cannot be routed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouteError {
    /// The request has to wait in the queue of its group.
    Queue,
    /// The request has to be given up.
    GiveUp(GiveUpReason),
}

/// The endpoint that a request is sent to, or why it cannot be sent now.
pub(crate) type RouteResult = Result<EndpointKey, RouteError>;

/// The routing policy of one pooler: a deterministic state machine that turns events into actions.
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
    /// Actions that result from the current event.
    actions: Vec<Action>,
}

impl Policy {
    /// Creates a policy. All its random choices derive from `seed`.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that is out of range.
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
            Event::WatchAnswered { answer_time } => {
                self.watch.record_answer_time(answer_time);
                self.watch_answered();
            }
            Event::WatchMoved => {
                self.watch.record_move(self.cluster.now());
                self.request_watch_if_due();
            }
            Event::EndpointsUpdated { kind, endpoints } => self.endpoints_updated(kind, &endpoints),
            Event::Request(request) => self.request_received(request),
            Event::AttemptFinished(result) => self.attempt_finished(&result),
            Event::HealthCheckFinished { endpoint, outcome, report } => {
                self.health_check_finished(&endpoint, outcome, &report);
            }
            Event::ResponseStarted { id } | Event::ClientDisconnected { id } => {
                self.requests.finish_by_id(&id);
            }
            Event::ShutdownImminent { id } => self.shutdown_imminent(&id),
            Event::TimerExpired { cookie: HOUSEKEEPING_COOKIE } => self.run_housekeeping(),
            Event::TimerExpired { cookie: WATCH_COOKIE } => self.request_watch_if_due(),
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

    /// Does the periodic work that no event triggers: restarts the watch, handles overdue attempts, removes
    /// expired state, searches for lost primaries and dispatches queued requests.
    fn run_housekeeping(&mut self) {
        self.housekeeping.record_timer_expired();
        let now = self.cluster.now();
        self.request_watch_if_due();
        self.handle_overdue_attempts();
        self.cluster.endpoints_mut().remove_empty_groups();
        self.slow_start.update_groups(&self.cluster);
        let horizon = now - self.cluster.settings().max_watch_gap * REMOVED_ENDPOINT_RETENTION;
        for group in self.cluster.endpoints().group_ids() {
            self.cluster.endpoints_mut().purge_removed(group, horizon);
            self.continue_primary_search(group);
            self.update_primary(group);
        }
    }

    /// Requests the watch if that is due, and sets a timer for the next request.
    fn request_watch_if_due(&mut self) {
        if self.watch.request_if_due(self.cluster.settings(), self.cluster.now()) {
            self.actions.push(Action::Watch);
            self.set_watch_timer();
        }
    }

    fn set_watch_timer(&mut self) {
        if let Some(at) = self.watch.next_request_at() {
            self.actions.push(Action::SetTimer { at, cookie: WATCH_COOKIE });
        }
    }

    fn watch_failed(&mut self) {
        let now = self.cluster.now();
        let change = self.watch.record_failure(self.cluster.settings(), now, &mut self.rng);
        if change == WatchChange::Changed {
            self.actions.push(Action::Log(StateChange::WatchLost));
        }
        self.set_watch_timer();
    }

    fn watch_answered(&mut self) {
        if self.watch.record_answer() == WatchChange::Changed {
            self.actions.push(Action::Log(StateChange::WatchRestored));
        }
    }

    fn endpoints_updated(&mut self, kind: UpdateKind, entries: &[Endpoint]) {
        if kind == UpdateKind::Cached {
            // Session writes are not persisted: after a restart, any session may have written until now.
            self.sessions.assume_writes_until(self.cluster.now());
            // What the agent has been sent counts as known from the start of the process.
            if self.cluster.settings().list_delivery == ListDelivery::LocalAgent {
                self.request_watch_if_due();
            }
        } else {
            self.watch_answered();
        }
        let started = self.cluster.apply_list_update(kind, entries);
        self.slow_start.update_groups(&self.cluster);
        for &endpoint in &started.added {
            self.health_checks.reset(endpoint);
        }
        for &endpoint in started.added.iter().chain(&started.restarted) {
            self.slow_start.start_budget(endpoint, &self.cluster, &mut self.rng);
        }
        for group in self.cluster.endpoints().group_ids() {
            self.update_primary(group);
        }
    }

    /// Returns the number of endpoints for which memory is allocated, including removed ones.
    pub fn endpoint_count(&self) -> usize {
        self.cluster.endpoints().slot_count()
    }

    /// Returns the number of groups kept in memory.
    pub fn group_count(&self) -> usize {
        self.cluster.endpoints().group_count()
    }
}

//! Every decision of the pooler. Its events and actions are in `src/interface`, its data in `src/state`.

mod admission;
mod attempts;
mod cluster_time;
mod endpoints;
mod outlier_detection;
mod overdue;
mod primary;
mod primary_search;
mod read_routing;
mod results;
mod sessions;
mod slow_start;

use crate::interface::{Action, Event};
use crate::settings::{validate, Settings, SettingsError};
pub use crate::state::Policy;
use crate::state::{EndpointKey, LatencyEstimator, TokenBucket};
use crate::time::{LocalInstant, Span};

/// Cookie of the housekeeping timer; requests use their own key, from 1.
const HOUSEKEEPING_COOKIE: u64 = 0;
/// Housekeeping interval as a share of the shortest latency objective, which leaves time for a retry.
const HOUSEKEEPING_SHARE: f64 = 0.1;
/// Initial estimate of a class's latency, as a share of its objective.
const INITIAL_LATENCY: f64 = 0.25;
/// Weight of a new sample in running means, which so cover about ten answers.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Why a request is not sent now: it waits for its group's primary, or no endpoint can answer in time.
enum NoRoute {
    Queue,
    Reject,
}
type Route = Result<EndpointKey, NoRoute>;

impl Policy {
    /// A policy with these settings; all its randomness comes from the seed.
    pub fn new(settings: Settings, seed: u64) -> Result<Policy, SettingsError> {
        validate(&settings)?;
        let mut policy = Policy::empty(settings, fastrand::Rng::with_seed(seed));
        let classes = &policy.settings.classes;
        let objectives = classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.clone().fold(Span::from_secs(1.0), Span::min);
        policy.housekeeping_interval =
            (shortest_objective * HOUSEKEEPING_SHARE).clamp(Span::from_secs(0.01), Span::from_secs(0.1));
        policy.latency =
            objectives.map(|objective| LatencyEstimator::new(objective * INITIAL_LATENCY)).collect();
        policy.retry_budget = TokenBucket::new(attempts::MAX_RETRIES / 2.0, attempts::MAX_RETRIES);
        policy.health_check_budget = TokenBucket::full(primary_search::MAX_HEALTH_CHECKS);
        let poolers = f64::from(policy.settings.pooler_count);
        let bucket = |quota: &Option<f64>| {
            quota.map(|quota| TokenBucket::earning(quota / poolers, admission::MIN_TENANT_BURST))
        };
        policy.tenant_quotas = policy.settings.tenant_quota.iter().map(bucket).collect();
        Ok(policy)
    }

    /// Handles one event at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: LocalInstant, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Endpoints { kind, endpoints } => self.endpoints_updated(kind, &endpoints),
            Event::Request(request) => self.request_received(request),
            Event::AttemptFinished(result) => self.attempt_finished(&result),
            Event::HealthChecked { endpoint, outcome, report } => {
                self.health_checked(&endpoint, outcome, &report);
            }
            Event::ResponseStarted { id } | Event::ClientDisconnected { id } => {
                self.requests.finish_by_id(&id)
            }
            Event::Expired { id } => self.request_expired(&id),
            Event::Timer { cookie: HOUSEKEEPING_COOKIE } => self.housekeep(),
            Event::Timer { cookie } => self.request_timer_expired(cookie),
        }
        if !std::mem::replace(&mut self.housekeeping_scheduled, true) {
            let at = self.now + self.housekeeping_interval * (0.5 + self.rng.f64());
            self.actions.push(Action::SetTimer { at, cookie: HOUSEKEEPING_COOKIE });
        }
        actions.append(&mut self.actions);
    }

    /// Handles what no event announces: overdue attempts, queued requests, lost primaries and the watch.
    fn housekeep(&mut self) {
        self.housekeeping_scheduled = false;
        self.reopen_watch();
        self.handle_overdue_attempts();
        self.endpoints.forget_empty_groups();
        let horizon = self.now - self.settings.max_watch_gap * endpoints::FORGET_AFTER;
        for group in self.endpoints.group_ids() {
            self.endpoints.forget_removed(group, horizon);
            self.search_primary(group);
            self.elect_primary(group);
        }
    }
}

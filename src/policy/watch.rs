//! The watch of the endpoint list: when to request it.
//!
//! A service that all poolers share is requested again with exponential backoff and jitter after failures.
//! The agent on the pooler's own machine is requested again after a small share of the drain grace: what the
//! agent has been sent counts as known to the pooler, so a drain must reach the pooler well within the grace.
//! For the same reason a request that the agent leaves unanswered is repeated. It stays open beside its
//! repetition, since the agent may answer either. Requests are repeated less often where answers take long,
//! and at intervals that grow while no answer has ever come, so that a service that answers one after another
//! is not kept busy with repetitions.

use fastrand::Rng;

use crate::policy::random::Jitter;
use crate::settings::{ListDelivery, Settings};
use crate::time::{LocalInstant, Span};

/// Longest mean backoff: the list must be current within 6 s after discovery has recovered.
const MAX_BACKOFF: Span = Span::from_secs(0.8);
/// Half of the first backoff, as a share of the longest watch gap. Each consecutive failure doubles the
/// backoff.
const BACKOFF_BASE_SHARE: f64 = 1.0 / 64.0;
/// A request to a shared service that gets no response is repeated after this time.
const SHARED_SERVICE_TIMEOUT: Span = Span::from_secs(4.0);
/// Limit of the request counter. The time between two requests is at its longest before that.
const MAX_COUNTED_REQUESTS: i32 = 8;
/// Limit of the failure counter. The backoff reaches its longest duration before that.
const MAX_COUNTED_FAILURES: i32 = 8;
/// Mean time from a request to the local agent that fails or gets no answer to the next one, as a share of
/// the drain grace. The agent may be reachable only briefly between two outages.
const AGENT_RETRY_SHARE: f64 = 1.0 / 20.0;
/// Longest such time, as a share of the drain grace, for an agent that takes long to answer.
const MAX_AGENT_RETRY_SHARE: f64 = 1.0 / 4.0;
/// Time between two requests to the agent, as a share of the time that it takes to answer one.
const ANSWER_TIME_SHARE: f64 = 1.0 / 2.0;
/// Shortest time between two requests to the agent, so that a short grace does not turn into a busy loop.
const MIN_AGENT_INTERVAL: Span = Span::from_secs(0.01);

/// Whether an event has changed the state of the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchChange {
    Unchanged,
    /// The watch was lost or restored.
    Changed,
}

/// State of the watch.
#[derive(Default)]
pub(crate) struct Watch {
    is_open: bool,
    next_request_at: LocalInstant,
    consecutive_failures: i32,
    /// Requests since the last answer or failure.
    unanswered_requests: i32,
    /// The shortest time in which the service has begun an answer. Longer ones may contain an outage.
    shortest_answer_time: Option<Span>,
}

impl Watch {
    /// Returns when the next request is due, or `None` while the watch is open.
    pub(crate) fn next_request_at(&self) -> Option<LocalInstant> {
        (!self.is_open).then_some(self.next_request_at)
    }

    /// Returns `true` if the watch has to be requested now. The next request is then due after the time limit
    /// for an answer, or earlier if this one fails.
    pub(crate) fn request_if_due(&mut self, settings: &Settings, now: LocalInstant) -> bool {
        let answer_timeout = match settings.list_delivery {
            ListDelivery::Unrequested => return false,
            ListDelivery::SharedService => SHARED_SERVICE_TIMEOUT,
            ListDelivery::LocalAgent => self.agent_interval(settings),
        };
        if self.is_open || now < self.next_request_at {
            return false;
        }
        self.next_request_at = now + answer_timeout;
        self.unanswered_requests = (self.unanswered_requests + 1).min(MAX_COUNTED_REQUESTS);
        true
    }

    /// Records that the watch could not be started or was interrupted. The current list stays in force.
    pub(crate) fn record_failure(
        &mut self,
        settings: &Settings,
        now: LocalInstant,
        rng: &mut Rng,
    ) -> WatchChange {
        self.is_open = false;
        self.unanswered_requests = 0;
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_COUNTED_FAILURES);
        let pause = match settings.list_delivery {
            ListDelivery::LocalAgent => self.agent_interval(settings),
            ListDelivery::SharedService | ListDelivery::Unrequested => self.backoff(settings),
        };
        self.next_request_at = now + Jitter::EARLY.apply(pause, rng);
        if self.consecutive_failures == 1 {
            WatchChange::Changed
        } else {
            WatchChange::Unchanged
        }
    }

    fn backoff(&self, settings: &Settings) -> Span {
        let doublings = f64::from(1 << self.consecutive_failures);
        (settings.max_watch_gap * BACKOFF_BASE_SHARE * doublings).min(MAX_BACKOFF)
    }

    /// Returns the mean time between two requests to the local agent while the watch is not open.
    fn agent_interval(&self, settings: &Settings) -> Span {
        let shortest = (settings.drain_grace * AGENT_RETRY_SHARE).clamp(MIN_AGENT_INTERVAL, MAX_BACKOFF);
        let longest = (settings.drain_grace * MAX_AGENT_RETRY_SHARE).clamp(shortest, MAX_BACKOFF);
        let interval = match self.shortest_answer_time {
            Some(answer_time) => answer_time * ANSWER_TIME_SHARE,
            None => shortest * f64::from(1 << self.unanswered_requests),
        };
        interval.clamp(shortest, longest)
    }

    /// Records how long the service took to begin an answer.
    pub(crate) fn record_answer_time(&mut self, answer_time: Span) {
        let shortest = self.shortest_answer_time.unwrap_or(answer_time);
        self.shortest_answer_time = Some(shortest.min(answer_time));
    }

    /// Records that the service has moved, so that the watch has to be requested at its new address now.
    pub(crate) fn record_move(&mut self, now: LocalInstant) {
        self.is_open = false;
        self.next_request_at = now;
        self.unanswered_requests = 0;
        self.shortest_answer_time = None;
    }

    /// Records that the service has answered a request, or has sent an update.
    pub(crate) fn record_answer(&mut self) -> WatchChange {
        self.is_open = true;
        self.unanswered_requests = 0;
        if std::mem::take(&mut self.consecutive_failures) > 0 {
            WatchChange::Changed
        } else {
            WatchChange::Unchanged
        }
    }
}

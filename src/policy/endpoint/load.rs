//! The load of an endpoint as this pooler sees it.

use crate::time::{LocalInstant, Span};

/// Highest latency ratio of a single sample, which limits the influence of extreme samples.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Lowest latency ratio with which a latency is predicted.
const MIN_PREDICTED_RATIO: f64 = 0.5;
/// Weight of a new sample in running means, which so cover about ten answers.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The requests that this pooler has in flight at an endpoint, and how fast it answers.
pub(crate) struct EndpointLoad {
    in_flight: u32,
    /// Abandoned attempts that may still be executed: they count as load until these times.
    abandoned_until: Vec<LocalInstant>,
    /// Running mean of the requests in flight when one more was sent.
    usual_in_flight: f64,
    /// Running mean of the latency over what the class takes elsewhere.
    latency_ratio: f64,
    last_sent_at: Option<LocalInstant>,
}

impl Default for EndpointLoad {
    fn default() -> EndpointLoad {
        EndpointLoad {
            in_flight: 0,
            abandoned_until: Vec::new(),
            usual_in_flight: 0.0,
            latency_ratio: 1.0,
            last_sent_at: None,
        }
    }
}

impl EndpointLoad {
    /// Notes that an attempt was sent.
    pub(crate) fn attempt_sent(&mut self, now: LocalInstant) {
        self.usual_in_flight += SAMPLE_WEIGHT * (f64::from(self.in_flight) - self.usual_in_flight);
        self.in_flight += 1;
        self.last_sent_at = Some(now);
    }

    /// Notes that an attempt has ended.
    pub(crate) fn attempt_ended(&mut self, now: LocalInstant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.abandoned_until.retain(|until| *until > now);
    }

    /// Counts an attempt that has ended as load for some time more.
    pub(crate) fn count_abandoned(&mut self, until: LocalInstant) {
        self.abandoned_until.push(until);
    }

    /// Takes a measured latency over that of its class into the running mean.
    pub(crate) fn sample_latency(&mut self, latency: Span, class_mean: Span) {
        let ratio = (latency / class_mean).min(MAX_LATENCY_RATIO);
        self.latency_ratio += SAMPLE_WEIGHT * (ratio - self.latency_ratio);
    }

    /// Forgets how fast the endpoint answered before it was ejected.
    pub(crate) fn forget_latency(&mut self) {
        self.latency_ratio = 1.0;
    }

    /// Attempts in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Attempts in flight, abandoned ones included.
    pub(crate) fn total(&self, now: LocalInstant) -> u32 {
        let abandoned = self.abandoned_until.iter().filter(|until| **until > now).count();
        self.in_flight + abandoned as u32
    }

    /// Expected latency of one more request, where the class takes this time on the mean of all endpoints: in
    /// proportion to the endpoint's latency so far, and to its load over its usual one.
    pub(crate) fn predict_latency(&self, class_mean: Span, now: LocalInstant) -> Span {
        let load_factor = (f64::from(self.total(now)) + 1.0) / (self.usual_in_flight + 1.0);
        class_mean * self.latency_ratio.max(MIN_PREDICTED_RATIO) * load_factor.max(1.0)
    }

    /// When the last attempt was sent.
    pub(crate) fn last_sent_at(&self) -> Option<LocalInstant> {
        self.last_sent_at
    }

    /// Attempts that count as load although they have ended.
    #[cfg(test)]
    pub(crate) fn abandoned(&self) -> usize {
        self.abandoned_until.len()
    }
}

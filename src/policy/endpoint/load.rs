//! Load and latency of an endpoint, as measured by this pooler.

use crate::time::{LocalInstant, Span};

/// Upper limit of the latency ratio of a single sample, which limits the influence of outliers.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Lower limit of the latency ratio in predictions.
const MIN_PREDICTED_RATIO: f64 = 0.5;
/// Weight of a new sample in the running means; they cover about ten samples.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The attempts that this pooler has in flight at an endpoint, and the relative latency of the endpoint.
pub(crate) struct EndpointLoad {
    in_flight: u32,
    /// Until when each abandoned or rejected attempt counts as load.
    abandoned_until: Vec<LocalInstant>,
    /// Running mean of the number of attempts in flight, sampled whenever one more is sent.
    mean_in_flight: f64,
    /// Running mean of the latency, relative to the mean latency of the request's class at all endpoints.
    latency_ratio: f64,
    last_sent_at: Option<LocalInstant>,
}

impl Default for EndpointLoad {
    fn default() -> EndpointLoad {
        EndpointLoad {
            in_flight: 0,
            abandoned_until: Vec::new(),
            mean_in_flight: 0.0,
            latency_ratio: 1.0,
            last_sent_at: None,
        }
    }
}

impl EndpointLoad {
    /// Records that an attempt was sent.
    pub(crate) fn record_attempt_sent(&mut self, now: LocalInstant) {
        self.mean_in_flight += SAMPLE_WEIGHT * (f64::from(self.in_flight) - self.mean_in_flight);
        self.in_flight += 1;
        self.last_sent_at = Some(now);
    }

    /// Records that an attempt ended.
    pub(crate) fn record_attempt_ended(&mut self, now: LocalInstant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.abandoned_until.retain(|until| *until > now);
    }

    /// Adds an attempt that has ended but counts as load until the given time.
    pub(crate) fn add_abandoned_attempt(&mut self, until: LocalInstant) {
        self.abandoned_until.push(until);
    }

    /// Adds a latency, relative to the mean of its class, to the running mean.
    pub(crate) fn record_latency(&mut self, latency: Span, class_mean: Span) {
        let ratio = (latency / class_mean).min(MAX_LATENCY_RATIO);
        self.latency_ratio += SAMPLE_WEIGHT * (ratio - self.latency_ratio);
    }

    /// Discards the latencies that were measured before an ejection.
    pub(crate) fn reset_latency_ratio(&mut self) {
        self.latency_ratio = 1.0;
    }

    /// Returns the number of attempts in flight, without abandoned ones.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of attempts in flight, including abandoned ones that still count as load.
    pub(crate) fn in_flight_and_abandoned(&self, now: LocalInstant) -> u32 {
        let abandoned = self.abandoned_until.iter().filter(|until| **until > now).count();
        self.in_flight + abandoned as u32
    }

    /// Predicts the latency of one more request of a class whose mean latency at all endpoints is
    /// `class_mean`. The prediction is proportional to the latency ratio of the endpoint, and to its current
    /// load relative to its mean load if that is above 1.
    pub(crate) fn predict_latency(&self, class_mean: Span, now: LocalInstant) -> Span {
        let load_factor = (f64::from(self.in_flight_and_abandoned(now)) + 1.0) / (self.mean_in_flight + 1.0);
        class_mean * self.latency_ratio.max(MIN_PREDICTED_RATIO) * load_factor.max(1.0)
    }

    pub(crate) fn last_sent_at(&self) -> Option<LocalInstant> {
        self.last_sent_at
    }

    /// Returns the number of abandoned attempts that are kept, whether or not they still count as load.
    #[cfg(test)]
    pub(crate) fn abandoned_count(&self) -> usize {
        self.abandoned_until.len()
    }
}

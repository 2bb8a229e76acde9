//! Running estimate of a latency.

use crate::time::Span;

/// Exponentially weighted means of a latency and of its deviation from the mean.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyEstimator {
    pub mean: Span,
    pub deviation: Span,
}

impl LatencyEstimator {
    /// An estimate to begin with; its deviation is as large as its mean.
    pub fn new(initial: Span) -> Self {
        LatencyEstimator { mean: initial, deviation: initial }
    }

    /// Takes in a measurement, which has this weight against all earlier ones.
    pub fn record(&mut self, latency: Span, weight: f64) {
        self.deviation += weight * ((latency - self.mean).abs() - self.deviation);
        self.mean += weight * (latency - self.mean);
    }

    /// The mean plus so many deviations.
    pub fn upper(&self, deviations: f64) -> Span {
        self.mean + deviations * self.deviation
    }
}

//! A running estimate of a latency, as TCP keeps one of its round-trip time (RFC 6298).

use crate::time::Span;

/// Exponentially weighted means of a latency and of its deviation from the mean.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyEstimator {
    mean: Span,
    deviation: Span,
}

impl LatencyEstimator {
    /// An estimate to begin with; its deviation is as large as its mean.
    pub(crate) fn new(initial: Span) -> LatencyEstimator {
        LatencyEstimator { mean: initial, deviation: initial }
    }

    /// Takes in a measurement, which has this weight against all earlier ones.
    pub(crate) fn record(&mut self, latency: Span, weight: f64) {
        self.deviation += weight * ((latency - self.mean).abs() - self.deviation);
        self.mean += weight * (latency - self.mean);
    }

    /// The mean latency.
    pub(crate) fn mean(&self) -> Span {
        self.mean
    }

    /// The mean deviation from the mean latency.
    pub(crate) fn deviation(&self) -> Span {
        self.deviation
    }

    /// The mean plus so many deviations.
    pub(crate) fn upper_bound(&self, deviations: f64) -> Span {
        self.mean + deviations * self.deviation
    }
}

#[cfg(test)]
mod tests;

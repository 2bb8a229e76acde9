//! Latency estimation by exponentially weighted moving averages, as TCP estimates its round-trip time
//! (RFC 6298).

use crate::time::Span;

/// Exponentially weighted moving averages of a latency and of its absolute deviation from the mean.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyEstimator {
    mean: Span,
    deviation: Span,
}

impl LatencyEstimator {
    /// Creates an estimate whose mean and deviation are both `initial`.
    pub(crate) fn new(initial: Span) -> LatencyEstimator {
        LatencyEstimator { mean: initial, deviation: initial }
    }

    /// Adds a sample; `weight` is its weight relative to all earlier samples, from 0 to 1.
    pub(crate) fn record(&mut self, latency: Span, weight: f64) {
        self.deviation += weight * ((latency - self.mean).abs() - self.deviation);
        self.mean += weight * (latency - self.mean);
    }

    pub(crate) fn mean(&self) -> Span {
        self.mean
    }

    pub(crate) fn deviation(&self) -> Span {
        self.deviation
    }

    /// Returns the mean plus `deviations` times the deviation.
    pub(crate) fn upper_bound(&self, deviations: f64) -> Span {
        self.mean + deviations * self.deviation
    }
}

#[cfg(test)]
mod tests;

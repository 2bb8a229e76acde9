//! Running estimate of a latency.

/// Exponentially weighted means of a latency and of its deviation from the mean.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyEstimator {
    pub mean: f64,
    pub deviation: f64,
}

impl LatencyEstimator {
    /// An estimate to begin with; its deviation is as large as its mean.
    pub fn new(initial: f64) -> Self {
        LatencyEstimator { mean: initial, deviation: initial }
    }

    /// Takes in a measurement, which has this weight against all earlier ones.
    pub fn record(&mut self, latency: f64, weight: f64) {
        self.deviation += weight * ((latency - self.mean).abs() - self.deviation);
        self.mean += weight * (latency - self.mean);
    }

    /// The mean plus so many deviations.
    pub fn upper(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }
}

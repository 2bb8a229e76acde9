//! Random choices: jitter of intervals, and the power of two choices.

use fastrand::Rng;

use crate::time::Span;

/// A range of random factors. Poolers multiply their intervals by one so that they do not act in step.
pub(crate) struct Jitter {
    min: f64,
    width: f64,
}

impl Jitter {
    /// From half the interval to one and a half of it.
    pub(crate) const WIDE: Jitter = Jitter { min: 0.5, width: 1.0 };
    /// From three quarters of the interval to one and a quarter of it.
    pub(crate) const NARROW: Jitter = Jitter { min: 0.75, width: 0.5 };
    /// From half the interval to one and a quarter of it: rather early, for what must not be late.
    pub(crate) const EARLY: Jitter = Jitter { min: 0.5, width: 0.75 };

    /// The interval times a random factor.
    pub(crate) fn apply(&self, interval: Span, rng: &mut Rng) -> Span {
        interval * (self.min + self.width * rng.f64())
    }
}

/// The power of two random choices: two candidates are drawn, and the better one is taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TwoChoices {
    first: usize,
    second: usize,
}

impl TwoChoices {
    /// Draws both numbers.
    pub(crate) fn draw(rng: &mut Rng) -> TwoChoices {
        TwoChoices { first: rng.usize(..), second: rng.usize(..) }
    }

    /// Two different indices below `len`; the same index twice if there is only one.
    pub(crate) fn indices(self, len: usize) -> Option<[usize; 2]> {
        let last = len.checked_sub(1)?;
        let first = self.first % len;
        let second = self.second % last.max(1);
        let second = if second >= first { (second + 1).min(last) } else { second };
        Some([first, second])
    }
}

#[cfg(test)]
mod tests;

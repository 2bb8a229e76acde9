//! Randomized choices: jitter of intervals, and the power of two random choices.

use fastrand::Rng;

use crate::time::Span;

/// A range of random factors for intervals, which keeps poolers from acting in lockstep.
pub(crate) struct Jitter {
    min: f64,
    width: f64,
}

impl Jitter {
    /// From 0.5 to 1.5 times the interval.
    pub(crate) const WIDE: Jitter = Jitter { min: 0.5, width: 1.0 };
    /// From 0.75 to 1.25 times the interval.
    pub(crate) const NARROW: Jitter = Jitter { min: 0.75, width: 0.5 };
    /// From 0.5 to 1.25 times the interval: skewed to early times, for actions that must not be late.
    pub(crate) const EARLY: Jitter = Jitter { min: 0.5, width: 0.75 };

    /// Returns the interval multiplied by a random factor of the range.
    pub(crate) fn apply(&self, interval: Span, rng: &mut Rng) -> Span {
        interval * (self.min + self.width * rng.f64())
    }
}

/// The power of two random choices: two random candidates are compared, and the better one is selected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TwoChoices {
    first: usize,
    second: usize,
}

impl TwoChoices {
    pub(crate) fn draw(rng: &mut Rng) -> TwoChoices {
        TwoChoices { first: rng.usize(..), second: rng.usize(..) }
    }

    /// Returns two different indices below `len`, the same index twice if `len` is 1, or `None` if it is 0.
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

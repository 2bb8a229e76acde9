//! Random choices: jitter of intervals, and the two candidates of a choice.

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

/// Two random numbers, from which a choice between two candidates is made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PairOfDraws {
    first: usize,
    second: usize,
}

impl PairOfDraws {
    /// Draws both numbers.
    pub(crate) fn draw(rng: &mut Rng) -> PairOfDraws {
        PairOfDraws { first: rng.usize(..), second: rng.usize(..) }
    }

    /// Two different places below `len`; the same place twice if there is only one.
    pub(crate) fn places(self, len: usize) -> Option<[usize; 2]> {
        let last = len.checked_sub(1)?;
        let first = self.first % len;
        let second = self.second % last.max(1);
        let second = if second >= first { (second + 1).min(last) } else { second };
        Some([first, second])
    }
}

#[cfg(test)]
mod tests;

//! The time types of the policy. Instants on the pooler's clock, instants on the endpoints' clock and time
//! spans have different types, so that the compiler rejects code that mixes them up.
//!
//! All three types hold seconds as `f64` and compare as such. They are never NaN: numbers from outside are
//! checked on input.

use std::cmp::Ordering;
use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A length of time in seconds; negative if a later instant was subtracted from an earlier one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Span(f64);

/// An instant on the pooler's clock, which is monotonic.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalInstant(f64);

/// An instant on the clock of the endpoints, in Unix seconds. Times of commits and of endpoint starts have
/// this type.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClusterInstant(f64);

/// A position in the replication log: the time of the last commit that was applied, not an LSN.
pub type LogPosition = ClusterInstant;

macro_rules! impl_seconds {
    ($($type:ident),*) => {$(
        impl $type {
            /// Creates a value from a number of seconds.
            pub const fn from_secs(seconds: f64) -> $type {
                $type(seconds)
            }

            /// Returns the number of seconds.
            pub const fn as_secs(self) -> f64 {
                self.0
            }
        }

        impl PartialEq for $type {
            fn eq(&self, other: &$type) -> bool {
                self.0 == other.0
            }
        }

        impl Eq for $type {}

        // The operators are implemented directly, without `cmp`, because they are used for every request.
        impl PartialOrd for $type {
            fn partial_cmp(&self, other: &$type) -> Option<Ordering> {
                Some(self.cmp(other))
            }

            fn lt(&self, other: &$type) -> bool {
                self.0 < other.0
            }

            fn le(&self, other: &$type) -> bool {
                self.0 <= other.0
            }

            fn gt(&self, other: &$type) -> bool {
                self.0 > other.0
            }

            fn ge(&self, other: &$type) -> bool {
                self.0 >= other.0
            }
        }

        impl Ord for $type {
            fn cmp(&self, other: &$type) -> Ordering {
                self.0.partial_cmp(&other.0).unwrap_or(Ordering::Equal)
            }

            fn max(self, other: $type) -> $type {
                $type(self.0.max(other.0))
            }

            fn min(self, other: $type) -> $type {
                $type(self.0.min(other.0))
            }
        }

        impl Add<Span> for $type {
            type Output = $type;

            fn add(self, span: Span) -> $type {
                $type(self.0 + span.0)
            }
        }

        impl Sub<Span> for $type {
            type Output = $type;

            fn sub(self, span: Span) -> $type {
                $type(self.0 - span.0)
            }
        }
    )*};
}

impl_seconds!(Span, LocalInstant, ClusterInstant);

macro_rules! impl_instant_difference {
    ($($type:ident),*) => {$(
        impl Sub for $type {
            type Output = Span;

            fn sub(self, earlier: $type) -> Span {
                Span(self.0 - earlier.0)
            }
        }
    )*};
}

impl_instant_difference!(LocalInstant, ClusterInstant);

impl Span {
    /// A span of zero seconds.
    pub const ZERO: Span = Span(0.0);

    /// Returns the absolute value.
    pub fn abs(self) -> Span {
        Span(self.0.abs())
    }
}

impl LocalInstant {
    /// The zero of the clock, which precedes all events.
    pub const EPOCH: LocalInstant = LocalInstant(0.0);

    /// Converts to the endpoints' clock, which is ahead of the pooler's clock by `offset`.
    pub fn to_cluster_instant(self, offset: Span) -> ClusterInstant {
        ClusterInstant(self.0 + offset.0)
    }
}

impl ClusterInstant {
    /// Converts to the pooler's clock, which is behind the endpoints' clock by `offset`.
    pub fn to_local_instant(self, offset: Span) -> LocalInstant {
        LocalInstant(self.0 - offset.0)
    }

    /// Returns how far the endpoints' clock is ahead of the pooler's, if they show `self` and `local` at the
    /// same time.
    pub fn offset_from(self, local: LocalInstant) -> Span {
        Span(self.0 - local.0)
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        self.0 += other.0;
    }
}

impl Mul<f64> for Span {
    type Output = Span;

    fn mul(self, factor: f64) -> Span {
        Span(self.0 * factor)
    }
}

impl Mul<Span> for f64 {
    type Output = Span;

    fn mul(self, span: Span) -> Span {
        Span(self * span.0)
    }
}

impl Div<f64> for Span {
    type Output = Span;

    fn div(self, divisor: f64) -> Span {
        Span(self.0 / divisor)
    }
}

impl Div for Span {
    type Output = f64;

    fn div(self, other: Span) -> f64 {
        self.0 / other.0
    }
}

#[cfg(test)]
pub(crate) mod tests;

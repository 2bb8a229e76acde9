//! Times of the policy. An instant on the pooler's clock, an instant on the endpoints' clock and a
//! span of time are types of their own, so that the compiler rejects a mix-up.
//!
//! All of them count seconds in double precision, and are compared as such. None of them is ever NaN: numbers
//! from outside are checked where they come in.

use std::cmp::Ordering;
use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A length of time in seconds; negative where a later instant is subtracted from an earlier one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Span(f64);

/// An instant on the pooler's own clock, which is monotonic.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalInstant(f64);

/// An instant on the clock of the endpoints (Unix seconds), by which commits and starts are dated.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClusterInstant(f64);

/// A position in the replication log, given by the time of the last commit that was applied (not by an LSN).
pub type LogPosition = ClusterInstant;

macro_rules! number_of_seconds {
    ($($type:ident),*) => {$(
        impl $type {
            /// The value of so many seconds.
            pub const fn from_secs(seconds: f64) -> $type {
                $type(seconds)
            }

            /// The value in seconds.
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

        // The operators compare the numbers at once: they stand on the path of each request.
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

number_of_seconds!(Span, LocalInstant, ClusterInstant);

macro_rules! instant {
    ($($type:ident),*) => {$(
        impl Sub for $type {
            type Output = Span;

            fn sub(self, earlier: $type) -> Span {
                Span(self.0 - earlier.0)
            }
        }
    )*};
}

instant!(LocalInstant, ClusterInstant);

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0.0);

    /// The length without its sign.
    pub fn abs(self) -> Span {
        Span(self.0.abs())
    }
}

impl LocalInstant {
    /// The zero of the clock: before everything that happens.
    pub const EPOCH: LocalInstant = LocalInstant(0.0);

    /// The instant on the endpoints' clock, which is ahead of the pooler's by this offset.
    pub fn to_cluster(self, offset: Span) -> ClusterInstant {
        ClusterInstant(self.0 + offset.0)
    }
}

impl ClusterInstant {
    /// The instant on the pooler's clock, which is behind the endpoints' by this offset.
    pub fn to_local(self, offset: Span) -> LocalInstant {
        LocalInstant(self.0 - offset.0)
    }

    /// How far the endpoints' clock is ahead if it shows this instant when the pooler's shows the other.
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

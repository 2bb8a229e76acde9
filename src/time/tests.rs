//! Tests of the time types, and short constructors for the tests of other modules.

use super::{ClusterInstant, LocalInstant, Span};

/// Returns a span of the given number of seconds.
pub(crate) const fn secs(seconds: f64) -> Span {
    Span::from_secs(seconds)
}

/// Returns the instant `seconds` after the zero of the pooler's clock.
pub(crate) const fn at(seconds: f64) -> LocalInstant {
    LocalInstant::from_secs(seconds)
}

/// Returns the instant `seconds` after the zero of the endpoints' clock.
pub(crate) const fn cluster_at(seconds: f64) -> ClusterInstant {
    ClusterInstant::from_secs(seconds)
}

#[test]
fn the_difference_of_instants_is_a_span_that_may_be_negative() {
    assert_eq!(at(3.0) - at(1.0), secs(2.0));
    assert_eq!(cluster_at(1.0) - cluster_at(3.0), secs(-2.0));
    assert_eq!(at(1.0) + secs(2.0) - secs(0.5), at(2.5));
}

#[test]
fn an_offset_converts_between_the_clocks() {
    let offset = cluster_at(103.0).offset_from(at(100.0));
    assert_eq!(offset, secs(3.0));
    assert_eq!(at(101.0).to_cluster_instant(offset), cluster_at(104.0));
    assert_eq!(cluster_at(104.0).to_local_instant(offset), at(101.0));
}

#[test]
fn spans_are_scaled_and_compared() {
    assert_eq!(secs(2.0) * 1.5, 1.5 * secs(2.0));
    assert_eq!(secs(3.0) / 2.0, secs(1.5));
    assert_eq!(secs(3.0) / secs(2.0), 1.5);
    assert_eq!(secs(-3.0).abs().max(secs(1.0)), secs(3.0));
    assert!(secs(f64::NEG_INFINITY) < secs(0.0) && secs(0.0) < secs(f64::INFINITY));
}

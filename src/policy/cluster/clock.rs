//! The endpoints' clock: how far it may differ from the pooler's, and which times on it are plausible.
//!
//! The clock of a machine may have been stepped before the pooler read it, so the two clocks may differ. No
//! endpoint can have applied commits from the future, and the log position of a primary is its current time,
//! so each response bounds the offset between the clocks. A write that was dropped as a repeat is answered
//! with the time of the earlier commit, which is a bound in one direction only.

use crate::time::{ClusterInstant, LocalInstant, LogPosition, Span};

/// How far a log position may lie in the future, to allow for rounding.
const POSITION_ROUNDING: Span = Span::from_secs(0.001);
/// Upper limit of the drift between the two clocks, as a share of the elapsed time.
const MAX_DRIFT: f64 = 200e-6;

/// A bound on the offset, and when it was measured.
#[derive(Clone, Copy, Debug)]
struct OffsetBound {
    offset: Span,
    measured_at: LocalInstant,
}

/// The upper end of an interval without an upper bound.
const UNBOUNDED: Span = Span::from_secs(f64::INFINITY);

/// The interval in which the offset lies according to the response of a primary.
#[derive(Clone, Copy, Debug)]
struct OffsetInterval {
    min: Span,
    /// [`UNBOUNDED`] if the response tells only a past time.
    max: Span,
}

impl OffsetInterval {
    /// Returns `true` if the two intervals have an offset in common.
    fn overlaps(&self, other: &OffsetInterval) -> bool {
        self.min <= other.max && other.min <= self.max
    }
}

/// The endpoints' clock, on which log positions and the start times of endpoints are given.
///
/// It is ahead of the pooler's clock by an offset that is known within bounds. The pooler's clock runs at a
/// steady rate, but the system time from which it started may have been wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClusterClock {
    /// Whether the pooler reads the same clock as the endpoints, so that the offset is zero.
    is_shared: bool,
    min_offset: Option<OffsetBound>,
    max_offset: Option<OffsetBound>,
    /// The latest measurement that contradicts the bounds. It replaces them once another one confirms it.
    contradiction: Option<OffsetInterval>,
}

impl ClusterClock {
    /// Creates a clock with an unknown offset, or with offset zero if it is shared with the pooler.
    pub(crate) const fn new(is_shared: bool) -> ClusterClock {
        ClusterClock { is_shared, min_offset: None, max_offset: None, contradiction: None }
    }

    /// Records a time that the endpoints' clock had reached when it was received. Only responses of primaries
    /// can show that the pooler's clock is behind: otherwise a single wrong time would be taken for the
    /// current time.
    pub(crate) fn observe_past_time(&mut self, time: ClusterInstant, received_at: LocalInstant) {
        let offset = (time - POSITION_ROUNDING).offset_from(received_at);
        let max_offset = self.known_max_offset(received_at).unwrap_or_default();
        if !self.is_shared && offset.as_secs().is_finite() {
            self.raise_min_offset(offset.min(max_offset), received_at);
        }
    }

    /// Records the log position in the response of a primary, which was the current time when the primary
    /// responded. A position that contradicts the known bounds, or the pooler's clock while there are none,
    /// is used only once a second one confirms it.
    pub(crate) fn observe_current_time(
        &mut self,
        time: ClusterInstant,
        sent_at: LocalInstant,
        received_at: LocalInstant,
    ) {
        let min = (time - POSITION_ROUNDING).offset_from(received_at);
        let max = (time + POSITION_ROUNDING).offset_from(sent_at);
        self.observe(OffsetInterval { min, max }, received_at);
    }

    /// Records the commit time in the response of a primary to a write that may have been a repeat: the
    /// commit may be older than the request. A time that contradicts the known bounds is used only once
    /// another response confirms it.
    pub(crate) fn observe_commit(&mut self, time: ClusterInstant, received_at: LocalInstant) {
        let min = (time - POSITION_ROUNDING).offset_from(received_at);
        self.observe(OffsetInterval { min, max: UNBOUNDED }, received_at);
    }

    fn observe(&mut self, measured: OffsetInterval, received_at: LocalInstant) {
        if self.is_shared || !measured.min.as_secs().is_finite() {
            return;
        }
        if !self.known_interval(received_at).overlaps(&measured) {
            let is_confirmed = self.contradiction.is_some_and(|earlier| earlier.overlaps(&measured));
            if !is_confirmed {
                self.contradiction = Some(measured);
                return;
            }
            *self = ClusterClock::new(false);
        }
        self.raise_min_offset(measured.min, received_at);
        // A past time cannot show that a later clock was wrong.
        if measured.max == UNBOUNDED {
            return;
        }
        self.contradiction = None;
        if self.known_max_offset(received_at).is_none_or(|known| measured.max < known) {
            self.max_offset = Some(OffsetBound { offset: measured.max, measured_at: received_at });
        }
    }

    fn raise_min_offset(&mut self, offset: Span, now: LocalInstant) {
        if self.known_min_offset(now).is_none_or(|known| offset > known) {
            self.min_offset = Some(OffsetBound { offset, measured_at: now });
        }
    }

    /// Returns the lower bound of the offset at `now`, if there is one, widened by the drift since it was
    /// measured.
    fn known_min_offset(&self, now: LocalInstant) -> Option<Span> {
        if self.is_shared {
            return Some(Span::ZERO);
        }
        self.min_offset.map(|bound| bound.offset - MAX_DRIFT * (now - bound.measured_at))
    }

    /// Returns the upper bound of the offset at `now`, if there is one, widened by the drift since it was
    /// measured.
    fn known_max_offset(&self, now: LocalInstant) -> Option<Span> {
        if self.is_shared {
            return Some(Span::ZERO);
        }
        self.max_offset.map(|bound| bound.offset + MAX_DRIFT * (now - bound.measured_at))
    }

    /// Returns the offsets that are consistent with the responses of primaries; only zero while there are
    /// none, or only such with past times that allow it.
    fn known_interval(&self, now: LocalInstant) -> OffsetInterval {
        let Some(max) = self.known_max_offset(now) else {
            let min = self.known_min_offset(now).unwrap_or_default().max(Span::ZERO);
            return OffsetInterval { min, max: if min > Span::ZERO { UNBOUNDED } else { Span::ZERO } };
        };
        OffsetInterval { min: self.known_min_offset(now).unwrap_or(max), max }
    }

    /// Returns the estimated offset: the one nearest to zero that the responses of primaries allow. Responses
    /// of replicas alone are not used, since a low position may be due to lag as well as to a wrong clock.
    fn estimated_offset(&self, now: LocalInstant) -> Span {
        let Some(max) = self.known_max_offset(now) else { return self.known_interval(now).min };
        let min = self.known_min_offset(now).unwrap_or_default();
        Span::ZERO.min(max).max(min)
    }

    /// Returns the latest possible time on the endpoints' clock at `now`, if it is bounded.
    pub(crate) fn latest(&self, now: LocalInstant) -> Option<ClusterInstant> {
        self.known_max_offset(now).map(|offset| now.to_cluster_instant(offset))
    }

    /// Returns the earliest possible time on the endpoints' clock at `now`, if it is bounded.
    pub(crate) fn earliest(&self, now: LocalInstant) -> Option<ClusterInstant> {
        self.known_min_offset(now).map(|offset| now.to_cluster_instant(offset))
    }

    /// Returns the estimated time on the endpoints' clock at `now`.
    pub(crate) fn estimate(&self, now: LocalInstant) -> ClusterInstant {
        now.to_cluster_instant(self.estimated_offset(now))
    }

    /// Converts a time on the endpoints' clock to the pooler's clock, by the offset as estimated at `now`.
    pub(crate) fn to_local_instant(self, time: ClusterInstant, now: LocalInstant) -> LocalInstant {
        time.to_local_instant(self.estimated_offset(now))
    }

    /// Returns `true` if a log position is finite and may have been reached by `now`.
    pub(crate) fn is_plausible(&self, position: LogPosition, now: LocalInstant) -> bool {
        let max_offset = self.known_max_offset(now).unwrap_or_else(|| self.estimated_offset(now));
        position.as_secs().is_finite() && position <= now.to_cluster_instant(max_offset) + POSITION_ROUNDING
    }
}

#[cfg(test)]
mod tests;

//! The clock of the endpoints: which times on it are credible, and how far it may differ from the
//! pooler's.
//!
//! A machine's clock may have been stepped before the pooler read it. No endpoint has applied commits of the
//! future, and a primary stands at the present, so each answer bounds the offset between the two clocks.

use crate::time::{ClusterInstant, LocalInstant, LogPosition, Span};

/// How far a log position may lie in the future, for the sake of rounding.
const POSITION_ROUNDING: Span = Span::from_secs(0.001);
/// By how much two clocks may drift apart, as a share of the time that passes.
const MAX_DRIFT: f64 = 200e-6;

/// A bound on an offset, and when it was found.
#[derive(Clone, Copy, Debug)]
struct OffsetBound {
    offset: Span,
    found_at: LocalInstant,
}

/// What the answer of a primary shows of an offset: it lies between these.
#[derive(Clone, Copy, Debug)]
struct OffsetInterval {
    min: Span,
    max: Span,
}

impl OffsetInterval {
    /// Whether some offset lies in both intervals.
    fn overlaps(&self, other: &OffsetInterval) -> bool {
        self.min <= other.max && other.min <= self.max
    }
}

/// The clock of the endpoints, by which log positions and the start times of endpoints are given.
///
/// It is ahead of the pooler's own clock by an offset that is known within bounds. The pooler's own clock
/// runs evenly, but may have been wrong when it was read at the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClusterClock {
    /// The pooler reads the same clock as the endpoints: there is no offset.
    is_shared: bool,
    min_offset: Option<OffsetBound>,
    max_offset: Option<OffsetBound>,
    /// The latest evidence that contradicts the bounds. It replaces them once more evidence agrees with it.
    contradiction: Option<OffsetInterval>,
}

impl ClusterClock {
    /// A clock of which nothing is known but whether it is the pooler's own.
    pub(crate) const fn new(is_shared: bool) -> ClusterClock {
        ClusterClock { is_shared, min_offset: None, max_offset: None, contradiction: None }
    }

    /// Takes in a time that had been reached on the endpoints' clock when it was received. That the pooler's
    /// clock is behind is believed of primaries only: one wrong time would be taken for the present.
    pub(crate) fn observe_past_time(&mut self, time: ClusterInstant, received_at: LocalInstant) {
        let offset = (time - POSITION_ROUNDING).offset_from(received_at);
        let greatest = self.known_max_offset(received_at).unwrap_or_default();
        if !self.is_shared && offset.as_secs().is_finite() {
            self.raise_min_offset(offset.min(greatest), received_at);
        }
    }

    /// Takes in the log position in the answer of a primary, which stood at the present when it answered.
    /// An answer that contradicts what is known so far, or the pooler's clock at first, counts once a
    /// second agrees.
    pub(crate) fn observe_present_time(
        &mut self,
        time: ClusterInstant,
        sent_at: LocalInstant,
        received_at: LocalInstant,
    ) {
        let min = (time - POSITION_ROUNDING).offset_from(received_at);
        let max = (time + POSITION_ROUNDING).offset_from(sent_at);
        if self.is_shared || !min.as_secs().is_finite() {
            return;
        }
        let shown = OffsetInterval { min, max };
        if !self.known_interval(received_at).overlaps(&shown) {
            let is_confirmed = self.contradiction.is_some_and(|earlier| earlier.overlaps(&shown));
            if !is_confirmed {
                self.contradiction = Some(shown);
                return;
            }
            *self = ClusterClock::new(false);
        }
        self.contradiction = None;
        self.raise_min_offset(min, received_at);
        if self.known_max_offset(received_at).is_none_or(|known| max < known) {
            self.max_offset = Some(OffsetBound { offset: max, found_at: received_at });
        }
    }

    fn raise_min_offset(&mut self, offset: Span, now: LocalInstant) {
        if self.known_min_offset(now).is_none_or(|known| offset > known) {
            self.min_offset = Some(OffsetBound { offset, found_at: now });
        }
    }

    /// The least offset that the endpoints' clock may have at `now`, if there is evidence of it.
    fn known_min_offset(&self, now: LocalInstant) -> Option<Span> {
        if self.is_shared {
            return Some(Span::ZERO);
        }
        self.min_offset.map(|bound| bound.offset - MAX_DRIFT * (now - bound.found_at))
    }

    /// The greatest offset that the endpoints' clock may have at `now`, if there is evidence of it.
    fn known_max_offset(&self, now: LocalInstant) -> Option<Span> {
        if self.is_shared {
            return Some(Span::ZERO);
        }
        self.max_offset.map(|bound| bound.offset + MAX_DRIFT * (now - bound.found_at))
    }

    /// The offsets that agree with what primaries have shown; no offset but zero while they have shown
    /// nothing.
    fn known_interval(&self, now: LocalInstant) -> OffsetInterval {
        let Some(max) = self.known_max_offset(now) else {
            return OffsetInterval { min: Span::ZERO, max: Span::ZERO };
        };
        OffsetInterval { min: self.known_min_offset(now).unwrap_or(max), max }
    }

    /// The likely offset: zero, or the nearest offset to it that the evidence of primaries allows. Evidence
    /// of replicas alone shows how far they may lag, and not how far the clock is wrong.
    fn likely_offset(&self, now: LocalInstant) -> Span {
        let Some(max) = self.known_max_offset(now) else { return Span::ZERO };
        let min = self.known_min_offset(now).unwrap_or_default();
        Span::ZERO.min(max).max(min)
    }

    /// The latest time that it may be on the endpoints' clock at `now`, if there is evidence of it.
    pub(crate) fn latest(&self, now: LocalInstant) -> Option<ClusterInstant> {
        self.known_max_offset(now).map(|offset| now.to_cluster(offset))
    }

    /// The earliest time that it may be on the endpoints' clock at `now`, if there is evidence of it.
    pub(crate) fn earliest(&self, now: LocalInstant) -> Option<ClusterInstant> {
        self.known_min_offset(now).map(|offset| now.to_cluster(offset))
    }

    /// The time that it probably is on the endpoints' clock at `now`.
    pub(crate) fn estimate(&self, now: LocalInstant) -> ClusterInstant {
        now.to_cluster(self.likely_offset(now))
    }

    /// A time on the endpoints' clock in terms of the pooler's, as it probably is at `now`.
    pub(crate) fn to_local(self, time: ClusterInstant, now: LocalInstant) -> LocalInstant {
        time.to_local(self.likely_offset(now))
    }

    /// Whether a log position may have been reached by `now`.
    pub(crate) fn is_plausible(&self, position: LogPosition, now: LocalInstant) -> bool {
        let greatest = self.known_max_offset(now).unwrap_or_default();
        position.as_secs().is_finite() && position <= now.to_cluster(greatest) + POSITION_ROUNDING
    }
}

#[cfg(test)]
mod tests;

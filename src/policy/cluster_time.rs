//! The database hosts' clock: which times on it are credible, and how far it may differ from the pooler's.
//!
//! A machine's clock may have been stepped before the pooler read it. No host has applied commits of the
//! future, and a primary stands at the present, so each answer bounds the offset between the two clocks.

use super::Policy;
use crate::state::{ClusterClock, OffsetBound, OffsetInterval};
use crate::time::{ClusterInstant, LocalInstant, LogPosition, Span};

/// How far a log position may lie in the future, for the sake of rounding (seconds).
const POSITION_ROUNDING: Span = Span::from_secs(0.001);
/// By how much two clocks may drift apart, as a share of the time that passes.
const MAX_DRIFT: f64 = 200e-6;

impl ClusterClock {
    /// Takes in a time that had come on the hosts' clock when it was received. That the pooler's clock is
    /// behind is believed of primaries only: a single wrong time in the future would be taken for the
    /// present.
    pub(crate) fn observe_past_time(&mut self, time: ClusterInstant, received_at: LocalInstant) {
        let offset = (time - POSITION_ROUNDING).offset_from(received_at);
        let greatest = self.known_max_offset(received_at).unwrap_or_default();
        if !self.is_shared && offset.as_secs().is_finite() {
            self.raise_min_offset(offset.min(greatest), received_at);
        }
    }

    /// Takes in the log position in the answer of a primary, which stood at the present when it answered.
    ///
    /// An answer that contradicts what is known so far, or the pooler's clock while nothing is known, counts
    /// once a second one agrees with it.
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

    /// The least offset that the hosts' clock may have at `now`, if there is evidence of it.
    fn known_min_offset(&self, now: LocalInstant) -> Option<Span> {
        if self.is_shared {
            return Some(Span::ZERO);
        }
        self.min_offset.map(|bound| bound.offset - MAX_DRIFT * (now - bound.found_at))
    }

    /// The greatest offset that the hosts' clock may have at `now`, if there is evidence of it.
    fn known_max_offset(&self, now: LocalInstant) -> Option<Span> {
        if self.is_shared {
            return Some(Span::ZERO);
        }
        self.max_offset.map(|bound| bound.offset + MAX_DRIFT * (now - bound.found_at))
    }

    /// The offsets that agree with what primaries have shown; none at all while they have shown nothing.
    fn known_interval(&self, now: LocalInstant) -> OffsetInterval {
        let Some(max) = self.known_max_offset(now) else {
            return OffsetInterval { min: Span::ZERO, max: Span::ZERO };
        };
        OffsetInterval { min: self.known_min_offset(now).unwrap_or(max), max }
    }

    /// The likely offset: none, as far as the bounds allow that.
    fn likely_offset(&self, now: LocalInstant) -> Span {
        let max = self.known_max_offset(now).unwrap_or_default();
        // Evidence of replicas alone tells how far they may lag, and not how far the clock is wrong.
        let min = self.known_max_offset(now).and(self.known_min_offset(now)).unwrap_or_default();
        Span::ZERO.min(max).max(min)
    }

    /// The latest time that it may be on the hosts' clock at `now`.
    pub(crate) fn latest(&self, now: LocalInstant) -> ClusterInstant {
        now.to_cluster(self.known_max_offset(now).unwrap_or(Span::from_secs(f64::INFINITY)))
    }

    /// The earliest time that it may be on the hosts' clock at `now`.
    pub(crate) fn earliest(&self, now: LocalInstant) -> ClusterInstant {
        now.to_cluster(self.known_min_offset(now).unwrap_or(Span::from_secs(f64::NEG_INFINITY)))
    }

    /// The time that it probably is on the hosts' clock at `now`.
    pub(crate) fn likely(&self, now: LocalInstant) -> ClusterInstant {
        now.to_cluster(self.likely_offset(now))
    }

    /// A time on the hosts' clock in terms of the pooler's, as it probably is at `now`.
    pub(crate) fn to_local(self, time: ClusterInstant, now: LocalInstant) -> LocalInstant {
        time.to_local(self.likely_offset(now))
    }

    /// Whether a log position may have been reached by `now`.
    pub(crate) fn is_credible(&self, position: LogPosition, now: LocalInstant) -> bool {
        let greatest = self.known_max_offset(now).unwrap_or_default();
        position.as_secs().is_finite() && position <= now.to_cluster(greatest) + POSITION_ROUNDING
    }
}

impl Policy {
    /// The present on the hosts' clock, by which the age of data counts. Where hosts serve stale reads, it
    /// must not be too early; where they check reads themselves, a wrong guess costs no more than an attempt.
    pub(super) fn present_for_reads(&self, now: LocalInstant) -> ClusterInstant {
        if self.settings.stale_reads.is_checked() {
            self.clock.likely(now)
        } else {
            self.clock.latest(now)
        }
    }
}

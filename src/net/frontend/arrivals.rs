//! Records when the input of a connection was received.

use std::collections::VecDeque;
use std::time::Instant;

/// Maximum number of arrival times stored for one connection. Once it is reached, further bytes count as
/// received at the time of the last entry.
const MAX_ARRIVAL_TIMES: usize = 64;

/// One read from the socket.
struct Arrival {
    /// Total number of bytes received, including those of this read.
    end_offset: u64,
    received_at: Instant,
}

/// Arrival times of input that is not yet processed. A client may pipeline queries; the timeout of a query
/// includes the time that it waits behind earlier ones.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
}

impl ArrivalTimes {
    /// Records that a total of `total_received` bytes was received by `now`, of which `total_consumed` are
    /// processed.
    pub(super) fn record(&mut self, total_received: u64, total_consumed: u64, now: Instant) {
        self.drop_while(|arrival| arrival.end_offset <= total_consumed);
        if total_received == total_consumed {
            return;
        }
        let is_full = self.arrivals.len() >= MAX_ARRIVAL_TIMES;
        match self.arrivals.back_mut() {
            Some(last) if is_full => last.end_offset = total_received,
            Some(last) if last.end_offset == total_received => {}
            _ => self.arrivals.push_back(Arrival { end_offset: total_received, received_at: now }),
        }
    }

    /// Returns when the last of the first `total_consumed` bytes was received. Drops the entries of earlier
    /// bytes.
    pub(super) fn received_at(&mut self, total_consumed: u64) -> Option<Instant> {
        self.drop_while(|arrival| arrival.end_offset < total_consumed);
        self.arrivals.front().map(|arrival| arrival.received_at)
    }

    /// Forgets the bytes after the first `total_received`.
    pub(super) fn truncate(&mut self, total_received: u64) {
        let kept = self.arrivals.partition_point(|arrival| arrival.end_offset < total_received);
        self.arrivals.truncate(kept + 1);
        if let Some(last) = self.arrivals.back_mut() {
            last.end_offset = last.end_offset.min(total_received);
        }
    }

    fn drop_while(&mut self, is_outdated: impl Fn(&Arrival) -> bool) {
        while self.arrivals.front().is_some_and(&is_outdated) {
            self.arrivals.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;

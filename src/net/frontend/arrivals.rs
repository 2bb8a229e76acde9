//! Remembers when the bytes of a connection's input were received.

use std::collections::VecDeque;
use std::time::Instant;

/// Most arrival times stored for one connection. Later bytes count as received with the last of them.
const MAX_ARRIVAL_TIMES: usize = 64;

/// One read from the socket.
struct Arrival {
    /// Number of bytes received in total, those of this read included.
    end: u64,
    received_at: Instant,
}

/// Arrival times of input that is not processed yet. A client may send queries ahead: the timeout of a query
/// includes the time that it waits behind the others.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
}

impl ArrivalTimes {
    /// Records that the input has grown to `total_received` bytes by `now`, of which `total_consumed` are
    /// processed.
    pub(super) fn record(&mut self, total_received: u64, total_consumed: u64, now: Instant) {
        self.forget_while(|arrival| arrival.end <= total_consumed);
        if total_received == total_consumed {
            return;
        }
        let is_full = self.arrivals.len() >= MAX_ARRIVAL_TIMES;
        match self.arrivals.back_mut() {
            Some(last) if is_full => last.end = total_received,
            Some(last) if last.end == total_received => {}
            _ => self.arrivals.push_back(Arrival { end: total_received, received_at: now }),
        }
    }

    /// Returns when the last of the first `total_consumed` bytes was received.
    pub(super) fn received_at(&mut self, total_consumed: u64) -> Option<Instant> {
        self.forget_while(|arrival| arrival.end < total_consumed);
        self.arrivals.front().map(|arrival| arrival.received_at)
    }

    fn forget_while(&mut self, is_outdated: impl Fn(&Arrival) -> bool) {
        while self.arrivals.front().is_some_and(&is_outdated) {
            self.arrivals.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;

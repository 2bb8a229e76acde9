//! Counts how often the random events reach the states in which the invariants matter.

/// Minimum of each count, over all seeds of a test case.
const MIN_COUNT: usize = 25;

/// How often the policy took the actions that the invariants restrict.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    /// Requests whose first attempt was sent later than they were received.
    pub queued_requests: usize,
    /// Attempts sent after another one had ended.
    pub retries: usize,
    /// Attempts sent while another one was in flight.
    pub hedged_requests: usize,
    /// Repeats, inside the deduplication window, of writes that may have been executed.
    pub keyed_repeats: usize,
    /// Bounded and session reads sent to an endpoint other than the primary, if endpoints serve stale reads.
    pub reads_by_position: usize,
    /// Requests sent while an endpoint of their group was draining.
    pub sends_during_drain: usize,
    pub rejections: usize,
    pub failures: usize,
    /// Requests whose client disconnected while an attempt was in flight.
    pub disconnects_in_flight: usize,
}

impl Coverage {
    fn counts(&self) -> [(&'static str, usize); 9] {
        [
            ("queued requests", self.queued_requests),
            ("retries", self.retries),
            ("hedged requests", self.hedged_requests),
            ("keyed repeats", self.keyed_repeats),
            ("reads by position", self.reads_by_position),
            ("sends during a drain", self.sends_during_drain),
            ("rejections", self.rejections),
            ("failures", self.failures),
            ("disconnects in flight", self.disconnects_in_flight),
        ]
    }

    pub fn add(&mut self, other: &Coverage) {
        self.queued_requests += other.queued_requests;
        self.retries += other.retries;
        self.hedged_requests += other.hedged_requests;
        self.keyed_repeats += other.keyed_repeats;
        self.reads_by_position += other.reads_by_position;
        self.sends_during_drain += other.sends_during_drain;
        self.rejections += other.rejections;
        self.failures += other.failures;
        self.disconnects_in_flight += other.disconnects_in_flight;
    }

    pub fn assert_sufficient(&self) {
        for (name, count) in self.counts() {
            assert!(count >= MIN_COUNT, "only {count} {name}: {self:?}");
        }
    }
}

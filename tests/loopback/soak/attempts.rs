//! Records the attempts that the database hosts receive in a run, and checks them against the rules.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::Violations;

/// How long two consecutive attempts may appear to overlap, since the threads of the test may be scheduled
/// late.
const SCHEDULING_TOLERANCE: Duration = Duration::from_millis(500);
/// How long after the disconnect of its client an attempt may start. The pooler is allowed 0.1 s; the rest
/// compensates for threads of the test that are scheduled late.
const LATE_START_TOLERANCE: Duration = Duration::from_millis(400);

/// A query that a host has received.
struct Attempt {
    host: String,
    started_at: Instant,
    /// When it was answered or its connection was closed.
    ended_at: Option<Instant>,
    /// Whether the host rejected it, so that it certainly had no effect.
    is_rejected: bool,
}

/// What a client has recorded about its request.
struct ClientRecord {
    class: &'static str,
    /// When the client disconnected without waiting for the response.
    disconnected_at: Option<Instant>,
}

#[derive(Default)]
struct Records {
    attempts: HashMap<String, Vec<Attempt>>,
    clients: HashMap<String, ClientRecord>,
}

/// All attempts of a run, by request. Clones share the same records.
#[derive(Clone, Default)]
pub struct AttemptLog(Arc<Mutex<Records>>);

impl AttemptLog {
    /// Records that a host has received an attempt of a request. Returns the number of the attempt.
    pub fn record_start(&self, id: &str, host: &str) -> usize {
        let attempt =
            Attempt { host: host.into(), started_at: Instant::now(), ended_at: None, is_rejected: false };
        let mut records = self.0.lock().unwrap();
        let attempts = records.attempts.entry(id.into()).or_default();
        attempts.push(attempt);
        attempts.len() - 1
    }

    /// Records that an attempt has ended and whether the host rejected it. If an end is recorded repeatedly,
    /// the first time is kept.
    pub fn record_end(&self, id: &str, number: usize, is_rejected: bool) {
        let mut records = self.0.lock().unwrap();
        let attempt = &mut records.attempts.get_mut(id).unwrap()[number];
        attempt.ended_at.get_or_insert_with(Instant::now);
        attempt.is_rejected |= is_rejected;
    }

    pub fn record_request(&self, id: &str, class: &'static str) {
        self.0.lock().unwrap().clients.insert(id.into(), ClientRecord { class, disconnected_at: None });
    }

    pub fn record_disconnect(&self, id: &str) {
        let mut records = self.0.lock().unwrap();
        records.clients.get_mut(id).unwrap().disconnected_at = Some(Instant::now());
    }

    /// Checks all attempts, once no further ones can be received.
    pub fn check(&self, violations: &Violations, hedging: bool) {
        let records = self.0.lock().unwrap();
        for (id, attempts) in &records.attempts {
            let Some(client) = records.clients.get(id) else {
                violations.add(format!("{id}: received by a host but sent by no client"));
                continue;
            };
            let effective = attempts.iter().filter(|attempt| !attempt.is_rejected).count();
            if client.class == "once" && effective > 1 {
                violations.add(format!("{id}: may have been executed {effective} times"));
            }
            let allowed = if hedging { 2 } else { 1 };
            for attempt in attempts {
                let overlapping = attempts.iter().filter(|other| overlaps(other, attempt)).count();
                if overlapping > allowed {
                    violations.add(format!(
                        "{id}: {overlapping} attempts in flight when {} received one",
                        attempt.host
                    ));
                }
                let is_late =
                    |disconnected_at: Instant| attempt.started_at > disconnected_at + LATE_START_TOLERANCE;
                if client.disconnected_at.is_some_and(is_late) {
                    violations
                        .add(format!("{id}: received by {} after its client disconnected", attempt.host));
                }
            }
        }
    }
}

/// Returns `true` if `other` started no later than `attempt` and was still in flight well after that. An
/// attempt overlaps itself.
fn overlaps(other: &Attempt, attempt: &Attempt) -> bool {
    let is_earlier = other.started_at <= attempt.started_at;
    is_earlier && other.ended_at.is_none_or(|ended_at| ended_at > attempt.started_at + SCHEDULING_TOLERANCE)
        || std::ptr::eq(other, attempt)
}

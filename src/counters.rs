//! What the pooler counts.

use std::fmt;

use crate::interface::Outcome;

/// What was taken in, sent and answered since the start.
#[derive(Default)]
pub(crate) struct Counters {
    pub clients_accepted: u64,
    pub requests_received: u64,
    pub malformed: u64,
    /// Clients that did not ask, end a message or read in time.
    pub client_timeouts: u64,
    /// Clients whose connection was closed because it had rested for too long.
    pub idle_closed: u64,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    pub client_disconnects: u64,
    /// Of those gone, clients that asked for their query to be cancelled and stayed.
    pub cancel_requests: u64,
    pub attempts_sent: u64,
    pub health_checks_sent: u64,
    /// Answers that were none, what came behind an answer or without a request, and reports that could not be
    /// read.
    pub malformed_answers: u64,
    pub unsolicited_messages: u64,
    pub unreadable_reports: u64,
    pub backend_connects: u64,
    /// How attempts and probes ended, in the order of [`OUTCOMES`].
    pub attempt_outcomes: [u64; OUTCOMES.len()],
    pub health_check_outcomes: [u64; OUTCOMES.len()],
    pub endpoint_updates: u64,
    pub watch_failures: u64,
    /// Times that the configuration was read again, and that it could not be used.
    pub reloads: u64,
    pub reload_failures: u64,
}

const OUTCOMES: [(Outcome, &str); 10] = [
    (Outcome::Success, "success"),
    (Outcome::Error, "error"),
    (Outcome::Overloaded, "overloaded"),
    (Outcome::Timeout, "timeout"),
    (Outcome::ConnectFailed, "connect_failed"),
    (Outcome::ConnectionReset, "connection_reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "not_sent"),
    (Outcome::Ineligible, "ineligible"),
    (Outcome::InvalidRequest, "invalid_request"),
];

/// Counts one outcome in `counts`.
pub(crate) fn count(counts: &mut [u64; OUTCOMES.len()], outcome: Outcome) {
    if let Some(index) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
        counts[index] += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counters {
            clients_accepted,
            requests_received,
            malformed,
            served,
            rejected,
            failed,
            client_disconnects,
            ..
        } = self;
        write!(f, "clients_accepted={clients_accepted} requests_received={requests_received} malformed={malformed} served={served}")?;
        write!(f, " rejected={rejected} failed={failed} client_disconnects={client_disconnects} client_timeouts={} idle_closed={}", self.client_timeouts, self.idle_closed)?;
        write!(f, " backend_connects={} attempts_sent={}", self.backend_connects, self.attempts_sent)?;
        for ((_, name), count) in OUTCOMES.iter().zip(self.attempt_outcomes) {
            write!(f, " {name}={count}")?;
        }
        write!(f, " health_checks_sent={}", self.health_checks_sent)?;
        for ((_, name), count) in
            OUTCOMES.iter().zip(self.health_check_outcomes).filter(|(_, count)| *count > 0)
        {
            write!(f, " health_check_{name}={count}")?;
        }
        write!(
            f,
            " malformed_answers={} unsolicited_messages={} unreadable_reports={}",
            self.malformed_answers, self.unsolicited_messages, self.unreadable_reports
        )?;
        write!(f, " endpoint_updates={} watch_failures={}", self.endpoint_updates, self.watch_failures)?;
        write!(f, " reloads={} reload_failures={}", self.reloads, self.reload_failures)?;
        write!(f, " cancel_requests={}", self.cancel_requests)
    }
}

//! The counters of the pooler. `docs/logs-and-counters.md` describes them for operators.

use std::fmt;

use crate::interface::Outcome;

/// A counter's name on the printed line, and its value.
type NamedCount = (&'static str, u64);

/// Stands before the names of the outcomes of health checks.
const HEALTH_CHECK_PREFIX: &str = "health_check_";
/// Stands before all other names.
const NO_PREFIX: &str = "";

/// How often each outcome has occurred.
#[derive(Default)]
pub(crate) struct OutcomeCounts {
    success: u64,
    error: u64,
    overloaded: u64,
    timeout: u64,
    connect_failed: u64,
    connection_reset: u64,
    cancelled: u64,
    not_sent: u64,
    ineligible: u64,
    invalid_request: u64,
}

impl OutcomeCounts {
    /// Counts one outcome.
    pub fn record(&mut self, outcome: Outcome) {
        *self.count_mut(outcome) += 1;
    }

    fn count_mut(&mut self, outcome: Outcome) -> &mut u64 {
        match outcome {
            Outcome::Success => &mut self.success,
            Outcome::Error => &mut self.error,
            Outcome::Overloaded => &mut self.overloaded,
            Outcome::Timeout => &mut self.timeout,
            Outcome::ConnectFailed => &mut self.connect_failed,
            Outcome::ConnectionReset => &mut self.connection_reset,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::NotSent => &mut self.not_sent,
            Outcome::Ineligible => &mut self.ineligible,
            Outcome::InvalidRequest => &mut self.invalid_request,
        }
    }

    /// The counts in the order in which they are printed.
    fn named(&self) -> [NamedCount; 10] {
        [
            ("success", self.success),
            ("error", self.error),
            ("overloaded", self.overloaded),
            ("timeout", self.timeout),
            ("connect_failed", self.connect_failed),
            ("connection_reset", self.connection_reset),
            ("cancelled", self.cancelled),
            ("not_sent", self.not_sent),
            ("ineligible", self.ineligible),
            ("invalid_request", self.invalid_request),
        ]
    }
}

/// What has happened since the start of the process; never decreases. Operators parse the printed line: its
/// names and their order are an interface. An outcome of health checks is printed only once it has occurred.
#[derive(Default)]
pub(crate) struct Counters {
    /// Client connections that were accepted.
    pub clients_accepted: u64,
    /// Valid queries that were passed to the policy.
    pub requests_received: u64,
    /// Messages and queries of clients that were invalid, or that an endpoint rejected as such.
    pub malformed: u64,
    /// Clients whose connection was closed because they did not send a first query, complete a message or
    /// read their answers in time.
    pub client_timeouts: u64,
    /// Client connections that were closed because they were idle for too long.
    pub idle_closed: u64,
    /// Queries that were answered with a value.
    pub served: u64,
    /// Queries that were answered with a rejection: a retry by the client is harmless. Those for lack of
    /// memory or in a shutdown are counted, but are not in [`requests_received`](Self::requests_received).
    pub rejected: u64,
    /// Queries that were answered with a failure; they may have been executed.
    pub failed: u64,
    /// Clients that stopped waiting for a query in progress: by a disconnect or a cancel request.
    pub client_disconnects: u64,
    /// Of [`client_disconnects`](Self::client_disconnects), those by a cancel request.
    pub cancel_requests: u64,
    /// Attempts that were started.
    pub attempts_sent: u64,
    /// Health checks that were started.
    pub health_checks_sent: u64,
    /// Answers of endpoints that were not valid.
    pub malformed_answers: u64,
    /// Messages of endpoints that followed a complete answer or belonged to no query.
    pub unsolicited_messages: u64,
    /// Load reports that could not be read.
    pub unreadable_reports: u64,
    /// Connections that were opened to endpoints.
    pub backend_connects: u64,
    /// How attempts ended.
    pub attempt_outcomes: OutcomeCounts,
    /// How health checks ended.
    pub health_check_outcomes: OutcomeCounts,
    /// Updates of the endpoint list, with the cached list at the start.
    pub endpoint_updates: u64,
    /// Times that the watch of the endpoint list failed.
    pub watch_failures: u64,
    /// Times that the configuration was reloaded.
    pub reloads: u64,
    /// Times that the configuration could not be reloaded.
    pub reload_failures: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "clients_accepted={}", self.clients_accepted)?;
        write_counts(formatter, NO_PREFIX, &self.client_counts())?;
        write_counts(formatter, NO_PREFIX, &self.attempt_outcomes.named())?;
        write_counts(formatter, NO_PREFIX, &[("health_checks_sent", self.health_checks_sent)])?;
        let mut health_check_outcomes = self.health_check_outcomes.named().to_vec();
        health_check_outcomes.retain(|(_, count)| *count > 0);
        write_counts(formatter, HEALTH_CHECK_PREFIX, &health_check_outcomes)?;
        write_counts(formatter, NO_PREFIX, &self.fault_and_control_counts())
    }
}

impl Counters {
    /// The counters of clients and their requests, in the order in which they are printed.
    fn client_counts(&self) -> [NamedCount; 10] {
        [
            ("requests_received", self.requests_received),
            ("malformed", self.malformed),
            ("served", self.served),
            ("rejected", self.rejected),
            ("failed", self.failed),
            ("client_disconnects", self.client_disconnects),
            ("client_timeouts", self.client_timeouts),
            ("idle_closed", self.idle_closed),
            ("backend_connects", self.backend_connects),
            ("attempts_sent", self.attempts_sent),
        ]
    }

    /// The counters at the end of the line, in the order in which they are printed.
    fn fault_and_control_counts(&self) -> [NamedCount; 8] {
        [
            ("malformed_answers", self.malformed_answers),
            ("unsolicited_messages", self.unsolicited_messages),
            ("unreadable_reports", self.unreadable_reports),
            ("endpoint_updates", self.endpoint_updates),
            ("watch_failures", self.watch_failures),
            ("reloads", self.reloads),
            ("reload_failures", self.reload_failures),
            ("cancel_requests", self.cancel_requests),
        ]
    }
}

/// Writes ` name=value` for each count, with `prefix` before each name.
fn write_counts(formatter: &mut fmt::Formatter<'_>, prefix: &str, counts: &[NamedCount]) -> fmt::Result {
    counts.iter().try_for_each(|(name, count)| write!(formatter, " {prefix}{name}={count}"))
}

#[cfg(test)]
mod tests;

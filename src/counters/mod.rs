//! The counters of the pooler. `docs/logs-and-counters.md` documents them for operators.

use std::fmt;
use std::time::Duration;

use crate::interface::Outcome;

/// A counter's name on the printed line, and its value.
type NamedCount = (&'static str, u64);

/// Name prefix of the counters of health check outcomes.
const HEALTH_CHECK_PREFIX: &str = "health_check_";
/// Name prefix of all other counters.
const NO_PREFIX: &str = "";

/// The number of occurrences of each outcome.
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

    /// Returns the counts in the order in which they are printed.
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

/// Counters since the start of the process; they never decrease. Operators parse the printed line, so its
/// names and their order are an interface. An outcome of health checks is printed only after it has occurred.
#[derive(Default)]
pub(crate) struct Counters {
    /// Accepted client connections.
    pub clients_accepted: u64,
    /// Valid queries that were passed to the policy.
    pub requests_received: u64,
    /// Messages and queries from clients that the pooler or an endpoint rejected as invalid.
    pub malformed: u64,
    /// Client connections that were closed because the client did not send its first query, complete a
    /// message or read its responses in time.
    pub client_timeouts: u64,
    /// Client connections that were closed after the idle timeout.
    pub idle_closed: u64,
    /// Queries that were answered with a value.
    pub served: u64,
    /// Queries that were answered with a rejection, which clients can safely retry. Rejections for lack of
    /// memory or in a shutdown are included here, but not in
    /// [`requests_received`](Self::requests_received).
    pub rejected: u64,
    /// Queries that were answered with a failure and may have been executed.
    pub failed: u64,
    /// Clients that stopped waiting for a query in progress, by a disconnect or a cancel request.
    pub client_disconnects: u64,
    /// The part of [`client_disconnects`](Self::client_disconnects) that is due to cancel requests.
    pub cancel_requests: u64,
    /// Attempts that were started.
    pub attempts_sent: u64,
    /// Health checks that were started.
    pub health_checks_sent: u64,
    /// Invalid responses from endpoints.
    pub malformed_answers: u64,
    /// Messages from endpoints after a complete response, or outside of any query.
    pub unsolicited_messages: u64,
    /// Load reports that could not be decoded.
    pub unreadable_reports: u64,
    /// Connections opened to endpoints.
    pub backend_connects: u64,
    /// How attempts ended.
    pub attempt_outcomes: OutcomeCounts,
    /// How health checks ended.
    pub health_check_outcomes: OutcomeCounts,
    /// Updates of the endpoint list, including the cached list at startup.
    pub endpoint_updates: u64,
    /// Failures of the watch on the endpoint list.
    pub watch_failures: u64,
    /// Successful reloads of the configuration.
    pub reloads: u64,
    /// Failed reloads of the configuration.
    pub reload_failures: u64,
    /// The longest time that the event loop has spent on one event.
    pub longest_callback: Duration,
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
        write_counts(formatter, NO_PREFIX, &self.fault_and_control_counts())?;
        write!(formatter, " longest_callback_ms={}", self.longest_callback.as_millis())
    }
}

impl Counters {
    /// Returns the counters of clients and their requests, in the order in which they are printed.
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

    /// Returns the counters at the end of the line, in the order in which they are printed.
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

/// Writes ` <prefix><name>=<value>` for each count.
fn write_counts(formatter: &mut fmt::Formatter<'_>, prefix: &str, counts: &[NamedCount]) -> fmt::Result {
    counts.iter().try_for_each(|(name, count)| write!(formatter, " {prefix}{name}={count}"))
}

#[cfg(test)]
mod tests;

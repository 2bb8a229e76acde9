//! The reply of an endpoint to one query.

use std::time::Duration;

use crate::interface::{EndpointId, LoadReport, Outcome, Role};
use crate::load_report;
use crate::net::buffer::MemoryReservation;
use crate::net::postgres::{self, sqlstate, BackendMessage, BackendMessageKind, ParameterStatus, Severity};
use crate::net::{Completion, Task};
use crate::time::LogPosition;

/// ParameterStatus parameter with the commit time of the log position (Unix milliseconds).
const LOG_POSITION_PARAMETER: &str = "commit_clock";
/// ParameterStatus parameter with the role of the endpoint.
const ROLE_PARAMETER: &str = "server_role";
const PRIMARY_ROLE: &str = "writer";
const REPLICA_ROLE: &str = "reader";
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Receive state of the result set of one query, which has exactly one row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ResultSetState {
    #[default]
    AwaitingRowDescription,
    AwaitingDataRow,
    AwaitingCommandComplete,
    Complete,
}

impl ResultSetState {
    /// Returns the state after a message of this kind, or `None` if the message is out of order.
    fn next_state(self, kind: BackendMessageKind) -> Option<ResultSetState> {
        match (self, kind) {
            (ResultSetState::AwaitingRowDescription, BackendMessageKind::RowDescription) => {
                Some(ResultSetState::AwaitingDataRow)
            }
            (ResultSetState::AwaitingDataRow, BackendMessageKind::DataRow) => {
                Some(ResultSetState::AwaitingCommandComplete)
            }
            (ResultSetState::AwaitingCommandComplete, BackendMessageKind::CommandComplete) => {
                Some(ResultSetState::Complete)
            }
            _ => None,
        }
    }
}

/// Status of a reply after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyStatus {
    /// More messages follow.
    Incomplete,
    /// The reply is complete and the connection is ready for the next query.
    ReadyForQuery,
    /// The endpoint reported a fatal error and is about to close the connection.
    FatalError,
}

/// Why a message could not be added to a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReplyError {
    /// The message is out of order or not allowed in a reply.
    #[error("unexpected message in the reply to a query")]
    UnexpectedMessage,
    /// The memory budget does not allow a value of this size.
    #[error("value exceeds the memory budget")]
    OutOfMemory,
}

/// The messages received in reply to one query.
#[derive(Default)]
pub(super) struct Reply {
    result_set: ResultSetState,
    /// SQLSTATE of the last ErrorResponse.
    error_code: Option<String>,
    /// Encoded messages of the result set; empty for a health check.
    value: Vec<u8>,
    /// Log position reported by the endpoint.
    log_position: Option<LogPosition>,
    /// Role reported by the endpoint.
    role: Option<Role>,
    /// Load report requested by a health check, if it could be parsed.
    report: Option<LoadReport>,
}

impl Reply {
    /// Returns the outcome of the exchange, or `None` while the reply has neither an error nor a complete
    /// result set.
    pub fn outcome(&self) -> Option<Outcome> {
        match &self.error_code {
            Some(code) => Some(error_outcome(code)),
            None if self.result_set == ResultSetState::Complete => Some(Outcome::Success),
            None => None,
        }
    }

    /// Returns whether an error or part of the result set has been received.
    pub fn has_started(&self) -> bool {
        self.result_set != ResultSetState::AwaitingRowDescription || self.error_code.is_some()
    }

    /// Returns whether a load report was received and parsed.
    pub fn has_load_report(&self) -> bool {
        self.report.is_some()
    }

    /// Converts the reply into the completion of its task.
    pub fn into_completion(
        self,
        task: Task,
        endpoint: EndpointId,
        outcome: Outcome,
        elapsed: Duration,
    ) -> Completion {
        Completion {
            task,
            endpoint,
            outcome,
            elapsed,
            log_position: self.log_position,
            role: self.role,
            report: self.report.unwrap_or_default(),
            value: self.value,
        }
    }

    /// Adds a message. `value_memory` is the memory reservation of the value.
    pub fn add_message(
        &mut self,
        message: &BackendMessage,
        task: &Task,
        value_memory: &mut MemoryReservation,
    ) -> Result<ReplyStatus, ReplyError> {
        match message.kind {
            BackendMessageKind::ParameterStatus => self.add_parameter(&message.body),
            BackendMessageKind::RowDescription
            | BackendMessageKind::DataRow
            | BackendMessageKind::CommandComplete => {
                self.add_result_message(message, task, value_memory)?;
            }
            BackendMessageKind::ErrorResponse => return Ok(self.add_error(&message.body)),
            BackendMessageKind::ReadyForQuery => return Ok(ReplyStatus::ReadyForQuery),
            _ => return Err(ReplyError::UnexpectedMessage),
        }
        Ok(ReplyStatus::Incomplete)
    }

    fn add_parameter(&mut self, body: &[u8]) {
        match postgres::parse_parameter_status(body) {
            Some(ParameterStatus { name: LOG_POSITION_PARAMETER, value }) => {
                let millis = value.parse::<f64>().ok();
                self.log_position = millis.map(|millis| LogPosition::from_secs(millis / MILLIS_PER_SECOND));
            }
            Some(ParameterStatus { name: ROLE_PARAMETER, value: PRIMARY_ROLE }) => {
                self.role = Some(Role::Primary)
            }
            Some(ParameterStatus { name: ROLE_PARAMETER, value: REPLICA_ROLE }) => {
                self.role = Some(Role::Replica)
            }
            _ => {}
        }
    }

    fn add_result_message(
        &mut self,
        message: &BackendMessage,
        task: &Task,
        value_memory: &mut MemoryReservation,
    ) -> Result<(), ReplyError> {
        self.result_set = self.result_set.next_state(message.kind).ok_or(ReplyError::UnexpectedMessage)?;
        match task {
            Task::HealthCheck => {
                if message.kind == BackendMessageKind::DataRow {
                    self.report = postgres::single_column_value(&message.body).and_then(load_report::parse);
                }
                Ok(())
            }
            Task::Attempt(_) => self.append_to_value(message, value_memory),
        }
    }

    /// Appends a message to the value. The size of each message is limited, but all values together must also
    /// fit the memory budget.
    fn append_to_value(
        &mut self,
        message: &BackendMessage,
        value_memory: &mut MemoryReservation,
    ) -> Result<(), ReplyError> {
        let size = self.value.len() + message.body.len();
        value_memory.resize(size).map_err(|_| ReplyError::OutOfMemory)?;
        postgres::append_message(&mut self.value, message);
        Ok(())
    }

    fn add_error(&mut self, body: &[u8]) -> ReplyStatus {
        let error = postgres::parse_error_response(body);
        self.error_code = Some(error.sqlstate);
        match error.severity {
            Severity::Fatal => ReplyStatus::FatalError,
            Severity::Error => ReplyStatus::Incomplete,
        }
    }
}

/// Returns the outcome of an exchange that the endpoint answered with an error.
fn error_outcome(code: &str) -> Outcome {
    match code {
        sqlstate::TOO_MANY_CONNECTIONS => Outcome::Overloaded,
        sqlstate::READ_ONLY_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD => Outcome::Ineligible,
        _ if postgres::is_statement_error(code) => Outcome::InvalidRequest,
        _ => Outcome::Error,
    }
}

#[cfg(test)]
mod tests;

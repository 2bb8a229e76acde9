//! The output of a client connection: encodes responses and errors and writes them to the socket.

use std::io::Write;
use std::time::Duration;

use super::error::MustClose;
use super::rejection::Rejection;
use crate::net::buffer::{MemoryBudget, RingBuffer};
use crate::net::postgres::{self, sqlstate, Severity};
use crate::net::{CancelKey, Response};

const NANOS_PER_MILLISECOND: u128 = 1_000_000;

/// The result of writing the output to the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FlushStatus {
    /// All output is written.
    Complete,
    /// The socket has accepted a part of the output and accepts no more at present.
    Partial,
    /// The socket accepts nothing at present.
    Blocked,
}

/// The output buffer. Each `push` method fails if it would exceed the buffer's limit or the memory budget.
pub(super) struct Output {
    buffer: RingBuffer,
}

impl Output {
    /// Creates an empty output. Its memory counts against the budget.
    pub(super) fn new(budget: &MemoryBudget) -> Output {
        Output { buffer: RingBuffer::new(budget) }
    }

    /// Returns `true` if all output is written.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Writes output until the sink would block.
    pub(super) fn write_to(&mut self, sink: &mut impl Write) -> Result<FlushStatus, MustClose> {
        let length_before = self.buffer.len();
        if self.buffer.write_to(sink)? {
            return Ok(FlushStatus::Complete);
        }
        let is_partial = self.buffer.len() < length_before;
        Ok(if is_partial { FlushStatus::Partial } else { FlushStatus::Blocked })
    }

    /// Declines a request for encryption. The client may continue without it.
    pub(super) fn push_encryption_declined(&mut self) -> Result<(), MustClose> {
        self.push(postgres::ENCRYPTION_NOT_SUPPORTED)
    }

    /// Confirms the start of the session and sends the client its cancel key.
    pub(super) fn push_session_start(&mut self, cancel_key: CancelKey) -> Result<(), MustClose> {
        self.push(&postgres::startup_response(cancel_key))
    }

    /// Informs the client that it may send the next query.
    pub(super) fn push_ready_for_query(&mut self) -> Result<(), MustClose> {
        self.push(&postgres::ready_for_query())
    }

    /// Responds to an empty query.
    pub(super) fn push_empty_query_response(&mut self) -> Result<(), MustClose> {
        self.push(&[postgres::empty_query_response(), postgres::ready_for_query()].concat())
    }

    /// Responds to a query.
    pub(super) fn push_response(&mut self, response: Response) -> Result<(), MustClose> {
        match response {
            Response::Value(value) => self.push_value(value),
            Response::Rejected { retry_after } => self.push_rejection(Rejection::given_up(retry_after)),
            Response::Failed => self.push_error(sqlstate::SYSTEM_ERROR, "failed: it may have run"),
            Response::Cancelled => self.push_error(sqlstate::QUERY_CANCELED, "cancelled as its client asked"),
            Response::Invalid(reason) => {
                self.push_error(sqlstate::INVALID_PARAMETER_VALUE, &reason.to_string())
            }
        }
    }

    /// Responds to a query or message with an error, after which the client may send the next query.
    pub(super) fn push_error(&mut self, code: &str, message: &str) -> Result<(), MustClose> {
        self.push_error_with_detail(code, message, None)
    }

    /// Rejects a query. The detail field of the error holds the Retry-After in milliseconds, rounded up. It
    /// is omitted if there is no Retry-After or if it is zero.
    pub(super) fn push_rejection(&mut self, rejection: Rejection) -> Result<(), MustClose> {
        let to_milliseconds = |duration: Duration| duration.as_nanos().div_ceil(NANOS_PER_MILLISECOND);
        let milliseconds = rejection.retry_after.map(to_milliseconds);
        let detail = milliseconds.filter(|milliseconds| *milliseconds > 0).map(|number| number.to_string());
        self.push_error_with_detail(rejection.code, rejection.message, detail.as_deref())
    }

    /// Responds to a message of the extended protocol with an error. ReadyForQuery follows only after the
    /// next Sync.
    pub(super) fn push_error_until_sync(&mut self, code: &str, message: &str) -> Result<(), MustClose> {
        self.push(&postgres::error_response(Severity::Error, code, message, None))
    }

    /// Reports the error that causes the connection to be closed.
    pub(super) fn push_fatal_error(&mut self, code: &str, message: &str) -> Result<(), MustClose> {
        self.push(&postgres::error_response(Severity::Fatal, code, message, None))
    }

    fn push_value(&mut self, mut value: Vec<u8>) -> Result<(), MustClose> {
        value.extend(postgres::ready_for_query());
        if self.buffer.push(&value).is_err() {
            // The client gets a response even if there is no memory for the value.
            self.push_error(sqlstate::SYSTEM_ERROR, "no memory for the value")?;
        }
        Ok(())
    }

    fn push_error_with_detail(
        &mut self,
        code: &str,
        message: &str,
        detail: Option<&str>,
    ) -> Result<(), MustClose> {
        let error = postgres::error_response(Severity::Error, code, message, detail);
        self.push(&[error, postgres::ready_for_query()].concat())
    }

    fn push(&mut self, bytes: &[u8]) -> Result<(), MustClose> {
        Ok(self.buffer.push(bytes)?)
    }
}

#[cfg(test)]
mod tests;

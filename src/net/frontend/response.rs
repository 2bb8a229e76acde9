//! Writes responses and errors to the output buffer of a connection.

use super::connection::{Connection, ConnectionClosed, State};
use crate::net::postgres::{self, sqlstate, Severity};
use crate::net::reactor::ConnectionId;
use crate::net::{Context, Response};

impl Connection {
    /// Writes the final response to the running query.
    pub(super) fn respond(&mut self, response: Response) -> Result<(), ConnectionClosed> {
        self.state = State::Idle;
        match response {
            Response::Value(value) => self.send_value(value),
            Response::Rejected { retry_after } => {
                self.send_rejection(sqlstate::TOO_MANY_CONNECTIONS, "refused: try again later", retry_after)
            }
            Response::Failed => self.send_error(sqlstate::SYSTEM_ERROR, "failed: it may have run", None),
            Response::Cancelled => {
                self.send_error(sqlstate::QUERY_CANCELED, "cancelled as its client asked", None)
            }
            Response::Invalid(reason) => {
                self.send_error(sqlstate::INVALID_PARAMETER_VALUE, &reason.to_string(), None)
            }
        }
    }

    /// Writes the response to an empty query.
    pub(super) fn respond_to_empty_query(&mut self) -> Result<(), ConnectionClosed> {
        self.state = State::Idle;
        self.has_queried = true;
        let response = [postgres::empty_query_response(), postgres::ready_for_query()].concat();
        Ok(self.output.push(&response)?)
    }

    /// Writes an error response; the client may send the next query.
    pub(super) fn send_error(
        &mut self,
        code: &str,
        message: &str,
        detail: Option<&str>,
    ) -> Result<(), ConnectionClosed> {
        let error = postgres::error_response(Severity::Error, code, message, detail);
        Ok(self.output.push(&[error, postgres::ready_for_query()].concat())?)
    }

    /// Writes a fatal error and starts to close the connection.
    pub(super) fn send_fatal_error(
        &mut self,
        id: ConnectionId,
        code: &str,
        message: &str,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        context.counters.malformed += 1;
        self.output.push(&postgres::error_response(Severity::Fatal, code, message, None))?;
        self.start_closing(id, context);
        Ok(())
    }

    fn send_value(&mut self, mut value: Vec<u8>) -> Result<(), ConnectionClosed> {
        value.extend(postgres::ready_for_query());
        if self.output.push(&value).is_err() {
            // The client gets a response even if there is no memory for the value.
            self.send_error(sqlstate::SYSTEM_ERROR, "no memory for the value", None)?;
        }
        Ok(())
    }

    /// Writes a rejection. The detail says after how many milliseconds to retry, if that is known.
    pub(super) fn send_rejection(
        &mut self,
        code: &str,
        message: &str,
        retry_after: f64,
    ) -> Result<(), ConnectionClosed> {
        let milliseconds = (retry_after * 1000.0).ceil();
        let detail = (milliseconds > 0.0).then(|| (milliseconds as u64).to_string());
        self.send_error(code, message, detail.as_deref())
    }
}

//! Processes the messages of an endpoint.

use std::time::Instant;

use super::{BackendConnection, ExchangeStatus};
use crate::interface::Outcome;
use crate::net::backend::reply::{ReplyError, ReplyStatus};
use crate::net::backend::state::ConnectionState;
use crate::net::backend::synchronization::SyncStatus;
use crate::net::buffer::ReadStatus;
use crate::net::postgres::{self, sqlstate, BackendMessage, BackendMessageKind};

/// Maximum number of messages of an endpoint that are processed in one cycle. Together with the size of the
/// input buffer, of which a cycle reads one, it prevents an endpoint that sends continuously from blocking
/// the event loop. A reply has far fewer.
const MAX_MESSAGES_PER_CYCLE: usize = 256;

impl BackendConnection {
    /// Processes the input after a read with this result.
    pub(super) fn process_input(&mut self, read: ReadStatus, now: Instant) -> ExchangeStatus {
        let unprocessed = self.input.len();
        for _ in 0..MAX_MESSAGES_PER_CYCLE {
            let message = match postgres::read_backend_message(&mut self.input) {
                Ok(Some(message)) => message,
                Ok(None) if read == ReadStatus::EndOfStream => return self.lost_connection_status(),
                Ok(None) => {
                    // Readiness is edge-triggered: no further event comes for data left in the socket because
                    // the buffer was full.
                    self.has_more_input = read == ReadStatus::Full && self.input.len() != unprocessed;
                    return ExchangeStatus::Pending;
                }
                Err(_) => return self.reject_malformed(),
            };
            let status = self.process_message(&message, now);
            if status != ExchangeStatus::Pending {
                return status;
            }
        }
        self.has_more_input = true;
        ExchangeStatus::Pending
    }

    /// Processes one message according to the current state.
    fn process_message(&mut self, message: &BackendMessage, now: Instant) -> ExchangeStatus {
        if matches!(message.kind, BackendMessageKind::NoticeResponse | BackendMessageKind::BackendKeyData) {
            return ExchangeStatus::Pending;
        }
        match &mut self.state {
            ConnectionState::Connecting(_) | ConnectionState::Ready(_) => self.reject_malformed(),
            ConnectionState::Starting(_) => self.process_startup_message(message, now),
            ConnectionState::Idle if message.kind == BackendMessageKind::ParameterStatus => {
                ExchangeStatus::Pending
            }
            ConnectionState::Idle => self.reject_malformed(),
            ConnectionState::Synchronizing { synchronization, .. } => {
                match synchronization.record_message(message.kind) {
                    SyncStatus::Pending => ExchangeStatus::Pending,
                    SyncStatus::Complete => self.finish_synchronizing(now),
                    SyncStatus::OutOfSync => self.reject_malformed(),
                }
            }
            ConnectionState::Busy { exchange, reply, .. } => {
                match reply.add_message(message, exchange.task(), &mut self.value_memory) {
                    Ok(ReplyStatus::Incomplete) => ExchangeStatus::Pending,
                    // Not the reply to this query, which may still follow.
                    Ok(ReplyStatus::ReadyForQuery) if reply.outcome().is_none() => self.reject_malformed(),
                    Ok(ReplyStatus::ReadyForQuery) => ExchangeStatus::Done,
                    Ok(ReplyStatus::FatalError) => self.lost_connection_status(),
                    Err(ReplyError::UnexpectedMessage) => self.reject_malformed(),
                    Err(ReplyError::OutOfMemory) => ExchangeStatus::Failed(Outcome::Error),
                }
            }
        }
    }

    /// Handles the end of the synchronization. Prepares the query of the exchange that waits for it, if any.
    fn finish_synchronizing(&mut self, now: Instant) -> ExchangeStatus {
        if !self.input.is_empty() {
            return self.reject_malformed();
        }
        match self.take_exchange() {
            Some((exchange, _)) => self.prepare_query(exchange, now),
            None => ExchangeStatus::Synchronized,
        }
    }

    /// Processes a message of the startup phase. Prepares the query once the session is ready, unless there
    /// is input behind, which would be taken for the reply.
    fn process_startup_message(&mut self, message: &BackendMessage, now: Instant) -> ExchangeStatus {
        match message.kind {
            BackendMessageKind::ParameterStatus => ExchangeStatus::Pending,
            BackendMessageKind::Authentication if message.body == postgres::AUTHENTICATION_OK => {
                ExchangeStatus::Pending
            }
            BackendMessageKind::ErrorResponse => ExchangeStatus::Failed(startup_error_outcome(&message.body)),
            BackendMessageKind::ReadyForQuery if !self.input.is_empty() => self.reject_malformed(),
            BackendMessageKind::ReadyForQuery => match self.take_exchange() {
                Some((exchange, _)) => self.prepare_query(exchange, now),
                None => ExchangeStatus::Failed(Outcome::NotSent),
            },
            _ => self.reject_malformed(),
        }
    }
}

/// Returns the outcome of an exchange whose endpoint rejected the startup of the session.
fn startup_error_outcome(body: &[u8]) -> Outcome {
    if postgres::parse_error_response(body).sqlstate == sqlstate::TOO_MANY_CONNECTIONS {
        Outcome::Overloaded
    } else {
        Outcome::ConnectFailed
    }
}

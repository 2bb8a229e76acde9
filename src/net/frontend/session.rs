//! Processes the messages of a client.

use super::connection::{Connection, ConnectionClosed, State};
use super::ServiceStatus;
use crate::net::postgres::{self, sqlstate, ClientMessageKind, FrameError, ParsedQuery, Severity, Startup};
use crate::net::reactor::ConnectionId;
use crate::net::{Context, Event, Query};

/// Most messages of one connection that are processed before the other connections have their turn. Keeps a
/// client that sends without pause from blocking the event loop.
const MAX_MESSAGES_PER_TURN: usize = 32;

/// Why the processing of messages has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// It has to wait for the client or for a response.
    Blocked,
    /// [`MAX_MESSAGES_PER_TURN`] messages were processed and there may be more.
    TurnOver,
}

/// A complete message of a client.
enum ClientMessage {
    Startup(Startup),
    Regular(postgres::ClientMessage),
}

impl Connection {
    /// Processes the messages in the input buffer one by one. Each is read only when all responses so far are
    /// written: a client that sends and does not read fills its buffers and no more.
    pub(super) fn process_messages(
        &mut self,
        id: ConnectionId,
        service: ServiceStatus,
        context: &mut Context,
    ) -> Result<Progress, ConnectionClosed> {
        for _ in 0..MAX_MESSAGES_PER_TURN {
            if !self.flush()? {
                return Ok(Progress::Blocked);
            }
            match self.next_message() {
                Ok(None) => return Ok(Progress::Blocked),
                Ok(Some(ClientMessage::Startup(startup))) => self.process_startup(startup, id, context)?,
                Ok(Some(ClientMessage::Regular(message))) => {
                    self.process_message(&message, id, service, context)?;
                }
                Err(error) => self.reject_frame(error, id, context)?,
            }
        }
        Ok(Progress::TurnOver)
    }

    /// Takes the next message off the input buffer if it is complete and the state allows to process it.
    fn next_message(&mut self) -> Result<Option<ClientMessage>, FrameError> {
        match self.state {
            State::Startup => Ok(postgres::read_startup(&mut self.input)?.map(ClientMessage::Startup)),
            State::Idle | State::SkippingToSync => {
                Ok(postgres::read_client_message(&mut self.input)?.map(ClientMessage::Regular))
            }
            State::AwaitingEndpoints | State::Busy | State::Closing { .. } => Ok(None),
        }
    }

    /// Closes the connection of a client whose input cannot be split into messages.
    fn reject_frame(
        &mut self,
        error: FrameError,
        id: ConnectionId,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        let (code, message) = match error {
            FrameError::Malformed => (sqlstate::PROTOCOL_VIOLATION, "malformed message"),
            FrameError::TooLong => (sqlstate::PROGRAM_LIMIT_EXCEEDED, "message too long"),
        };
        self.send_fatal_error(id, code, message, context)
    }

    fn process_startup(
        &mut self,
        startup: Startup,
        id: ConnectionId,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        match startup {
            // Encryption is not supported: the client may go on without.
            Startup::Encryption => Ok(self.output.push(postgres::ENCRYPTION_NOT_SUPPORTED)?),
            Startup::Session => {
                self.output.push(&postgres::session_start(self.cancel_key))?;
                self.state = State::Idle;
                Ok(())
            }
            Startup::Cancel(key) => {
                context.events.push_back(Event::CancelRequested(key));
                Err(ConnectionClosed)
            }
            Startup::UnsupportedVersion => {
                self.send_fatal_error(id, sqlstate::FEATURE_NOT_SUPPORTED, "unknown protocol", context)
            }
        }
    }

    fn process_message(
        &mut self,
        message: &postgres::ClientMessage,
        id: ConnectionId,
        service: ServiceStatus,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        match message.kind {
            Some(ClientMessageKind::Terminate) => Err(ConnectionClosed),
            Some(ClientMessageKind::Sync) => {
                self.state = State::Idle;
                Ok(self.output.push(&postgres::ready_for_query())?)
            }
            _ if self.state == State::SkippingToSync => Ok(()),
            Some(ClientMessageKind::Query) => self.process_query(&message.body, id, service, context),
            Some(
                ClientMessageKind::Parse
                | ClientMessageKind::Bind
                | ClientMessageKind::Describe
                | ClientMessageKind::Execute
                | ClientMessageKind::Close,
            ) => self.reject_extended_query(),
            Some(ClientMessageKind::FunctionCall) => {
                self.send_error(sqlstate::FEATURE_NOT_SUPPORTED, "function calls are not served", None)
            }
            // Flush has no effect here. A password or copy message belongs to an exchange that is over or was
            // never started.
            Some(
                ClientMessageKind::Flush
                | ClientMessageKind::Password
                | ClientMessageKind::CopyData
                | ClientMessageKind::CopyDone
                | ClientMessageKind::CopyFail,
            ) => Ok(()),
            None => self.send_fatal_error(id, sqlstate::PROTOCOL_VIOLATION, "unknown message", context),
        }
    }

    /// Rejects a message of the extended protocol. ReadyForQuery follows with the next Sync.
    fn reject_extended_query(&mut self) -> Result<(), ConnectionClosed> {
        self.state = State::SkippingToSync;
        let message = "only simple queries are served";
        let error = postgres::error_response(Severity::Error, sqlstate::FEATURE_NOT_SUPPORTED, message, None);
        Ok(self.output.push(&error)?)
    }

    fn process_query(
        &mut self,
        body: &[u8],
        id: ConnectionId,
        service: ServiceStatus,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        match postgres::parse_query(body) {
            Ok(ParsedQuery::Empty) if service.ready => self.respond_to_empty_query(),
            Ok(ParsedQuery::Empty) => {
                self.state = State::AwaitingEndpoints;
                Ok(())
            }
            Ok(ParsedQuery::Query(query)) => self.start_query(query, id, service, context),
            Err(error) => {
                context.counters.malformed += 1;
                self.send_error(sqlstate::SYNTAX_ERROR, &error.to_string(), None)
            }
        }
    }

    /// Passes a query on for execution, or rejects it during the shutdown or without memory for it.
    fn start_query(
        &mut self,
        mut query: Box<Query>,
        id: ConnectionId,
        service: ServiceStatus,
        context: &mut Context,
    ) -> Result<(), ConnectionClosed> {
        query.received_at = self.message_received_at();
        if service.shutdown_started_at.is_some_and(|started_at| query.received_at > started_at) {
            // The process may end before the query does: another pooler has all the time for it.
            context.counters.rejected += 1;
            let retry_after = service.shutdown_retry_after;
            return self.send_rejection(sqlstate::CANNOT_CONNECT_NOW, "shutting down", retry_after);
        }
        // Each statement is within its own limit, but many of them together may exceed the memory.
        let Ok(memory) = self.input.reserve_memory(query.statement.text.len()) else {
            context.counters.rejected += 1;
            return self.send_error(sqlstate::TOO_MANY_CONNECTIONS, "no memory", None);
        };
        query.statement.memory = Some(memory);
        self.state = State::Busy;
        self.has_queried = true;
        context.events.push_back(Event::QueryReceived(id, query));
        Ok(())
    }

    /// Returns when the last byte of the message that was just taken off the input buffer was received.
    fn message_received_at(&mut self) -> f64 {
        self.arrival_times.received_at(self.input.total_consumed()).unwrap_or(self.last_active)
    }
}

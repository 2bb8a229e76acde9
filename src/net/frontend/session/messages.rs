//! Processes the messages of a client.

use super::Session;
use crate::net::frontend::cycle::CycleContext;
use crate::net::frontend::error::MustClose;
use crate::net::frontend::excess_input::ExcessStep;
use crate::net::frontend::protocol_state::Phase;
use crate::net::frontend::rejection::Rejection;
use crate::net::postgres::{
    self, sqlstate, ClientMessage, ClientMessageKind, ParsedQuery, ProtocolError, StartupRequest,
};
use crate::net::{Context, Event, Query};

/// The result of an attempt to process the next message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net::frontend) enum MessageStatus {
    /// A message was processed.
    Processed,
    /// The next message is incomplete, or processing must wait for a response or an endpoint.
    Blocked,
}

/// A complete message of a client.
enum IncomingMessage {
    /// A message of the startup phase, which has no kind.
    Startup(StartupRequest),
    /// Any later message.
    Message(ClientMessage),
}

impl Session {
    /// Processes the next message if it is complete and the state allows it.
    pub(in crate::net::frontend) fn process_next_message(
        &mut self,
        cycle: &mut CycleContext,
    ) -> Result<MessageStatus, MustClose> {
        match self.next_message() {
            Ok(None) if self.phase().is_reading() => return self.process_excess(cycle.context),
            Ok(None) => return Ok(MessageStatus::Blocked),
            Ok(Some(IncomingMessage::Startup(startup))) => self.process_startup(startup, cycle.context)?,
            Ok(Some(IncomingMessage::Message(message))) => {
                self.process_message(&message, cycle)?;
            }
            Err(error) => self.close_with_protocol_error(error, cycle.context)?,
        }
        Ok(MessageStatus::Processed)
    }

    /// Processes the next message that was not kept, once all others are processed.
    fn process_excess(&mut self, context: &mut Context) -> Result<MessageStatus, MustClose> {
        match self.input.next_excess_step() {
            Ok(ExcessStep::Wait) => return Ok(MessageStatus::Blocked),
            Ok(ExcessStep::Refuse) => {
                context.counters.rejected += 1;
                self.output.push_rejection(Rejection::TOO_MANY_QUERIES)?;
            }
            Ok(ExcessStep::Close) => return Err(MustClose::ClientDisconnected),
            Err(error) => self.close_with_protocol_error(error, context)?,
        }
        Ok(MessageStatus::Processed)
    }

    /// Takes the next message from the input if it is complete and the state allows it to be processed.
    fn next_message(&mut self) -> Result<Option<IncomingMessage>, ProtocolError> {
        match self.phase() {
            Phase::Startup => Ok(self.input.take_startup()?.map(IncomingMessage::Startup)),
            Phase::Idle | Phase::SkippingToSync => {
                Ok(self.input.take_message()?.map(IncomingMessage::Message))
            }
            Phase::AwaitingEndpoints | Phase::Busy | Phase::Closing | Phase::HalfClosed => Ok(None),
        }
    }

    /// Reports a protocol error to the client and closes its session.
    fn close_with_protocol_error(
        &mut self,
        error: ProtocolError,
        context: &mut Context,
    ) -> Result<(), MustClose> {
        let code = match error {
            ProtocolError::Malformed => sqlstate::PROTOCOL_VIOLATION,
            ProtocolError::TooLong => sqlstate::PROGRAM_LIMIT_EXCEEDED,
        };
        self.close_with_error(code, &error.to_string(), &mut context.counters)
    }

    fn process_startup(&mut self, startup: StartupRequest, context: &mut Context) -> Result<(), MustClose> {
        match startup {
            StartupRequest::Encryption => self.output.push_encryption_declined(),
            StartupRequest::Session => {
                self.output.push_session_start(self.cancel_key)?;
                self.state.start_session();
                Ok(())
            }
            StartupRequest::Cancel(key) => {
                context.events.push_back(Event::CancelRequested(key));
                Err(MustClose::CancelRequest)
            }
            StartupRequest::UnsupportedVersion => {
                let code = sqlstate::FEATURE_NOT_SUPPORTED;
                self.close_with_error(code, "unknown protocol", &mut context.counters)
            }
        }
    }

    fn process_message(
        &mut self,
        message: &ClientMessage,
        cycle: &mut CycleContext,
    ) -> Result<(), MustClose> {
        match message.kind {
            Some(ClientMessageKind::Terminate) => Err(MustClose::ClientDisconnected),
            Some(ClientMessageKind::Sync) => {
                self.state.sync();
                self.output.push_ready_for_query()
            }
            _ if self.phase() == Phase::SkippingToSync => Ok(()),
            Some(ClientMessageKind::Query) => self.process_query(&message.body, cycle),
            Some(
                ClientMessageKind::Parse
                | ClientMessageKind::Bind
                | ClientMessageKind::Describe
                | ClientMessageKind::Execute
                | ClientMessageKind::Close,
            ) => {
                self.state.skip_to_sync();
                let code = sqlstate::FEATURE_NOT_SUPPORTED;
                self.output.push_error_until_sync(code, "only simple queries are served")
            }
            Some(ClientMessageKind::FunctionCall) => {
                self.output.push_error(sqlstate::FEATURE_NOT_SUPPORTED, "function calls are not served")
            }
            // Flush has no effect on simple queries. Password and copy messages belong to an exchange that is
            // over or was never started.
            Some(
                ClientMessageKind::Flush
                | ClientMessageKind::Password
                | ClientMessageKind::CopyData
                | ClientMessageKind::CopyDone
                | ClientMessageKind::CopyFail,
            ) => Ok(()),
            None => {
                let code = sqlstate::PROTOCOL_VIOLATION;
                self.close_with_error(code, "unknown message", &mut cycle.context.counters)
            }
        }
    }

    fn process_query(&mut self, body: &[u8], cycle: &mut CycleContext) -> Result<(), MustClose> {
        match postgres::parse_query(body) {
            Ok(ParsedQuery::Empty) if cycle.service.is_ready() => self.add_response_to_empty_query(),
            Ok(ParsedQuery::Empty) => self.await_endpoints(cycle),
            Ok(ParsedQuery::Query(query)) => self.start_query(query, cycle),
            Err(error) => {
                cycle.context.counters.malformed += 1;
                self.output.push_error(sqlstate::SYNTAX_ERROR, &error.to_string())
            }
        }
    }

    /// Lets an empty query wait for an endpoint. Rejects it during the shutdown, since it would block others.
    fn await_endpoints(&mut self, cycle: &CycleContext) -> Result<(), MustClose> {
        if let Some(drain) = cycle.service.drain() {
            return self.output.push_rejection(Rejection::shutting_down(drain));
        }
        self.state.await_endpoints();
        Ok(())
    }

    /// Passes a query on for execution. Rejects it if the shutdown requires that or if there is no memory for
    /// its statement.
    fn start_query(&mut self, mut query: Box<Query>, cycle: &mut CycleContext) -> Result<(), MustClose> {
        let received_at = self.input.message_received_at();
        let now = cycle.context.reactor.now();
        if let Some(drain) = cycle.service.rejecting_drain(received_at, now) {
            return self.reject_query(&query.id, Rejection::shutting_down(drain), cycle);
        }
        // The length of each statement is limited, but many statements together may exceed the memory budget.
        let Ok(memory) = self.input.reserve_memory(query.statement.text.len()) else {
            return self.reject_query(&query.id, Rejection::NO_MEMORY, cycle);
        };
        query.statement.memory = Some(memory);
        query.id_claim = self.input.take_id_claim(&query.id, &cycle.context.request_ids);
        self.state.start_query();
        cycle.context.events.push_back(Event::QueryReceived { client: cycle.id, query, received_at });
        Ok(())
    }

    /// Rejects a query that was not passed on for execution.
    fn reject_query(
        &mut self,
        id: &str,
        rejection: Rejection,
        cycle: &mut CycleContext,
    ) -> Result<(), MustClose> {
        cycle.context.counters.rejected += 1;
        let Rejection { message, retry_after, .. } = rejection;
        tracing::info!(request = %id, reason = message, ?retry_after, "request rejected");
        self.output.push_rejection(rejection)
    }
}

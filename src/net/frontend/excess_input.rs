//! The input of a client beyond what its buffer holds while a query is running. It is read all the same, since
//! the end of the connection may be behind it, and is not kept: its queries are refused.

use std::io::{self, ErrorKind, Read};

use crate::net::buffer::{ReadStatus, MAX_BUFFER_SIZE};
use crate::net::postgres::{ClientMessageKind, MessageCounter, ProtocolError};

/// Size of the pieces in which the input is read (bytes).
const PIECE_SIZE: usize = 16 * 1024;
/// Maximum number of pieces that are read at a time: about as much as a buffer holds.
const MAX_PIECES: usize = MAX_BUFFER_SIZE / PIECE_SIZE;

/// What a client has sent beyond the limit of its buffer, as far as it concerns the client.
#[derive(Default)]
pub(super) struct ExcessInput {
    messages: MessageCounter,
    /// Messages that must be answered, each with a refusal.
    unanswered: u64,
    /// How the excess input has ended, if it has; further input is ignored.
    end: Option<ExcessEnd>,
}

/// Why no further message of a client is processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExcessEnd {
    /// The client has sent Terminate.
    Terminated,
    /// The client has violated the protocol.
    Violation(ProtocolError),
}

/// What the excess input requires next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExcessStep {
    /// Refuse a query.
    Refuse,
    /// Close the connection, which its client has terminated.
    Close,
    /// Nothing until the client has sent more.
    Wait,
}

impl ExcessInput {
    /// Reads until the source would block or ends, or its share of a turn of the event loop is used up, which
    /// is reported as [`ReadStatus::Full`].
    pub(super) fn read_from(&mut self, source: &mut impl Read) -> io::Result<ReadStatus> {
        let mut piece = [0; PIECE_SIZE];
        let mut pieces = 0;
        while pieces < MAX_PIECES {
            match source.read(&mut piece) {
                Ok(0) => return Ok(ReadStatus::EndOfStream),
                Ok(length) => {
                    self.add(&piece[..length]);
                    pieces += 1;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(ReadStatus::WouldBlock),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(ReadStatus::Full)
    }

    /// Counts the messages in further input.
    pub(super) fn add(&mut self, mut bytes: &[u8]) {
        while self.end.is_none() {
            match self.messages.skip_message(&mut bytes) {
                Ok(Some(kind)) => self.add_message(kind),
                Ok(None) => return,
                Err(error) => self.end = Some(ExcessEnd::Violation(error)),
            }
        }
    }

    fn add_message(&mut self, kind: Option<ClientMessageKind>) {
        match kind {
            // Of the extended protocol, whose messages are all rejected, only Sync is answered.
            Some(ClientMessageKind::Query | ClientMessageKind::Sync | ClientMessageKind::FunctionCall) => {
                self.unanswered += 1;
            }
            Some(ClientMessageKind::Terminate) => self.end = Some(ExcessEnd::Terminated),
            Some(_) => {}
            None => self.end = Some(ExcessEnd::Violation(ProtocolError::Malformed)),
        }
    }

    /// Returns `true` if a refusal is due.
    pub(super) fn has_unanswered(&self) -> bool {
        self.unanswered > 0
    }

    /// Returns `true` if nothing has to be done about the input so far, and the next message may be processed
    /// in the usual way.
    pub(super) fn is_finished(&self) -> bool {
        self.unanswered == 0 && self.end.is_none() && self.messages.is_between_messages()
    }

    /// Returns what has to be done next; a refusal counts as done. Fails if the client has violated the
    /// protocol and all messages before are answered.
    pub(super) fn next_step(&mut self) -> Result<ExcessStep, ProtocolError> {
        if self.unanswered > 0 {
            self.unanswered -= 1;
            return Ok(ExcessStep::Refuse);
        }
        match self.end {
            None => Ok(ExcessStep::Wait),
            Some(ExcessEnd::Terminated) => Ok(ExcessStep::Close),
            Some(ExcessEnd::Violation(error)) => Err(error),
        }
    }
}

#[cfg(test)]
mod tests;

//! Counts the client messages in a stream of bytes without keeping their bodies.

use super::framing::{parse_header, ProtocolError, MAX_CLIENT_BODY};
use super::message::HEADER_SIZE;
use super::message_kind::ClientMessageKind;

/// Finds the end of each message in a stream that arrives in pieces. Takes no memory, however much arrives.
#[derive(Default)]
pub(crate) struct MessageCounter {
    /// The header of the current message, as far as it was received.
    header: [u8; HEADER_SIZE],
    header_length: usize,
    /// Bytes that are missing from the body of the current message.
    missing_body: usize,
}

impl MessageCounter {
    /// Returns `true` if the stream so far ends with the end of a message.
    pub fn is_between_messages(&self) -> bool {
        self.header_length == 0
    }

    /// Skips to the end of the current message in `bytes` and returns its kind, which is `None` if unknown.
    /// Returns no message if `bytes` end before. Fails if the length of the message is invalid.
    pub fn skip_message(
        &mut self,
        bytes: &mut &[u8],
    ) -> Result<Option<Option<ClientMessageKind>>, ProtocolError> {
        if self.header_length < HEADER_SIZE && !self.read_header(bytes)? {
            return Ok(None);
        }
        let skipped = self.missing_body.min(bytes.len());
        *bytes = &bytes[skipped..];
        self.missing_body -= skipped;
        if self.missing_body > 0 {
            return Ok(None);
        }
        self.header_length = 0;
        Ok(Some(ClientMessageKind::from_byte(self.header[0])))
    }

    /// Reads the rest of the header from `bytes`. Returns `false` if they end before.
    fn read_header(&mut self, bytes: &mut &[u8]) -> Result<bool, ProtocolError> {
        let (added, rest) = bytes.split_at((HEADER_SIZE - self.header_length).min(bytes.len()));
        self.header[self.header_length..self.header_length + added.len()].copy_from_slice(added);
        self.header_length += added.len();
        *bytes = rest;
        if self.header_length < HEADER_SIZE {
            return Ok(false);
        }
        self.missing_body = parse_header(self.header)?.body_length;
        if self.missing_body > MAX_CLIENT_BODY {
            return Err(ProtocolError::TooLong);
        }
        Ok(true)
    }
}

#[cfg(test)]
mod tests;

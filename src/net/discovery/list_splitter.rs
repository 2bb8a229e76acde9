//! Splits the body of a watch response into endpoint lists and heartbeats.

use super::error::WatchError;
use crate::json::MAX_DEPTH;

/// Maximum length of an endpoint list (bytes). An indented list of 3,200 endpoints exceeds a megabyte.
pub(super) const MAX_LIST_LENGTH: usize = 2 * 1024 * 1024;

/// A complete message received over a watch.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum WatchMessage {
    /// An empty line, which means that nothing has changed.
    Heartbeat,
    /// The JSON text of an endpoint list.
    List(Vec<u8>),
}

/// Finds the end of each JSON object in a byte stream. An object may extend over several lines.
#[derive(Default)]
pub(super) struct ListSplitter {
    /// The part of the current list that has been received.
    list: Vec<u8>,
    /// The number of open arrays and objects.
    depth: usize,
    in_string: bool,
    /// Whether the previous byte was an escaping backslash in a string.
    escaped: bool,
}

impl ListSplitter {
    /// Returns `true` if a list has begun that is not complete yet.
    pub fn is_inside_list(&self) -> bool {
        self.depth > 0
    }

    /// Processes `bytes` and appends each message that they complete to `messages`.
    pub fn push(&mut self, bytes: &[u8], messages: &mut Vec<WatchMessage>) -> Result<(), WatchError> {
        for byte in bytes {
            if self.is_inside_list() || *byte == b'{' {
                self.push_list_byte(*byte, messages)?;
            } else {
                push_byte_between_lists(*byte, messages)?;
            }
        }
        Ok(())
    }

    fn push_list_byte(&mut self, byte: u8, messages: &mut Vec<WatchMessage>) -> Result<(), WatchError> {
        self.list.push(byte);
        self.track_nesting(byte);
        if self.depth == 0 {
            messages.push(WatchMessage::List(std::mem::take(&mut self.list)));
        } else if self.depth > MAX_DEPTH || self.list.len() > MAX_LIST_LENGTH {
            return Err(WatchError::ListTooLarge);
        }
        Ok(())
    }

    fn track_nesting(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => self.depth -= 1,
            _ => {}
        }
    }
}

fn push_byte_between_lists(byte: u8, messages: &mut Vec<WatchMessage>) -> Result<(), WatchError> {
    match byte {
        b'\n' => messages.push(WatchMessage::Heartbeat),
        b' ' | b'\t' | b'\r' => {}
        _ => return Err(WatchError::UnexpectedData),
    }
    Ok(())
}

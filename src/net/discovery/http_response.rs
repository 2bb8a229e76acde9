//! An incremental parser for the HTTP/1.1 response to a watch.

use super::error::WatchError;
use crate::net::buffer::RingBuffer;

/// Maximum number of header fields in a response.
const MAX_HEADERS: usize = 32;
/// Maximum length of the response head (bytes).
const MAX_HEAD_LENGTH: usize = 8 * 1024;
/// Maximum length of a chunk size line (bytes).
const MAX_CHUNK_SIZE_LINE: usize = 256;

/// The part of the response that the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ParserState {
    /// The status line and the header fields.
    Head,
    /// The line with the size of a chunk.
    ChunkSize,
    /// The content of a chunk.
    ChunkData {
        /// The number of bytes of the chunk that have not been received yet.
        remaining: u64,
    },
    /// The line end after a chunk.
    ChunkEnd,
}

/// The result of one step of the parser.
enum ParseStep {
    /// More input is needed.
    Incomplete,
    /// A part of the framing was consumed.
    FramingConsumed,
    /// Bytes of the body were consumed.
    Data(Vec<u8>),
}

/// How the end of the response body is determined.
enum BodyFraming {
    Chunked,
    UntilClosed,
}

/// Incremental parser that removes the HTTP framing from a response body.
pub(super) struct ResponseParser {
    state: ParserState,
}

impl ResponseParser {
    pub fn new() -> ResponseParser {
        ResponseParser { state: ParserState::Head }
    }

    /// Returns `true` if the response head has been parsed.
    pub fn has_head(&self) -> bool {
        self.state != ParserState::Head
    }

    /// Consumes input and returns the next bytes of the body, or `None` if more input is needed.
    pub fn next_data(&mut self, input: &mut RingBuffer) -> Result<Option<Vec<u8>>, WatchError> {
        loop {
            match self.parse_next(input)? {
                ParseStep::Incomplete => return Ok(None),
                ParseStep::FramingConsumed => {}
                ParseStep::Data(bytes) => return Ok(Some(bytes)),
            }
        }
    }

    fn parse_next(&mut self, input: &mut RingBuffer) -> Result<ParseStep, WatchError> {
        match self.state {
            ParserState::Head => self.parse_head(input),
            ParserState::ChunkSize => self.parse_chunk_size(input),
            ParserState::ChunkData { remaining } => Ok(self.take_chunk_data(remaining, input)),
            ParserState::ChunkEnd => self.parse_chunk_end(input),
        }
    }

    fn parse_head(&mut self, input: &mut RingBuffer) -> Result<ParseStep, WatchError> {
        let head = input.peek_up_to(MAX_HEAD_LENGTH);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&head) {
            Ok(httparse::Status::Complete(length)) => {
                self.state = match body_framing(&response)? {
                    BodyFraming::Chunked => ParserState::ChunkSize,
                    BodyFraming::UntilClosed => ParserState::ChunkData { remaining: u64::MAX },
                };
                input.consume(length);
                Ok(ParseStep::FramingConsumed)
            }
            Ok(httparse::Status::Partial) if head.len() < MAX_HEAD_LENGTH => Ok(ParseStep::Incomplete),
            _ => Err(WatchError::InvalidHead),
        }
    }

    fn parse_chunk_size(&mut self, input: &mut RingBuffer) -> Result<ParseStep, WatchError> {
        let line = input.peek_up_to(MAX_CHUNK_SIZE_LINE);
        match httparse::parse_chunk_size(&line) {
            Ok(httparse::Status::Complete((_, 0))) => Err(WatchError::Ended),
            Ok(httparse::Status::Complete((length, size))) => {
                input.consume(length);
                self.state = ParserState::ChunkData { remaining: size };
                Ok(ParseStep::FramingConsumed)
            }
            Ok(httparse::Status::Partial) if line.len() < MAX_CHUNK_SIZE_LINE => Ok(ParseStep::Incomplete),
            _ => Err(WatchError::MalformedChunk),
        }
    }

    fn take_chunk_data(&mut self, remaining: u64, input: &mut RingBuffer) -> ParseStep {
        let bytes = input.take(usize::try_from(remaining).unwrap_or(usize::MAX));
        if bytes.is_empty() {
            return ParseStep::Incomplete;
        }
        self.state = match remaining - bytes.len() as u64 {
            0 => ParserState::ChunkEnd,
            remaining => ParserState::ChunkData { remaining },
        };
        ParseStep::Data(bytes)
    }

    fn parse_chunk_end(&mut self, input: &mut RingBuffer) -> Result<ParseStep, WatchError> {
        match input.peek() {
            None => Ok(ParseStep::Incomplete),
            Some([b'\r', b'\n']) => {
                input.consume(2);
                self.state = ParserState::ChunkSize;
                Ok(ParseStep::FramingConsumed)
            }
            Some(_) => Err(WatchError::MalformedChunk),
        }
    }
}

/// Checks that the response has status 200 and no fixed length, and returns the framing of its body.
fn body_framing(response: &httparse::Response) -> Result<BodyFraming, WatchError> {
    let header = |name: &str| {
        let mut headers = response.headers.iter();
        headers.find(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
    };
    let encoding = header("transfer-encoding");
    let is_chunked = encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case(b"chunked"));
    let has_length = header("content-length").is_some();
    match response.code {
        Some(200) if is_chunked => Ok(BodyFraming::Chunked),
        Some(200) if encoding.is_none() && !has_length => Ok(BodyFraming::UntilClosed),
        _ => Err(WatchError::Rejected),
    }
}

//! An incremental parser for the HTTP/1.1 response to a watch.

use super::error::WatchError;
use crate::net::buffer::RingBuffer;

/// Most header fields that the head of a response may have.
const MAX_HEADERS: usize = 32;
/// Longest head of a response (bytes).
const MAX_HEAD_LENGTH: usize = 8 * 1024;
/// Longest line that gives the size of a chunk (bytes).
const MAX_CHUNK_SIZE_LINE: usize = 256;

/// What the next byte of the response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ParserState {
    /// The status line and the header fields.
    Head,
    /// The line that gives the size of a chunk.
    ChunkSize,
    /// The content of a chunk.
    ChunkData {
        /// How many bytes of the chunk have not been received yet.
        remaining: u64,
    },
    /// The line end after a chunk.
    ChunkEnd,
}

/// The result of one step of the parser.
enum Step {
    /// More bytes have to be received first.
    Incomplete,
    /// A part of the framing was consumed.
    Framing,
    /// Bytes of the body were consumed.
    Data(Vec<u8>),
}

/// How the end of a response's body is found.
enum BodyFraming {
    Chunked,
    UntilClosed,
}

/// Separates the body of a response from its framing.
pub(super) struct ResponseParser {
    state: ParserState,
}

impl ResponseParser {
    pub fn new() -> ResponseParser {
        ResponseParser { state: ParserState::Head }
    }

    /// Whether the head of the response is complete.
    pub fn has_head(&self) -> bool {
        self.state != ParserState::Head
    }

    /// Consumes input up to the next bytes of the body. Returns `None` when it takes more input to go on.
    pub fn next_data(&mut self, input: &mut RingBuffer) -> Result<Option<Vec<u8>>, WatchError> {
        loop {
            match self.parse_next(input)? {
                Step::Incomplete => return Ok(None),
                Step::Framing => {}
                Step::Data(bytes) => return Ok(Some(bytes)),
            }
        }
    }

    fn parse_next(&mut self, input: &mut RingBuffer) -> Result<Step, WatchError> {
        match self.state {
            ParserState::Head => self.parse_head(input),
            ParserState::ChunkSize => self.parse_chunk_size(input),
            ParserState::ChunkData { remaining } => Ok(self.take_chunk_data(remaining, input)),
            ParserState::ChunkEnd => self.parse_chunk_end(input),
        }
    }

    fn parse_head(&mut self, input: &mut RingBuffer) -> Result<Step, WatchError> {
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
                Ok(Step::Framing)
            }
            Ok(httparse::Status::Partial) if head.len() < MAX_HEAD_LENGTH => Ok(Step::Incomplete),
            _ => Err(WatchError::NotHttp),
        }
    }

    fn parse_chunk_size(&mut self, input: &mut RingBuffer) -> Result<Step, WatchError> {
        let line = input.peek_up_to(MAX_CHUNK_SIZE_LINE);
        match httparse::parse_chunk_size(&line) {
            Ok(httparse::Status::Complete((_, 0))) => Err(WatchError::Ended),
            Ok(httparse::Status::Complete((length, size))) => {
                input.consume(length);
                self.state = ParserState::ChunkData { remaining: size };
                Ok(Step::Framing)
            }
            Ok(httparse::Status::Partial) if line.len() < MAX_CHUNK_SIZE_LINE => Ok(Step::Incomplete),
            _ => Err(WatchError::MalformedChunk),
        }
    }

    fn take_chunk_data(&mut self, remaining: u64, input: &mut RingBuffer) -> Step {
        let bytes = input.take(usize::try_from(remaining).unwrap_or(usize::MAX));
        if bytes.is_empty() {
            return Step::Incomplete;
        }
        self.state = match remaining - bytes.len() as u64 {
            0 => ParserState::ChunkEnd,
            remaining => ParserState::ChunkData { remaining },
        };
        Step::Data(bytes)
    }

    fn parse_chunk_end(&mut self, input: &mut RingBuffer) -> Result<Step, WatchError> {
        match input.peek() {
            None => Ok(Step::Incomplete),
            Some([b'\r', b'\n']) => {
                input.consume(2);
                self.state = ParserState::ChunkSize;
                Ok(Step::Framing)
            }
            Some(_) => Err(WatchError::MalformedChunk),
        }
    }
}

/// Checks that the response is a watch, which ends only when its sender ends it.
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

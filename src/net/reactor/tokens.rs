//! Sources of poll events and their encoding as `mio` tokens. A token holds, from the most significant bit
//! down, the kind of the source, the generation of the connection and its slot index.

use mio::Token;

use super::connection_table::{ConnectionId, GENERATION_BITS, MAX_GENERATION};

const INDEX_BITS: u32 = u32::BITS;
const KIND_SHIFT: u32 = INDEX_BITS + GENERATION_BITS;

const LISTENER: usize = 0;
const SIGNALS: usize = 1;
const CLIENT: usize = 2;
const BACKEND: usize = 3;
const DISCOVERY: usize = 4;

// A token must have room for the kind, the generation and the index.
const _: () = assert!(usize::BITS == 64);
const _: () = assert!(DISCOVERY <= usize::MAX >> KIND_SHIFT);

/// The source of a poll event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventSource {
    /// The listening socket.
    Listener,
    /// Signals sent to the process.
    Signals,
    /// A client connection.
    Client(ConnectionId),
    /// A connection to an endpoint.
    Backend(ConnectionId),
    /// A connection to the discovery service.
    Discovery(ConnectionId),
}

impl EventSource {
    /// Returns whether the source is a client connection.
    pub fn is_client(self) -> bool {
        matches!(self, EventSource::Client(_))
    }
}

impl From<EventSource> for Token {
    fn from(source: EventSource) -> Token {
        match source {
            EventSource::Listener => Token(LISTENER << KIND_SHIFT),
            EventSource::Signals => Token(SIGNALS << KIND_SHIFT),
            EventSource::Client(id) => connection_token(CLIENT, id),
            EventSource::Backend(id) => connection_token(BACKEND, id),
            EventSource::Discovery(id) => connection_token(DISCOVERY, id),
        }
    }
}

impl From<Token> for EventSource {
    fn from(token: Token) -> EventSource {
        let id = connection_id(token);
        match token.0 >> KIND_SHIFT {
            LISTENER => EventSource::Listener,
            SIGNALS => EventSource::Signals,
            CLIENT => EventSource::Client(id),
            BACKEND => EventSource::Backend(id),
            _ => EventSource::Discovery(id),
        }
    }
}

fn connection_token(kind: usize, id: ConnectionId) -> Token {
    let generation = id.generation as usize;
    let index = id.index as usize;
    Token(kind << KIND_SHIFT | generation << INDEX_BITS | index)
}

fn connection_id(Token(token): Token) -> ConnectionId {
    ConnectionId { index: token as u32, generation: (token >> INDEX_BITS) as u32 & MAX_GENERATION }
}

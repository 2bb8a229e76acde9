//! A connection that carries PostgreSQL messages, as a client or a database host uses it.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use super::wire::{message_type, Message};
use super::EVENT_TIMEOUT;

/// A connection of a scripted client or database host to the pooler.
pub struct Connection {
    /// The socket, for tests that access it directly.
    pub stream: TcpStream,
}

/// The fields of an ErrorResponse that the tests check.
#[derive(Debug, PartialEq)]
pub struct ErrorResponse {
    /// The SQLSTATE, field `C`.
    pub sqlstate: String,
    /// The detail, field `D`. In a rejection it is the Retry-After in milliseconds.
    pub detail: Option<String>,
}

impl Connection {
    /// Wraps a connected socket. Reads time out after [`EVENT_TIMEOUT`].
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Connection { stream }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Closes the connection immediately. Dropping it may close it later, since a child process that another
    /// test is starting briefly holds copies of all descriptors.
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }

    /// Resets the connection once all sent bytes have been transmitted.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Receives the next message. Returns `None` if the connection is closed or a read fails.
    pub fn receive(&mut self) -> Option<Message> {
        let mut header = [0; 5];
        self.stream.read_exact(&mut header).ok()?;
        let [kind, length @ ..] = header;
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        self.stream.read_exact(&mut body).ok()?;
        Some(Message { kind, body })
    }

    /// Receives all messages up to ReadyForQuery. Returns them without ReadyForQuery.
    pub fn receive_response(&mut self) -> Vec<Message> {
        let mut messages = Vec::new();
        while let Some(message) = self.receive() {
            if message.kind == message_type::READY_FOR_QUERY {
                break;
            }
            messages.push(message);
        }
        messages
    }

    /// Asserts that the next response starts with a RowDescription.
    #[track_caller]
    pub fn expect_result(&mut self) {
        assert_eq!(self.receive_response()[0].kind, message_type::ROW_DESCRIPTION);
    }

    /// Asserts that the row of the next response ends with `value`.
    #[track_caller]
    pub fn expect_value(&mut self, value: &[u8]) {
        let response = self.receive_response();
        assert!(response[1].body.ends_with(value), "unexpected value in the response");
    }

    /// Receives a response, and asserts that it consists of a single ErrorResponse.
    pub fn receive_error(&mut self) -> ErrorResponse {
        let response = self.receive_response();
        assert_eq!((response.len(), response[0].kind), (1, message_type::ERROR_RESPONSE), "{response:?}");
        let text = String::from_utf8(response[0].body.clone()).unwrap();
        let field = |kind| text.split('\0').find_map(|field| field.strip_prefix(kind)).map(String::from);
        ErrorResponse { sqlstate: field('C').unwrap(), detail: field('D') }
    }

    /// Asserts that the next response is an error with this SQLSTATE.
    #[track_caller]
    pub fn expect_error(&mut self, sqlstate: &str) {
        assert_eq!(self.receive_error().sqlstate, sqlstate);
    }

    /// Asserts that the peer closes the connection without sending further bytes and without a reset.
    #[track_caller]
    pub fn expect_closed_without_reset(&mut self) {
        assert_eq!(self.read_byte().expect("reading failed instead of reaching an orderly close"), 0);
    }

    /// Asserts that the peer closes or resets the connection without sending further bytes.
    #[track_caller]
    pub fn expect_closed(&mut self) {
        match self.read_byte() {
            Ok(0) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            other => panic!("expected the connection to be closed, got {other:?}"),
        }
    }

    /// Asserts that the pooler closes the connection without sending a query.
    #[track_caller]
    pub fn expect_closed_without_query(&mut self) {
        let message = self.receive();
        assert!(message.is_none(), "expected the connection to be closed, got {message:?}");
    }

    /// Reads at most one byte. Retries if a signal interrupts it, such as the one for the exit of a child
    /// process of another test.
    fn read_byte(&mut self) -> std::io::Result<usize> {
        loop {
            match self.stream.read(&mut [0]) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}

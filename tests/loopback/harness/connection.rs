//! A connection that carries PostgreSQL messages, driven from either end.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use super::wire::{message_type, Message};
use super::EVENT_TIMEOUT;

/// One end of a connection between a client or a database host and the pooler.
pub struct Connection {
    /// The socket, for tests that read or close it themselves.
    pub stream: TcpStream,
}

/// The fields of an ErrorResponse that the tests look at.
#[derive(Debug, PartialEq)]
pub struct ErrorResponse {
    /// The field `C`.
    pub sqlstate: String,
    /// The field `D`. A rejection holds the milliseconds after which to retry.
    pub detail: Option<String>,
}

impl Connection {
    /// Takes over a connected socket. Reading from it fails after [`EVENT_TIMEOUT`].
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Connection { stream }
    }

    /// Sends all of `bytes`.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Closes the connection at once. Dropping it may close it later: a process that another test is starting
    /// holds copies of all descriptors for a moment.
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }

    /// Ends the connection by a reset after all sent bytes have left.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// The next message, or `None` if the connection has ended.
    pub fn receive(&mut self) -> Option<Message> {
        let mut header = [0; 5];
        self.stream.read_exact(&mut header).ok()?;
        let [kind, length @ ..] = header;
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        self.stream.read_exact(&mut body).ok()?;
        Some(Message { kind, body })
    }

    /// The messages up to ReadyForQuery, without ReadyForQuery itself.
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

    /// Receives a response that has to start with a row description.
    #[track_caller]
    pub fn expect_result(&mut self) {
        assert_eq!(self.receive_response()[0].kind, message_type::ROW_DESCRIPTION);
    }

    /// Receives a response whose row has to end with `value`.
    #[track_caller]
    pub fn expect_value(&mut self, value: &[u8]) {
        let response = self.receive_response();
        assert!(response[1].body.ends_with(value), "the response has another value");
    }

    /// Receives a response that has to be one ErrorResponse and nothing else.
    pub fn receive_error(&mut self) -> ErrorResponse {
        let response = self.receive_response();
        assert_eq!((response.len(), response[0].kind), (1, message_type::ERROR_RESPONSE), "{response:?}");
        let text = String::from_utf8(response[0].body.clone()).unwrap();
        let field = |kind| text.split('\0').find_map(|field| field.strip_prefix(kind)).map(String::from);
        ErrorResponse { sqlstate: field('C').unwrap(), detail: field('D') }
    }

    /// Receives a response that has to be an error with this SQLSTATE.
    #[track_caller]
    pub fn expect_error(&mut self, sqlstate: &str) {
        assert_eq!(self.receive_error().sqlstate, sqlstate);
    }

    /// Waits for the end of the connection, which has to come without further bytes and not by a reset.
    #[track_caller]
    pub fn expect_closed_without_reset(&mut self) {
        assert_eq!(self.read_byte().expect("no reset"), 0);
    }

    /// Waits for the end of the connection, by a reset or not, which has to come without further bytes.
    #[track_caller]
    pub fn expect_closed(&mut self) {
        match self.read_byte() {
            Ok(0) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            other => panic!("{other:?} instead of the end of the connection"),
        }
    }

    /// Requires that the pooler ends the connection and sends no query before that.
    #[track_caller]
    pub fn expect_closed_without_query(&mut self) {
        let message = self.receive();
        assert!(message.is_none(), "{message:?} instead of the end of the connection");
    }

    /// Reads at most one byte. Starts again after a signal, such as the one that comes when the child process
    /// of another test ends.
    fn read_byte(&mut self) -> std::io::Result<usize> {
        loop {
            match self.stream.read(&mut [0]) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}

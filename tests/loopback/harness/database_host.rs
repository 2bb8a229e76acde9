//! Scripted database hosts.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::wire::{
    empty_query_response, encode_message, message_type, ready_for_query, result_response, Message, Role,
};
use super::{listen_on_loopback, Connection, EndpointEntry};

/// The body of AuthenticationOk, by which a host accepts a client without a password.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];

/// A database host that accepts connections of the pooler. Dropping it closes its listener.
pub struct DatabaseHost {
    listener: TcpListener,
}

impl DatabaseHost {
    /// Starts listening on a free port.
    pub fn new() -> DatabaseHost {
        DatabaseHost { listener: listen_on_loopback() }
    }

    /// Returns the entry of this host in the endpoint list.
    pub fn entry(&self, name: &str, zone: &str) -> EndpointEntry {
        EndpointEntry {
            name: name.to_string(),
            address: self.listener.local_addr().unwrap(),
            zone: zone.to_string(),
            status: "SERVING",
            access: None,
            group: 2,
            since_ms: 0,
        }
    }

    /// Answers every query with `value` after `service_time`, in the background. Returns the instants at
    /// which queries are received.
    pub fn answer_queries(
        self,
        value: &'static [u8],
        role: Role,
        service_time: Duration,
    ) -> Arc<Mutex<Vec<Instant>>> {
        let received_at: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let recorded = received_at.clone();
        std::thread::spawn(move || {
            while let Some(connection) = self.next_connection() {
                let recorded = recorded.clone();
                std::thread::spawn(move || answer_queries(connection, value, role, service_time, &recorded));
            }
        });
        received_at
    }

    /// Closes the listener immediately. Dropping the host may close it later, see [`Connection::close`].
    pub fn close(self) {
        socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both).unwrap();
    }

    /// Accepts the next connection, before its startup. Returns `None` if there is none within
    /// [`EVENT_TIMEOUT`](super::EVENT_TIMEOUT).
    pub fn next_connection(&self) -> Option<Connection> {
        let (stream, _) = self.listener.accept().ok()?;
        Some(Connection::new(stream))
    }

    /// Accepts the next connection, before its startup.
    pub fn accept_without_startup(&self) -> Connection {
        Connection::new(self.listener.accept().expect("the pooler opened no connection").0)
    }

    /// Accepts the next connection and reads its startup message, without answering it.
    pub fn accept_unanswered_startup(&self) -> Connection {
        let mut connection = self.accept_without_startup();
        connection.receive_startup().unwrap();
        connection
    }

    /// Accepts the next connection and completes its startup.
    pub fn accept(&self) -> Connection {
        let mut connection = self.accept_unanswered_startup();
        connection.complete_startup();
        connection
    }
}

/// Returns the response to a startup message: AuthenticationOk and ReadyForQuery.
pub fn startup_response() -> Vec<u8> {
    let authentication_ok = encode_message(message_type::AUTHENTICATION, &AUTHENTICATION_OK);
    [authentication_ok, ready_for_query()].concat()
}

fn is_empty_query(message: &Message) -> bool {
    message.kind == message_type::QUERY && message.body == b"\0"
}

/// Answers the queries of one connection until the pooler closes it.
fn answer_queries(
    mut connection: Connection,
    value: &[u8],
    role: Role,
    service_time: Duration,
    received_at: &Mutex<Vec<Instant>>,
) {
    if connection.answer_startup().is_err() {
        return;
    }
    while connection.receive_statement().is_some() {
        received_at.lock().unwrap().push(Instant::now());
        std::thread::sleep(service_time);
        if connection.stream.write_all(&result_response(value, role)).is_err() {
            return;
        }
    }
}

impl Connection {
    /// Receives the startup message. Fails if the connection ends before.
    fn receive_startup(&mut self) -> io::Result<()> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length)?;
        self.stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4])
    }

    /// Receives and answers the startup message. Fails if the connection ends meanwhile.
    pub fn answer_startup(&mut self) -> io::Result<()> {
        self.receive_startup()?;
        self.stream.write_all(&startup_response())
    }

    /// Answers the startup message. The pooler may then send queries.
    pub fn complete_startup(&mut self) {
        self.send(&startup_response());
    }

    /// Receives the next message that is not an empty query. Answers empty queries, by which the pooler
    /// synchronizes a connection after each response. Returns `None` if the connection ends.
    pub fn receive_statement(&mut self) -> Option<Message> {
        loop {
            let message = self.receive()?;
            if !is_empty_query(&message) {
                return Some(message);
            }
            self.stream.write_all(&empty_query_response()).ok()?;
        }
    }

    /// Asserts that the next message is an empty query, and does not answer it.
    #[track_caller]
    pub fn expect_empty_query(&mut self) {
        let message = self.receive();
        assert!(message.as_ref().is_some_and(is_empty_query), "expected an empty query, got {message:?}");
    }

    /// Answers the empty query by which the pooler synchronizes the connection after a response. Returns as
    /// well if the pooler closes the connection instead.
    fn answer_synchronization(&mut self) {
        if let Some(message) = self.receive() {
            assert!(is_empty_query(&message), "expected an empty query, got {message:?}");
            let _ = self.stream.write_all(&empty_query_response());
        }
    }

    /// Receives the next message, asserts that it is a query, and returns its statement.
    pub fn receive_query(&mut self) -> String {
        let message = self.receive_statement().expect("no query on the connection");
        assert_eq!(message.kind, message_type::QUERY);
        let without_terminator = &message.body[..message.body.len() - 1];
        String::from_utf8(without_terminator.to_vec()).unwrap()
    }

    /// Asserts that the next query is the request with this id.
    #[track_caller]
    pub fn expect_request(&mut self, id: &str) {
        let sql = self.receive_query();
        assert!(sql.contains(&format!("id={id},")), "{sql}");
    }

    /// Answers a query with a result of one row. The connection can be reused afterwards.
    pub fn send_result(&mut self, value: &[u8], role: Role) {
        self.send(&result_response(value, role));
        self.answer_synchronization();
    }
}

//! Database hosts.

use std::io::Read;
use std::net::{Shutdown, TcpListener};

use super::wire::{encode_message, message_type, ready_for_query, result_response, Role};
use super::{listen_on_loopback, Connection, EndpointEntry};

/// The body of the message by which a host accepts a client without a password.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];

/// A database host that accepts connections of the pooler. Dropping it closes its port.
pub struct DatabaseHost {
    listener: TcpListener,
}

impl DatabaseHost {
    /// Starts to listen on a free port.
    pub fn new() -> DatabaseHost {
        DatabaseHost { listener: listen_on_loopback() }
    }

    /// The entry of this host in the endpoint list.
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

    /// Refuses connections from now on. Dropping the host may do so later, see [`Connection::close`].
    pub fn close(self) {
        socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both).unwrap();
    }

    /// The next connection, before its startup; none if the pooler opens none for a long time.
    pub fn next_connection(&self) -> Option<Connection> {
        let (stream, _) = self.listener.accept().ok()?;
        Some(Connection::new(stream))
    }

    /// The next connection, before its startup.
    pub fn accept_without_startup(&self) -> Connection {
        Connection::new(self.listener.accept().expect("the pooler connects").0)
    }

    /// The next connection. Its startup message is read and not answered yet.
    pub fn accept_unanswered_startup(&self) -> Connection {
        let mut connection = self.accept_without_startup();
        let mut length = [0; 4];
        connection.stream.read_exact(&mut length).unwrap();
        let mut parameters = vec![0; u32::from_be_bytes(length) as usize - 4];
        connection.stream.read_exact(&mut parameters).unwrap();
        connection
    }

    /// The next connection, after its startup.
    pub fn accept(&self) -> Connection {
        let mut connection = self.accept_unanswered_startup();
        connection.complete_startup();
        connection
    }
}

/// The answer to a startup message.
pub fn startup_response() -> Vec<u8> {
    let authentication_ok = encode_message(message_type::AUTHENTICATION, &AUTHENTICATION_OK);
    [authentication_ok, ready_for_query()].concat()
}

impl Connection {
    /// Answers the startup message, after which the pooler may send a query.
    pub fn complete_startup(&mut self) {
        self.send(&startup_response());
    }

    /// The statement of the next message, which has to be a query.
    pub fn receive_query(&mut self) -> String {
        let message = self.receive().expect("a query");
        assert_eq!(message.kind, message_type::QUERY);
        let without_terminator = &message.body[..message.body.len() - 1];
        String::from_utf8(without_terminator.to_vec()).unwrap()
    }

    /// Receives a query that has to be the request with this id.
    #[track_caller]
    pub fn expect_request(&mut self, id: &str) {
        let sql = self.receive_query();
        assert!(sql.contains(&format!("id={id},")), "{sql}");
    }

    /// Answers a query.
    pub fn send_result(&mut self, value: &[u8], role: Role) {
        self.send(&result_response(value, role));
    }
}

//! Scripted clients of the pooler.

use std::net::TcpStream;

use super::wire::{cancel_request, message_type, startup_message};
use super::{Connection, Pooler};

/// The length of the key in BackendKeyData: a process ID and a secret key.
const CANCEL_KEY_LENGTH: usize = 8;

/// Opens a connection to the pooler without sending a startup message.
pub fn connect_without_startup(pooler: &Pooler) -> Connection {
    Connection::new(TcpStream::connect(pooler.address).unwrap())
}

/// Connects a client and completes its startup.
pub fn connect_client(pooler: &Pooler) -> Connection {
    let mut client = connect_without_startup(pooler);
    client.send(&startup_message());
    client.receive_response();
    client
}

/// Connects a client and completes its startup. Returns it with the cancel request for its queries.
pub fn connect_client_with_cancel_request(pooler: &Pooler) -> (Connection, Vec<u8>) {
    let mut client = connect_without_startup(pooler);
    client.send(&startup_message());
    let mut response = client.receive_response().into_iter();
    let key = response
        .find(|message| message.kind == message_type::BACKEND_KEY_DATA)
        .expect("no BackendKeyData")
        .body;
    assert_eq!(key.len(), CANCEL_KEY_LENGTH);
    (client, cancel_request(&key))
}

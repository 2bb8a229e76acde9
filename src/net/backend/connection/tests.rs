use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;

use super::*;
use crate::net::messages::{AttemptTask, Statement, Task};

const TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Socket buffer size in bytes, smaller than the kernel's default.
const SOCKET_BUFFER: usize = 4096;
/// Far more bytes than fit into the buffers of both sockets.
const STATEMENT_LENGTH: usize = 150_000;
/// By how much the timeout stated in a query may exceed the time that the client still waits.
const ALLOWED_TIMEOUT_EXCESS: Duration = Duration::from_millis(150);

fn exchange_with_long_statement(started_at: Instant) -> Exchange {
    let text = format!("/* d=5000 */ SELECT '{}'", "x".repeat(STATEMENT_LENGTH)).into_boxed_str();
    let statement = Statement { text, timeout_range: 5..9, memory: None };
    let attempt = AttemptTask { request: "1".into(), number: 0, statement: Rc::new(statement) };
    Exchange::new(Task::Attempt(attempt), started_at, TIMEOUT)
}

fn is_starting(connection: &BackendConnection) -> bool {
    matches!(connection.state, ConnectionState::Starting(_))
}

/// Returns a connection that has started its session at `started_at`, and the socket of its endpoint, which
/// reads nothing more.
fn connection_with_blocked_query(started_at: Instant) -> (BackendConnection, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&listener).set_recv_buffer_size(SOCKET_BUFFER).unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).unwrap();
    socket2::SockRef::from(&stream).set_send_buffer_size(SOCKET_BUFFER).unwrap();
    let budget = MemoryBudget::new(1_000_000);
    let mut connection = BackendConnection::new(
        "db-1".into(),
        address,
        stream,
        exchange_with_long_statement(started_at),
        CONNECT_TIMEOUT,
        &budget,
    );
    let (mut endpoint, _) = listener.accept().unwrap();
    while !is_starting(&connection) {
        assert_eq!(connection.run_cycle(started_at), ExchangeStatus::Pending);
    }
    let startup_length = postgres::startup_message(USER, DATABASE).len();
    endpoint.read_exact(&mut vec![0; startup_length]).unwrap();
    endpoint.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I").unwrap();
    let mut status = ExchangeStatus::Pending;
    while is_starting(&connection) {
        assert_eq!(status, ExchangeStatus::Pending);
        status = connection.run_cycle(started_at);
    }
    assert_eq!(status, ExchangeStatus::Ready);
    assert_eq!(connection.send_prepared_query(started_at), ExchangeStatus::Pending);
    assert!(!connection.has_empty_buffers(), "the query should not fit into the socket buffers");
    (connection, endpoint)
}

/// A query states how long its client waits. A query that stayed in the output buffer until its deadline used
/// to reach the endpoint with a timeout that had already passed.
#[test]
fn an_unwritten_query_fails_before_its_stated_timeout_is_outdated() {
    let started_at = Instant::now();
    let (mut connection, _endpoint) = connection_with_blocked_query(started_at);
    assert!(
        connection.state_deadline <= started_at + ALLOWED_TIMEOUT_EXCESS,
        "the write deadline is too late"
    );
    let expired = connection.expire(started_at + ALLOWED_TIMEOUT_EXCESS);
    assert_eq!(expired, ExchangeStatus::Failed(Outcome::ConnectFailed));
}

#[test]
fn a_query_past_its_write_deadline_is_not_written_when_the_endpoint_reads_again() {
    let started_at = Instant::now();
    let (mut connection, mut endpoint) = connection_with_blocked_query(started_at);
    std::thread::spawn(move || endpoint.read_to_end(&mut Vec::new()));
    let late = started_at + 2 * ALLOWED_TIMEOUT_EXCESS;
    assert_eq!(connection.run_cycle(late), ExchangeStatus::Failed(Outcome::ConnectFailed));
}

#[test]
fn a_written_query_has_the_whole_deadline_of_its_exchange() {
    let started_at = Instant::now();
    let (mut connection, mut endpoint) = connection_with_blocked_query(started_at);
    std::thread::spawn(move || endpoint.read_to_end(&mut Vec::new()));
    while !connection.has_empty_buffers() {
        assert_eq!(connection.run_cycle(started_at), ExchangeStatus::Pending);
    }
    assert_eq!(connection.state_deadline, started_at + TIMEOUT);
}

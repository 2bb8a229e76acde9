//! Tests of client connections while the system is short of memory or a client reads slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use mio::{Events, Poll};

use super::connection::ClientConnection;
use super::connections::Capacity;
use super::*;
use crate::net::postgres;
use crate::net::reactor::{EventSource, Reactor};

/// The longest deadline of any request class.
const LONGEST_DEADLINE: Duration = Duration::from_secs(8);
const MEMORY: usize = 1_000_000;
/// Smaller than the kernel's default socket buffers.
const SOCKET_BUFFER: usize = 4096;
/// Larger than the buffers of both sockets together.
static LONG_RESPONSE: [u8; 150_000] = [b'x'; 150_000];
/// Well beyond the time that a connection stays open after its last message was written.
const BEYOND_LINGER_TIMEOUT: Duration = Duration::from_millis(1900);
/// A startup message without parameters.
const STARTUP: &[u8] = b"\0\0\0\x09\0\x03\0\0\0";
/// The type of the message that answers a startup message.
const AUTHENTICATION: u8 = b'R';
/// A valid query.
const QUERY: &[u8] = b"/*id=a1,c=read,cluster=2,d=500*/ SELECT 1";
/// Timeout for reads of the client, so that no test hangs.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A frontend and one client.
struct Fixture {
    poll: Poll,
    context: Context,
    frontend: Frontend,
    client: TcpStream,
    /// The address of the listener.
    address: SocketAddr,
}

impl Fixture {
    /// Connects a client. The first `failing_registrations` attempts to register its socket fail.
    fn new(failing_registrations: usize) -> Fixture {
        let mut fixture = Fixture::with_connection_limit(1);
        fixture.context.reactor.failing_registrations = failing_registrations;
        fixture.frontend.accept(&mut fixture.context);
        fixture
    }

    /// Connects a client, which is not yet accepted.
    fn with_connection_limit(max_connections: usize) -> Fixture {
        let poll = Poll::new().unwrap();
        let reactor = Reactor::new(&poll).unwrap();
        let mut context = Context::new(reactor);
        let listener = TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        socket2::SockRef::from(&listener).set_send_buffer_size(SOCKET_BUFFER).unwrap();
        let address = listener.local_addr().unwrap();
        let budget = MemoryBudget::new(MEMORY);
        let frontend =
            Frontend::new(listener, max_connections, LONGEST_DEADLINE, budget, 1, &mut context).unwrap();
        let client = TcpStream::connect(address).unwrap();
        socket2::SockRef::from(&client).set_recv_buffer_size(SOCKET_BUFFER).unwrap();
        Fixture { poll, context, frontend, client, address }
    }

    fn connection_id(&self) -> ConnectionId {
        *self.frontend.connections.ids().first().expect("the client is connected")
    }

    fn connection(&mut self) -> &mut ClientConnection {
        let id = self.connection_id();
        self.frontend.connections.get_mut(id).unwrap()
    }

    /// Responds to a query with a value that does not fit into the socket buffers, and starts to close the
    /// connection.
    fn close_with_long_response(&mut self) {
        let id = self.connection_id();
        self.client.write_all(STARTUP).unwrap();
        self.client.write_all(&postgres::query_message(QUERY)).unwrap();
        while self.connection().session().phase() != Phase::Busy {
            self.frontend.ready(id, &mut self.context);
        }
        self.frontend.respond(id, Response::Value(LONG_RESPONSE.to_vec()), &mut self.context);
        let connection = self.frontend.connections.get_mut(id).unwrap();
        connection.close_gracefully(id, GracefulClose::Idle, &mut self.context);
        self.frontend.ready(id, &mut self.context);
        assert_eq!(self.connection().session().phase(), Phase::Closing, "the response does not fit");
    }
}

/// Guards against an event loop that serves one client for as long as each response lets its next query in.
#[test]
fn a_response_lets_the_next_query_in_only_when_the_connection_is_resumed() {
    let mut fixture = Fixture::new(0);
    let id = fixture.connection_id();
    let query = postgres::query_message(QUERY);
    fixture.client.write_all(&[STARTUP, &query, &query].concat()).unwrap();
    while fixture.connection().session().buffered_bytes() != query.len() {
        fixture.frontend.ready(id, &mut fixture.context);
    }
    fixture.frontend.respond(id, Response::Failed, &mut fixture.context);
    assert_eq!(fixture.connection().session().phase(), Phase::Idle);
    assert_eq!(fixture.context.events.len(), 1, "only the first query is passed on");
    fixture.frontend.resume(id, &mut fixture.context);
    assert_eq!(fixture.connection().session().phase(), Phase::Busy);
    assert_eq!(fixture.context.events.len(), 2);
}

/// Guards against an event loop that accepts connections for as long as clients connect.
#[test]
fn the_listener_accepts_a_limited_number_of_connections_in_a_turn() {
    let mut fixture = Fixture::with_connection_limit(100);
    let _others: Vec<_> = (0..29).map(|_| TcpStream::connect(fixture.address).unwrap()).collect();
    fixture.frontend.accept(&mut fixture.context);
    assert_eq!(fixture.frontend.connections.len(), 16);
    fixture.frontend.resume_accepting(&mut fixture.context);
    assert_eq!(fixture.frontend.connections.len(), 30);
    // The accept queue is empty, so the listener waits for its next event.
    fixture.frontend.resume_accepting(&mut fixture.context);
    assert_eq!(fixture.frontend.connections.len(), 30);
}

/// Guards against resetting a connection when the system lacks the memory to register its socket.
#[test]
fn a_client_is_served_although_its_registration_fails_at_first() {
    let mut fixture = Fixture::new(2);
    let id = fixture.connection_id();
    fixture.client.write_all(STARTUP).unwrap();
    // The second registration fails too, the third succeeds.
    for _ in 0..2 {
        fixture.frontend.timer_expired(id, &mut fixture.context);
    }
    let mut kind = [0];
    fixture.client.read_exact(&mut kind).unwrap();
    assert_eq!(kind[0], AUTHENTICATION);
    let mut events = Events::with_capacity(4);
    fixture.poll.poll(&mut events, None).unwrap();
    assert!(events.iter().any(|event| EventSource::from(event.token()) == EventSource::Client(id)));
}

/// Guards against evicting a connection for a new client before its last response is written.
#[test]
fn a_closing_connection_is_evicted_only_once_its_response_is_written() {
    let mut fixture = Fixture::new(0);
    fixture.close_with_long_response();
    assert_eq!(fixture.frontend.connections.capacity(), Capacity::Exhausted);
    let mut client = fixture.client.try_clone().unwrap();
    client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let reader = std::thread::spawn(move || {
        let mut received = Vec::new();
        client.read_to_end(&mut received).map(|_| received)
    });
    let id = fixture.connection_id();
    while !reader.is_finished() {
        fixture.frontend.ready(id, &mut fixture.context);
    }
    let received = reader.join().unwrap().expect("the connection ends once the response is written");
    assert!(received.ends_with(&[&LONG_RESPONSE, &*postgres::ready_for_query()].concat()));
    assert_eq!(fixture.frontend.connections.capacity(), Capacity::Evict(id));
}

/// Guards against fixed read timeouts, which cut off unwritten responses one second after a connection began
/// to close, and after two seconds otherwise, although requests may take longer.
#[test]
fn a_closing_connection_keeps_the_read_timeout_while_its_response_is_not_written() {
    let mut fixture = Fixture::new(0);
    fixture.close_with_long_response();
    let long_after = fixture.context.reactor.now() + BEYOND_LINGER_TIMEOUT;
    assert!(!fixture.connection().has_missed_deadline(long_after));
}

//! Connections of clients where the system is short of memory or a client reads slowly.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::TcpStream;

use mio::{Events, Poll};

use super::connection::Connection;
use super::connections::Capacity;
use super::*;
use crate::net::postgres;
use crate::net::reactor::{EventSource, Reactor};

/// The longest deadline of the classes of requests.
const LONGEST_DEADLINE: Duration = Duration::from_secs(8);
const MEMORY: usize = 1_000_000;
/// Less than the kernel's buffers would otherwise hold.
const SOCKET_BUFFER: usize = 4096;
/// More than fits into the buffers of both sockets.
static LONG_RESPONSE: [u8; 150_000] = [b'x'; 150_000];
/// Long after the time in which a client has to read its last message once it is written.
const LONG_AFTER_LINGER: Duration = Duration::from_millis(1900);
/// A startup message without parameters.
const STARTUP: &[u8] = b"\0\0\0\x09\0\x03\0\0\0";
/// The type of the message that answers a startup message.
const AUTHENTICATION: u8 = b'R';
/// A query that can be executed.
const QUERY: &[u8] = b"/*id=a1,c=read,cluster=2,d=500*/ SELECT 1";
/// Time after which a read of the client fails, so that no test hangs.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A frontend whose connection limit is one, and one client.
struct Fixture {
    poll: Poll,
    context: Context,
    frontend: Frontend,
    client: TcpStream,
}

impl Fixture {
    /// Connects a client whose registration fails so many times.
    fn new(failing_registrations: usize) -> Fixture {
        let poll = Poll::new().unwrap();
        let reactor = Reactor::new(&poll).unwrap();
        let mut context = Context { reactor, events: VecDeque::new(), counters: Counters::default() };
        let listener = TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        socket2::SockRef::from(&listener).set_send_buffer_size(SOCKET_BUFFER).unwrap();
        let address = listener.local_addr().unwrap();
        let budget = MemoryBudget::new(MEMORY);
        let mut frontend = Frontend::new(listener, 1, LONGEST_DEADLINE, budget, 1, &mut context).unwrap();
        let client = TcpStream::connect(address).unwrap();
        socket2::SockRef::from(&client).set_recv_buffer_size(SOCKET_BUFFER).unwrap();
        context.reactor.failing_registrations = failing_registrations;
        frontend.accept(&mut context);
        Fixture { poll, context, frontend, client }
    }

    fn connection_id(&self) -> ConnectionId {
        *self.frontend.connections.ids().first().expect("the client is connected")
    }

    fn connection(&mut self) -> &mut Connection {
        let id = self.connection_id();
        self.frontend.connections.get_mut(id).unwrap()
    }

    /// Has a query answered with a response that does not fit into the sockets, and starts to close the
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
        connection.close_gracefully(id, &mut self.context);
        self.frontend.ready(id, &mut self.context);
        assert_eq!(self.connection().session().phase(), Phase::Closing, "the response does not fit");
    }
}

/// A connection once was reset where the system had no memory to report its events.
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

/// A connection whose last response was still to be written was once evicted for a new client.
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

/// A response that was still to be written was once cut a second after the connection began to close, and any
/// other response after two seconds, although requests may take longer.
#[test]
fn a_client_has_as_long_to_read_its_response_as_it_may_wait_for_it() {
    let mut fixture = Fixture::new(0);
    fixture.close_with_long_response();
    let long_after = fixture.context.reactor.now() + LONG_AFTER_LINGER;
    assert!(!fixture.connection().has_missed_deadline(long_after));
}

//! A client of a run: sends requests singly or pipelined, pauses, and occasionally disconnects before the
//! response.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use mio::{Events, Interest, Poll, Token};

use super::{random_duration, PoolerProcess, Run};
use crate::harness::*;

/// How long a client waits for a response. Longer than any deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after its deadline a response may arrive. The pooler is allowed 0.5 s; the rest compensates for
/// threads that are scheduled late.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(1500);
/// A request may be unread if its connection was closed within this time after it was sent.
const UNREAD_WINDOW: Duration = Duration::from_millis(150);
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// The longest pause between pipelined requests.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// The number of requests that are pipelined.
const PIPELINE_LENGTH: usize = 3;
/// The SQLSTATEs of rejections, after which a retry is safe.
const REJECTIONS: [&str; 2] = ["53300", "57P03"];

/// The numbers of requests of a client, by how they ended. The output of the soak names these fields.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub served: u64,
    rejected: u64,
    failed: u64,
    /// The client disconnected before the response.
    left: u64,
    /// Sent again, since the connection was closed as the request was sent.
    crossed: u64,
    /// Lost in a kill before which no response was required.
    killed: u64,
}

impl std::iter::Sum for Counts {
    fn sum<I: Iterator<Item = Counts>>(counts: I) -> Counts {
        counts.fold(Counts::default(), |a, b| Counts {
            served: a.served + b.served,
            rejected: a.rejected + b.rejected,
            failed: a.failed + b.failed,
            left: a.left + b.left,
            crossed: a.crossed + b.crossed,
            killed: a.killed + b.killed,
        })
    }
}

/// A request that a client sends.
struct SentRequest {
    id: String,
    message: Vec<u8>,
    /// When it was last sent. `None` if it was not sent yet.
    sent_at: Mutex<Option<Instant>>,
    deadline: Duration,
}

impl SentRequest {
    fn sent_at(&self) -> Option<Instant> {
        *self.sent_at.lock().unwrap()
    }
}

/// How a request ended.
enum Response {
    Served,
    Rejected,
    Failed,
    /// The response is that of another request, or contains neither a value nor an error.
    WrongValue,
    /// The connection was closed without a response.
    ConnectionClosed,
    /// No response arrived within [`RESPONSE_TIMEOUT`].
    TimedOut,
}

/// A connection to a pooler process.
struct PoolerConnection {
    stream: TcpStream,
    process: Arc<PoolerProcess>,
    /// Whether a response was received on it.
    is_used: bool,
}

struct Client {
    number: usize,
    sent: u64,
    random: fastrand::Rng,
    run: Arc<Run>,
    counts: Counts,
    connection: Option<PoolerConnection>,
}

/// A client that runs in a thread of its own.
pub struct ClientThread(JoinHandle<Counts>);

impl ClientThread {
    pub fn start(number: usize, seed: u64, run: Arc<Run>) -> ClientThread {
        let random = fastrand::Rng::with_seed(seed);
        let client = Client { number, sent: 0, random, run, counts: Counts::default(), connection: None };
        ClientThread(std::thread::spawn(move || client.run_until_over()))
    }

    pub fn join(self) -> Counts {
        self.0.join().unwrap()
    }
}

impl Client {
    fn run_until_over(mut self) -> Counts {
        while !self.run.is_over() {
            let Some(connection) = self.connection.take().or_else(|| connect(self.run.current()).ok()) else {
                std::thread::sleep(RECONNECT_DELAY);
                continue;
            };
            match self.random.u32(..20) {
                0 => self.send_and_disconnect(connection),
                1 => {
                    std::thread::sleep(random_duration(&mut self.random, Duration::from_millis(400)));
                    self.connection = Some(connection);
                }
                2 => self.request(connection, PIPELINE_LENGTH, Duration::ZERO),
                3..=5 => {
                    let pause = random_duration(&mut self.random, MAX_PAUSE);
                    self.request(connection, PIPELINE_LENGTH, pause);
                }
                _ => self.request(connection, 1, Duration::ZERO),
            }
        }
        self.counts
    }

    /// Sends `count` requests with pauses between them, and receives their responses.
    fn request(&mut self, connection: PoolerConnection, count: usize, pause: Duration) {
        let sent: Vec<SentRequest> = (0..count).map(|_| self.next_request()).collect();
        self.send_and_receive(connection, &sent, pause, false);
    }

    fn next_request(&mut self) -> SentRequest {
        let id = format!("c{}-{}", self.number, self.sent);
        self.sent += 1;
        let (class, shortest_ms, longest_ms) = match self.random.u32(..10) {
            0..=3 => ("browse", 200, 1000),
            4..=5 => ("once", 200, 1000),
            6..=7 => ("order-write", 200, 1000),
            _ => ("reports", 1000, 4000),
        };
        let deadline_ms = self.random.u64(shortest_ms..longest_ms);
        self.run.attempts.record_request(&id, class);
        let message = Request::new(&id, class).deadline_ms(deadline_ms).message();
        SentRequest { id, message, sent_at: Mutex::new(None), deadline: Duration::from_millis(deadline_ms) }
    }

    /// Sends requests while it receives their responses. Requests that may be unread when the connection is
    /// closed are sent again. They must not be left unread twice, unless the process is shutting down or
    /// there are silent clients.
    fn send_and_receive(
        &mut self,
        mut connection: PoolerConnection,
        sent: &[SentRequest],
        pause: Duration,
        is_resent: bool,
    ) {
        let writer = connection.stream.try_clone().unwrap();
        let (answered, closed_at) = std::thread::scope(|scope| {
            let writing = scope.spawn(|| write_requests(writer, sent, pause));
            let answered = self.read_responses(&mut connection, sent);
            let closed_at = Instant::now();
            // On a busy machine, this thread may notice the close long after the writing one.
            let close_seen_at = writing.join().unwrap();
            (answered, close_seen_at.map_or(closed_at, |seen_at| seen_at.min(closed_at)))
        });
        let unanswered = &sent[answered..];
        if unanswered.is_empty() {
            self.connection = Some(connection);
            return;
        }
        let may_be_resent =
            unanswered.iter().all(|request| self.may_be_unread(&connection, request, closed_at));
        if !may_be_resent {
            unanswered.iter().for_each(|request| self.check_unanswered(&connection, request, closed_at));
        } else if is_resent && !connection.process.is_shutting_down() && !self.run.has_silent_clients {
            self.run
                .violations
                .add(format!("{}: two connections were closed without reading it", unanswered[0].id));
        } else {
            self.resend(unanswered);
        }
    }

    /// Receives responses up to the first that does not arrive. Returns how many have arrived.
    fn read_responses(&mut self, connection: &mut PoolerConnection, sent: &[SentRequest]) -> usize {
        let mut last_response_at = Instant::now();
        for (position, request) in sent.iter().enumerate() {
            match receive(connection, &request.id) {
                Response::Served => self.counts.served += 1,
                Response::Rejected => self.counts.rejected += 1,
                Response::Failed => self.counts.failed += 1,
                Response::WrongValue => {
                    self.run.violations.add(format!("{}: the response does not hold its value", request.id));
                }
                Response::ConnectionClosed => return position,
                Response::TimedOut => {
                    self.run
                        .violations
                        .add(format!("{}: no response within {RESPONSE_TIMEOUT:?}", request.id));
                    return position;
                }
            }
            // The time that a request waits for earlier responses on its connection does not count.
            let sent_at = request.sent_at().unwrap_or(last_response_at);
            let due_at = (sent_at + request.deadline).max(last_response_at);
            last_response_at = Instant::now();
            let lateness = last_response_at.saturating_duration_since(due_at);
            if lateness > LATENESS_TOLERANCE && !connection.process.is_killed() {
                self.run.violations.add(format!("{}: answered {lateness:?} after its deadline", request.id));
            }
        }
        sent.len()
    }

    /// Returns `true` if the pooler may have closed the connection before it read a request: the request was
    /// not sent, or was sent just before the close, which was not caused by a kill. With silent clients, the
    /// pooler may also close a connection that was never used.
    fn may_be_unread(
        &self,
        connection: &PoolerConnection,
        request: &SentRequest,
        closed_at: Instant,
    ) -> bool {
        let Some(sent_at) = request.sent_at() else { return true };
        let may_be_closed_unread = self.run.has_silent_clients && !connection.is_used;
        !connection.process.was_killed_before(closed_at)
            && (may_be_closed_unread || closed_at < sent_at + UNREAD_WINDOW)
    }

    /// Sends requests again, on a new connection.
    fn resend(&mut self, sent: &[SentRequest]) {
        self.counts.crossed += sent.len() as u64;
        if let Ok(connection) = connect(self.run.current()) {
            self.send_and_receive(connection, sent, Duration::ZERO, true);
        }
    }

    /// Checks whether a request may have been left without a response when its connection was closed.
    fn check_unanswered(&mut self, connection: &PoolerConnection, request: &SentRequest, closed_at: Instant) {
        let Some(sent_at) = request.sent_at() else { return };
        let is_killed = connection.process.was_killed_before(closed_at);
        let is_excused =
            connection.process.may_leave_unanswered(sent_at) || closed_at < sent_at + UNREAD_WINDOW;
        if is_killed && is_excused {
            self.counts.killed += 1;
        } else {
            let age = closed_at.saturating_duration_since(sent_at);
            self.run
                .violations
                .add(format!("{}: its connection was closed without a response after {age:?}", request.id));
        }
    }

    /// Sends a request and disconnects up to 100 ms later.
    fn send_and_disconnect(&mut self, mut connection: PoolerConnection) {
        let sent = self.next_request();
        let _ = connection.stream.write_all(&sent.message);
        std::thread::sleep(random_duration(&mut self.random, Duration::from_millis(100)));
        drop(connection);
        self.run.attempts.record_disconnect(&sent.id);
        self.counts.left += 1;
    }
}

/// Sends requests with pauses between them, up to the first that fails. Returns when it first noticed, before
/// sending one, that the connection was closed.
fn write_requests(mut stream: TcpStream, sent: &[SentRequest], pause: Duration) -> Option<Instant> {
    let mut close_seen_at = None;
    for (position, request) in sent.iter().enumerate() {
        if position > 0 {
            std::thread::sleep(pause);
        }
        if close_seen_at.is_none() && is_closed_by_peer(&stream) {
            close_seen_at = Some(Instant::now());
        }
        *request.sent_at.lock().unwrap() = Some(Instant::now());
        if stream.write_all(&request.message).is_err() {
            break;
        }
    }
    close_seen_at
}

/// Returns `true` if the peer has closed the connection, even if responses before the close are unread. Does
/// not block.
fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let mut poll = Poll::new().unwrap();
    let mut events = Events::with_capacity(1);
    let mut watched = mio::net::TcpStream::from_std(stream.try_clone().unwrap());
    poll.registry().register(&mut watched, Token(0), Interest::READABLE).unwrap();
    poll.poll(&mut events, Some(Duration::ZERO)).unwrap();
    events.iter().any(|event| event.is_read_closed())
}

/// Opens a connection and completes its startup.
fn connect(process: Arc<PoolerProcess>) -> io::Result<PoolerConnection> {
    let mut stream = TcpStream::connect(process.address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.write_all(&startup_message())?;
    while read_message(&mut stream)?.kind != message_type::READY_FOR_QUERY {}
    Ok(PoolerConnection { stream, process, is_used: false })
}

/// Receives the response to a request, up to ReadyForQuery.
fn receive(connection: &mut PoolerConnection, id: &str) -> Response {
    let mut response = None;
    loop {
        let message = match read_message(&mut connection.stream) {
            Ok(message) => message,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock) => return Response::TimedOut,
            Err(_) => return response.unwrap_or(Response::ConnectionClosed),
        };
        match message.kind {
            message_type::DATA_ROW if message.body.ends_with(id.as_bytes()) => {
                response = Some(Response::Served);
            }
            message_type::DATA_ROW => response = Some(Response::WrongValue),
            message_type::ERROR_RESPONSE => response = Some(rejection_or_failure(&message)),
            message_type::READY_FOR_QUERY => {
                connection.is_used = true;
                return response.unwrap_or(Response::WrongValue);
            }
            _ => {}
        }
    }
}

fn rejection_or_failure(message: &Message) -> Response {
    let text = String::from_utf8_lossy(&message.body).into_owned();
    let is_rejection = REJECTIONS.iter().any(|sqlstate| text.contains(&format!("C{sqlstate}\0")));
    if is_rejection {
        Response::Rejected
    } else {
        Response::Failed
    }
}

fn read_message(stream: &mut TcpStream) -> io::Result<Message> {
    let mut header = [0; 5];
    stream.read_exact(&mut header)?;
    let [kind, length @ ..] = header;
    let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut body)?;
    Ok(Message { kind, body })
}

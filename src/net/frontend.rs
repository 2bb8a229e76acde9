//! The clients' side: takes connections in, reads queries off them and writes the answers.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::net::Shutdown;

use mio::net::{TcpListener, TcpStream};
use mio::Interest;

use super::buffer::{CapacityExceeded, MemoryBudget, ReadStatus, RingBuffer};
use super::postgres::{self, sqlstate, CancelKey, FrameError, Message, ParsedQuery, Startup};
use super::reactor::{ConnectionId, ConnectionTable, EventSource, TimerEvent};
use super::{log, Context, Event, Response};

/// Pause before accepting again after the system had no descriptor or memory for a connection (seconds).
const ACCEPT_AGAIN: f64 = 0.1;
/// How long a client that is told of its fault may take to read it before the connection ends (seconds).
const LINGER: f64 = 1.0;
/// How long a client may take to ask for the first time, to complete a message that it has begun, and to read
/// what it is told (seconds). Guards against those who come to hold a place.
const PROMPT: f64 = 2.0;
/// How long a connection may rest between requests while more than a quarter of the places are taken, and while
/// more than half of them are, and how often that is looked at (seconds). Guards against clients that ask once
/// and keep their connection for good: when all that a front may hold are kept so, it has none left to ask on.
const RESTING: f64 = 2.0;
const RESTING_CROWDED: f64 = 0.2;
const SWEEP: f64 = 0.1;
/// When a client that is turned away by a pooler that ends may come again (milliseconds): another takes it then.
const COME_AGAIN_MS: &str = "50";
/// Most messages taken off a connection before the others have their turn. Guards against a client that sends
/// faster than it can be told that it sends rubbish.
const TURN: usize = 32;
/// Most times of arrival kept for what a client has sent ahead; further bytes count as come with the last.
const ARRIVALS: usize = 64;
/// What keeps new clients out is logged again only after so long without (seconds): it comes and goes.
const QUIET: f64 = 10.0;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Startup,
    /// The next query.
    Idle,
    /// An empty query is there and the pooler cannot serve yet.
    Unready,
    /// The answer to a query.
    Busy,
    /// The end: what comes is thrown away, what was written is still sent.
    Ending,
}

/// The connection is of no further use.
struct Closed;

impl From<CapacityExceeded> for Closed {
    fn from(_: CapacityExceeded) -> Closed {
        Closed
    }
}

/// What queries meet.
#[derive(Clone, Copy, Default)]
struct Service {
    /// Whether they can be carried out yet.
    ready: bool,
    /// Since when no more are taken.
    closed: Option<f64>,
}

struct Connection {
    stream: TcpStream,
    /// What a request to cancel its query has to name.
    key: CancelKey,
    input: RingBuffer,
    /// Up to which byte the input had come, and when: what waits behind another query ages meanwhile.
    arrivals: VecDeque<(u64, f64)>,
    output: RingBuffer,
    state: State,
    /// After an error in the extended protocol everything up to Sync is passed over.
    skipping: bool,
    /// Whether it has asked anything that could be carried out.
    asked: bool,
    /// There may be more to read, which no event will announce.
    more: bool,
    /// Whether the sending has been ended.
    shut: bool,
    /// When it was last heard of.
    active: f64,
    /// Since when something has been due from the client: a first query, the rest of a message, or that it
    /// reads.
    owing: Option<f64>,
}

impl Connection {
    /// Reads, understands and writes as far as it goes without waiting.
    fn turn(&mut self, slot: ConnectionId, service: Service, context: &mut Context) -> Result<(), Closed> {
        let (now, received) = (context.reactor.now(), self.input.total_received());
        self.more = false;
        while self.state != State::Ending {
            let fill = self.input.read_from(&mut self.stream).map_err(|_| Closed)?;
            if fill == ReadStatus::Completion {
                return Err(Closed);
            }
            self.stamp(now);
            if self.input.total_received() > received {
                self.active = now;
            }
            let before = self.input.len();
            self.understand(slot, service, context)?;
            if self.more {
                context.reactor.set_timer(now, TimerEvent::Client(slot));
                return Ok(());
            }
            // The event is edge-triggered: what a full buffer left in the socket must be read now that there
            // is room, since nothing will announce it again.
            if fill == ReadStatus::WouldBlock {
                return Ok(());
            }
            if self.input.len() == before {
                // A message whose rest will never fit must not hold its memory and its client for ever.
                let stuck = matches!(self.state, State::Startup | State::Idle) && self.output.is_empty();
                return if stuck {
                    self.fatal(slot, sqlstate::OUT_OF_MEMORY, "no memory", context)
                } else {
                    Ok(())
                };
            }
        }
        // What comes is thrown away, a buffer at a turn: guards the loop against a sender that does not stop.
        self.flush()?;
        match self.input.read_from(&mut self.stream).map_err(|_| Closed)? {
            ReadStatus::Completion => return Err(Closed),
            ReadStatus::Full if !self.input.is_empty() => {
                self.more = true;
                context.reactor.set_timer(now, TimerEvent::Client(slot));
            }
            ReadStatus::Full | ReadStatus::WouldBlock => {}
        }
        self.input.skip(self.input.len());
        Ok(())
    }

    /// Notes when what has just been read came in.
    fn stamp(&mut self, now: f64) {
        let (received, taken) = (self.input.total_received(), self.input.total_consumed());
        while self.arrivals.front().is_some_and(|(upto, _)| *upto <= taken) {
            self.arrivals.pop_front();
        }
        let full = self.arrivals.len() >= ARRIVALS;
        match self.arrivals.back_mut() {
            Some((upto, _)) if full => *upto = received,
            Some((upto, _)) if *upto == received => {}
            _ if received == taken => {}
            _ => self.arrivals.push_back((received, now)),
        }
    }

    /// When the last byte of the message that has just been taken came in.
    fn arrived(&mut self) -> f64 {
        let taken = self.input.total_consumed();
        while self.arrivals.front().is_some_and(|(upto, _)| *upto < taken) {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map_or(self.active, |(_, at)| *at)
    }

    /// Takes message by message. The next is looked at only when the answers so far are written: a client
    /// that sends and does not read gets no further than its buffers.
    fn understand(
        &mut self,
        slot: ConnectionId,
        service: Service,
        context: &mut Context,
    ) -> Result<(), Closed> {
        for _ in 0..TURN {
            if !self.flush()? {
                return Ok(());
            }
            let result = match self.state {
                State::Startup => match postgres::read_startup(&mut self.input) {
                    Ok(None) => return Ok(()),
                    Ok(Some(first)) => self.startup(first, slot, context).map(Ok)?,
                    Err(fault) => Err(fault),
                },
                State::Idle => match postgres::read_client_message(&mut self.input) {
                    Ok(None) => return Ok(()),
                    Ok(Some(message)) => self.message(message, slot, service, context).map(Ok)?,
                    Err(fault) => Err(fault),
                },
                State::Busy | State::Unready | State::Ending => return Ok(()),
            };
            match result {
                Ok(()) => {}
                Err(FrameError::Malformed) => {
                    self.fatal(slot, sqlstate::PROTOCOL_VIOLATION, "malformed message", context)?
                }
                Err(FrameError::TooLong) => {
                    self.fatal(slot, sqlstate::PROGRAM_LIMIT_EXCEEDED, "message too long", context)?;
                }
            }
        }
        self.more = true;
        Ok(())
    }

    /// Whoever asks for a query to be cancelled may hang up at once.
    fn last_words(&mut self, context: &mut Context) {
        if self.state == State::Startup {
            let _ = self.input.read_from(&mut self.stream);
            if let Ok(Some(Startup::Cancel(key))) = postgres::read_startup(&mut self.input) {
                context.events.push_back(Event::CancelRequested(key));
            }
        }
    }

    /// Whether it is between requests, with nothing on its way from here.
    fn rests(&self) -> bool {
        matches!(self.state, State::Startup | State::Idle) && self.input.is_empty() && self.output.is_empty()
    }

    /// Whether it can be ended: every query that has come in is answered, even if the answer is still to be
    /// written. The beginning of one is none.
    fn owed_nothing(&self) -> bool {
        let between = !matches!(self.state, State::Busy | State::Ending) && !self.more;
        between && (self.output.is_empty() || self.input.is_empty())
    }

    /// Whether something is due from the client.
    fn owes(&self) -> bool {
        match self.state {
            State::Startup | State::Ending => true,
            State::Idle => !self.asked || !self.input.is_empty() || !self.output.is_empty(),
            State::Busy | State::Unready => false,
        }
    }

    fn startup(&mut self, first: Startup, slot: ConnectionId, context: &mut Context) -> Result<(), Closed> {
        match first {
            Startup::Encryption => self.output.push(b"N")?,
            Startup::Session => {
                self.output.push(&postgres::session_start(self.key))?;
                self.state = State::Idle;
            }
            Startup::Cancel(key) => {
                context.events.push_back(Event::CancelRequested(key));
                return Err(Closed);
            }
            Startup::Unknown => {
                self.fatal(slot, sqlstate::FEATURE_NOT_SUPPORTED, "unknown protocol", context)?
            }
        }
        Ok(())
    }

    fn message(
        &mut self,
        message: Message,
        slot: ConnectionId,
        service: Service,
        context: &mut Context,
    ) -> Result<(), Closed> {
        match message.kind {
            b'X' => return Err(Closed),
            b'S' => {
                self.skipping = false;
                self.output.push(&postgres::ready_for_query())?;
            }
            _ if self.skipping => {}
            b'Q' => match postgres::parse_query(&message.body) {
                Ok(ParsedQuery::Nothing) if service.ready => self.empty()?,
                Ok(ParsedQuery::Nothing) => self.state = State::Unready,
                Ok(ParsedQuery::Query(mut query)) => {
                    query.received_at = self.arrived();
                    if service.closed.is_some_and(|since| query.received_at > since) {
                        // It would outlive the process: elsewhere it has all its time.
                        context.counters.rejected += 1;
                        return self.error(
                            sqlstate::CANNOT_CONNECT_NOW,
                            "shutting down",
                            Some(COME_AGAIN_MS),
                        );
                    }
                    // Guards against many statements that are each within their bound and together are not.
                    let Ok(memory) = self.input.reserve_memory(query.statement.text.len()) else {
                        context.counters.rejected += 1;
                        return self.error(sqlstate::TOO_MANY_CONNECTIONS, "no memory", None);
                    };
                    query.statement.memory = Some(memory);
                    (self.state, self.asked) = (State::Busy, true);
                    context.events.push_back(Event::QueryReceived(slot, query));
                }
                Err(what) => {
                    context.counters.malformed += 1;
                    self.error(sqlstate::SYNTAX_ERROR, &what.to_string(), None)?;
                }
            },
            b'P' | b'B' | b'D' | b'E' | b'C' => {
                self.skipping = true;
                let what = "only simple queries are served";
                self.output.push(&postgres::error_response(
                    "ERROR",
                    sqlstate::FEATURE_NOT_SUPPORTED,
                    what,
                    None,
                ))?;
            }
            b'F' => self.error(sqlstate::FEATURE_NOT_SUPPORTED, "function calls are not served", None)?,
            // Flush asks for nothing here; the rest belongs to exchanges that are over or were never begun.
            b'H' | b'p' | b'd' | b'c' | b'f' => {}
            _ => self.fatal(slot, sqlstate::PROTOCOL_VIOLATION, "unknown message", context)?,
        }
        Ok(())
    }

    fn empty(&mut self) -> Result<(), Closed> {
        (self.state, self.asked) = (State::Idle, true);
        Ok(self.output.push(&[postgres::empty_query_response(), postgres::ready_for_query()].concat())?)
    }

    fn error(&mut self, code: &str, what: &str, detail: Option<&str>) -> Result<(), Closed> {
        Ok(self.output.push(
            &[postgres::error_response("ERROR", code, what, detail), postgres::ready_for_query()].concat(),
        )?)
    }

    /// Says what is wrong and ends the connection once that is read.
    fn fatal(
        &mut self,
        slot: ConnectionId,
        code: &str,
        what: &str,
        context: &mut Context,
    ) -> Result<(), Closed> {
        context.counters.malformed += 1;
        self.output.push(&postgres::error_response("FATAL", code, what, None))?;
        self.end(slot, context);
        Ok(())
    }

    /// From now on the client is only given the time to read what it was told.
    fn end(&mut self, slot: ConnectionId, context: &mut Context) {
        let now = context.reactor.now();
        (self.state, self.owing) = (State::Ending, Some(now));
        context.reactor.set_timer(now + LINGER, TimerEvent::Client(slot));
    }

    /// Writes what there is to write; true when all is written.
    fn flush(&mut self) -> Result<bool, Closed> {
        let before = self.output.len();
        let written = self.output.write_to(&mut self.stream).map_err(|_| Closed)?;
        if !written && self.output.len() < before && self.state != State::Ending {
            // Who reads slowly reads all the same: its time starts anew.
            self.owing = None;
        }
        if written && self.state == State::Ending && !std::mem::replace(&mut self.shut, true) {
            // Once: each time wakes the poll for this connection, which would then turn without pause.
            // Ends the sending only: closing with input unread would reset the connection, and the client
            // might lose the message that says why.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        Ok(written)
    }

    fn answer(&mut self, answer: Response) -> Result<(), Closed> {
        self.state = State::Idle;
        match answer {
            Response::Value(mut value) => {
                value.extend(postgres::ready_for_query());
                if self.output.push(&value).is_err() {
                    // It is owed an answer though there is no memory for the value.
                    self.error(sqlstate::SYSTEM_ERROR, "no memory for the value", None)?;
                }
            }
            Response::Rejected { retry_after } => {
                let millis = Some((retry_after * 1000.0).ceil()).filter(|millis| *millis > 0.0);
                let detail = millis.map(|millis| (millis as u64).to_string());
                self.error(sqlstate::TOO_MANY_CONNECTIONS, "refused: try again later", detail.as_deref())?;
            }
            Response::Failed => self.error(sqlstate::SYSTEM_ERROR, "failed: it may have run", None)?,
            Response::Cancelled => {
                self.error(sqlstate::QUERY_CANCELED, "cancelled as its client asked", None)?
            }
            Response::Invalid(what) => self.error(sqlstate::INVALID_PARAMETER_VALUE, what, None)?,
        }
        Ok(())
    }
}

/// All client connections and the socket that they come in by.
pub(crate) struct Frontend {
    /// Gone once no more are taken in: each connection then ends as soon as nothing is owed on it.
    listener: Option<TcpListener>,
    connections: ConnectionTable<Connection>,
    budget: MemoryBudget,
    /// Most connections at a time.
    limit: usize,
    /// Connections wait in the listener's queue until there is room.
    full: bool,
    /// What keeps new ones out is not logged again before then.
    quiet_until: f64,
    service: Service,
    /// Of the keys for cancel requests.
    rng: fastrand::Rng,
}

impl Frontend {
    pub fn new(
        mut listener: TcpListener,
        limit: usize,
        budget: MemoryBudget,
        seed: u64,
        context: &mut Context,
    ) -> io::Result<Frontend> {
        context.reactor.registry.register(&mut listener, EventSource::Listener.into(), Interest::READABLE)?;
        context.reactor.set_timer(context.reactor.now() + SWEEP, TimerEvent::IdleSweep);
        let (listener, connections, rng) =
            (Some(listener), ConnectionTable::new(), fastrand::Rng::with_seed(seed));
        let service = Service::default();
        Ok(Frontend { listener, connections, budget, limit, full: false, quiet_until: 0.0, service, rng })
    }

    pub fn is_empty(&self) -> bool {
        self.connections.len() == 0
    }

    /// Takes in all that wait.
    pub fn accept(&mut self, context: &mut Context) {
        while self.listener.is_some() {
            // At the limit a connection between requests makes room; where all are busy, new ones wait. It
            // does so only once a new one is there: one descriptor of the spares is used for that moment.
            let now = context.reactor.now();
            // One that is being ended goes first.
            let full = self.connections.len() >= self.limit;
            let ending = || longest(&self.connections, |connection| connection.state == State::Ending);
            let idlest =
                if full { ending().or_else(|| longest(&self.connections, Connection::rests)) } else { None };
            if full && idlest.is_none() {
                self.full = true;
                let clients = self.connections.len();
                return self.complain(now, format_args!("{clients} clients, all busy: new connections wait"));
            }
            if let Some(slot) = idlest {
                // What has come in by now is a request, not a rest.
                self.ready(slot, context);
                if self
                    .connections
                    .get_mut(slot)
                    .is_none_or(|connection| connection.state != State::Ending && !connection.rests())
                {
                    continue;
                }
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Some(slot) = idlest {
                        self.connections.remove(slot);
                    }
                    self.admit(stream, context);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The peer has left the queue again.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // No descriptor or no memory: what waits is taken in when there is some again.
                    context.reactor.set_timer(now + ACCEPT_AGAIN, TimerEvent::RetryAccept);
                    return self.complain(now, format_args!("cannot accept: {error}"));
                }
            }
        }
    }

    /// Closes those that have rested for too long, the one that did for longest first.
    pub fn sweep(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        context.reactor.set_timer(now + SWEEP, TimerEvent::IdleSweep);
        loop {
            let ending =
                self.connections.iter().filter(|(_, connection)| connection.state == State::Ending).count();
            let rest = match self.connections.len() - ending {
                places if places > self.limit / 2 => RESTING_CROWDED,
                places if places > self.limit / 4 => RESTING,
                _ => return,
            };
            // Those who have not asked yet have their own time limit.
            let rested = |connection: &Connection| {
                connection.asked && connection.rests() && now >= connection.active + rest
            };
            let Some(slot) = longest(&self.connections, rested) else { return };
            // What has come in by now is a request, not a rest.
            self.ready(slot, context);
            let Some(connection) = self.connections.get_mut(slot).filter(|connection| rested(connection))
            else {
                continue;
            };
            connection.end(slot, context);
            context.counters.idle_closed += 1;
            let result = connection.turn(slot, self.service, context);
            self.settle(slot, result, context);
        }
    }

    fn complain(&mut self, now: f64, line: fmt::Arguments) {
        if now >= self.quiet_until {
            log(line);
        }
        self.quiet_until = now + QUIET;
    }

    fn admit(&mut self, stream: TcpStream, context: &mut Context) {
        let _ = stream.set_nodelay(true);
        let active = context.reactor.now();
        let (input, output) = (RingBuffer::new(&self.budget), RingBuffer::new(&self.budget));
        let connection = Connection {
            stream,
            key: CancelKey(self.rng.u32(..), self.rng.u32(..)),
            input,
            arrivals: VecDeque::new(),
            output,
            state: State::Startup,
            skipping: false,
            asked: false,
            more: false,
            shut: false,
            active,
            owing: None,
        };
        let slot = self.connections.insert(connection);
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let (token, both) = (EventSource::Client(slot).into(), Interest::READABLE | Interest::WRITABLE);
        if context.reactor.registry.register(&mut connection.stream, token, both).is_err() {
            self.connections.remove(slot);
            return;
        }
        context.counters.clients_accepted += 1;
        self.ready(slot, context);
    }

    /// A connection may be read from or written to.
    pub fn ready(&mut self, slot: ConnectionId, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let result = connection.turn(slot, self.service, context);
        self.settle(slot, result, context);
    }

    /// Ends a connection that is over, or that is between requests while all are to end.
    fn settle(&mut self, slot: ConnectionId, result: Result<(), Closed>, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let busy = connection.state == State::Busy;
        let mut result = result;
        if self.service.closed.is_some() && result.is_ok() && connection.owed_nothing() {
            connection.end(slot, context);
            result = connection.turn(slot, self.service, context);
        }
        if !connection.owes() {
            connection.owing = None;
        } else if connection.owing.is_none() {
            let now = context.reactor.now();
            connection.owing = Some(now);
            context.reactor.set_timer(now + PROMPT, TimerEvent::Client(slot));
        }
        if result.is_err() {
            if busy {
                context.events.push_back(Event::ClientDisconnected(slot));
            }
            connection.last_words(context);
            self.connections.remove(slot);
        }
        // Whoever waits at the door was announced once: now that there is room, it must be looked for.
        if self.full && (!busy || result.is_err()) {
            self.full = false;
            self.accept(context);
        }
    }

    /// The connection whose query is cancelled by one who names its key.
    pub fn asker(&self, key: CancelKey) -> Option<ConnectionId> {
        self.connections
            .iter()
            .find(|(_, connection)| connection.key == key && connection.state == State::Busy)
            .map(|(slot, _)| slot)
    }

    /// The client has closed its connection: it is gone, whatever it sent before that is still unread.
    pub fn hung_up(&mut self, slot: ConnectionId, context: &mut Context) {
        self.settle(slot, Err(Closed), context);
    }

    /// Gives the final answer to the query of a connection.
    pub fn answer(&mut self, slot: ConnectionId, answer: Response, context: &mut Context) {
        let Some(connection) =
            self.connections.get_mut(slot).filter(|connection| connection.state == State::Busy)
        else {
            return;
        };
        *match answer {
            Response::Value(_) => &mut context.counters.served,
            Response::Rejected { .. } => &mut context.counters.rejected,
            Response::Failed => &mut context.counters.failed,
            Response::Cancelled => &mut context.counters.cancel_requests,
            Response::Invalid(_) => &mut context.counters.malformed,
        } += 1;
        connection.active = context.reactor.now();
        let result = connection.answer(answer).and_then(|()| connection.turn(slot, self.service, context));
        self.settle(slot, result, context);
    }

    /// From now on queries can be carried out: those who asked are told.
    pub fn serve(&mut self, context: &mut Context) {
        if std::mem::replace(&mut self.service.ready, true) {
            return;
        }
        let unready = self.connections.iter().filter(|(_, connection)| connection.state == State::Unready);
        let unready: Vec<ConnectionId> = unready.map(|(slot, _)| slot).collect();
        for slot in unready {
            let Some(connection) = self.connections.get_mut(slot) else { continue };
            connection.active = context.reactor.now();
            let result = connection.empty().and_then(|()| connection.turn(slot, self.service, context));
            self.settle(slot, result, context);
        }
    }

    /// Ends every connection as soon as nothing is owed on it, and takes in no more.
    pub fn close(&mut self, context: &mut Context) {
        // What has come in until now is still read, and owed an answer.
        self.accept(context);
        self.listener = None;
        self.service.closed = Some(context.reactor.now());
        let all: Vec<ConnectionId> = self.connections.iter().map(|(slot, _)| slot).collect();
        for slot in all {
            self.ready(slot, context);
        }
    }

    /// A connection has more to read, or what is due from its client may be overdue.
    pub fn timer_expired(&mut self, slot: ConnectionId, context: &mut Context) {
        let now = context.reactor.now();
        if self.connections.get_mut(slot).is_some_and(|connection| connection.more) {
            self.ready(slot, context);
        }
        let Some(connection) = self.connections.get_mut(slot) else { return };
        // Timers are not withdrawn: this one may belong to what the client has done meanwhile.
        let timeout = if connection.state == State::Ending { LINGER } else { PROMPT };
        if connection.owing.is_none_or(|since| now < since + timeout) {
            return;
        }
        context.counters.client_timeouts += u64::from(connection.state != State::Ending);
        // A message that does not end is answered; one that was never begun is not, since the end of a
        // connection is no answer to a request that crosses it.
        let unfinished =
            !connection.input.is_empty() && connection.output.is_empty() && connection.state != State::Ending;
        let reads = connection.output.is_empty() && connection.state != State::Ending;
        let told = match unfinished {
            true => {
                connection.fatal(slot, sqlstate::PROTOCOL_VIOLATION, "message not completed in time", context)
            }
            false if reads => {
                connection.end(slot, context);
                Ok(())
            }
            false => Err(Closed),
        };
        let result = told.and_then(|()| connection.turn(slot, self.service, context));
        self.settle(slot, result, context);
    }
}

/// Of the connections that will do, the one not heard of for longest.
fn longest(
    connections: &ConnectionTable<Connection>,
    will_do: impl Fn(&Connection) -> bool,
) -> Option<ConnectionId> {
    let those = connections.iter().filter(|(_, connection)| will_do(connection));
    those.min_by(|(_, a), (_, b)| a.active.total_cmp(&b.active)).map(|(slot, _)| slot)
}

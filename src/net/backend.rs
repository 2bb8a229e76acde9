//! The database hosts' side: keeps connections to them and carries attempts and probes over these.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::Interest;

use super::buffer::{MemoryBudget, MemoryReservation, ReadStatus, RingBuffer};
use super::postgres::{self, sqlstate, Message};
use super::reactor::{ConnectionId, ConnectionTable, EventSource, TimerEvent};
use super::{Completion, Context, Event, Task};
use crate::counters::Counters;
use crate::endpoint_list::ListedEndpoint;
use crate::interface::{EndpointId, EndpointStatus, LoadReport, Outcome, UpdateKind};
use crate::load_report;

const USER: &str = "app";
const DATABASE: &str = "shop";
const ASK_LOAD: &[u8] = b"SHOW usage";
const POSITION: &str = "commit_clock";
const ROLE: &str = "server_role";
const PRIMARY: &str = "writer";
const REPLICA: &str = "reader";

/// Share of the time that a database host keeps an idle connection after which it is closed from here: what is
/// written to one that the machine is just closing would end as a reset.
const KEEP_SHARE: f64 = 0.7;
/// Idle connections kept for one database host.
const KEEP_MOST: usize = 48;
/// A machine off the list is forgotten after this (seconds), far past every deadline.
const FORGET_AFTER: f64 = 60.0;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    Starting,
    Idle,
    Busy,
}

/// What is being carried out over a connection.
struct Exchange {
    task: Task,
    sent: f64,
    give_up: f64,
}

/// What has come back so far.
#[derive(Default)]
struct Reply {
    value: Vec<u8>,
    described: bool,
    row: bool,
    complete: bool,
    code: Option<String>,
    position: Option<f64>,
    primary: Option<bool>,
    report: Option<LoadReport>,
}

impl Reply {
    /// What it amounts to; none while that is open.
    fn outcome(&self) -> Option<Outcome> {
        Some(match self.code.as_deref() {
            Some(sqlstate::TOO_MANY_CONNECTIONS) => Outcome::Overloaded,
            Some(sqlstate::READ_ONLY_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD) => Outcome::Ineligible,
            Some(code) if postgres::is_statement_error(code) => Outcome::InvalidRequest,
            Some(_) => Outcome::Error,
            None if self.complete && self.row => Outcome::Success,
            None => return None,
        })
    }
}

struct Connection {
    endpoint: EndpointId,
    address: SocketAddr,
    stream: TcpStream,
    input: RingBuffer,
    output: RingBuffer,
    state: State,
    exchange: Option<Exchange>,
    reply: Reply,
    /// What the value takes of the memory for requests.
    value_memory: MemoryReservation,
    /// Something came that belongs to no answer.
    spoilt: bool,
    /// Some of the answer is there: the rest is due soon.
    begun: bool,
    /// When the present stage has lasted long enough.
    until: f64,
}

/// How a step on a connection went.
enum Step {
    Waiting,
    /// The exchange is over and the connection can carry another.
    Closed,
    /// The exchange has this outcome and the connection is of no further use.
    WatchError(Outcome),
}

impl Connection {
    /// Reads, understands and writes as far as it goes without waiting. Once an answer has begun the rest is
    /// due within `rest`: guards against answers that say they are longer than what ever comes.
    fn turn(&mut self, now: f64, rest: f64) -> Step {
        let step = self.exchange(now);
        let answered = self.reply.described || self.reply.code.is_some() || !self.input.is_empty();
        if self.state == State::Busy && answered && !std::mem::replace(&mut self.begun, true) {
            self.until = self.until.min(now + rest);
        }
        step
    }

    fn exchange(&mut self, now: f64) -> Step {
        if self.state == State::Connecting {
            match self.connected() {
                Ok(true) => {}
                Ok(false) => return Step::Waiting,
                Err(()) => return Step::WatchError(Outcome::ConnectFailed),
            }
        }
        loop {
            if self.output.write_to(&mut self.stream).is_err() {
                return self.broken();
            }
            // What came before a reset still counts.
            let fill = self.input.read_from(&mut self.stream).unwrap_or(ReadStatus::Completion);
            let before = self.input.len();
            let asking = self.state;
            match self.understand(now) {
                Step::Waiting => {}
                step => return step,
            }
            if fill == ReadStatus::Completion {
                return self.broken();
            }
            // Edge-triggered: go on while a full buffer has been emptied or something new is to be written.
            if (fill == ReadStatus::WouldBlock || self.input.len() == before) && self.state == asking {
                return Step::Waiting;
            }
        }
    }

    /// Whether the connection is up; if it has just come up, the startup message is on its way.
    fn connected(&mut self) -> Result<bool, ()> {
        if self.stream.take_error().map_err(drop)?.is_some() {
            return Err(());
        }
        if self.stream.peer_addr().is_err() {
            return Ok(false);
        }
        let _ = self.stream.set_nodelay(true);
        self.state = State::Starting;
        self.output.push(&postgres::startup_message(USER, DATABASE)).map_err(drop)?;
        Ok(true)
    }

    /// What it means that the connection has ended. Before the last byte of a request was written it cannot
    /// have run; after that it may have, unless the answer says otherwise.
    fn broken(&self) -> Step {
        Step::WatchError(match self.state {
            State::Connecting | State::Starting => Outcome::ConnectFailed,
            State::Busy if !self.output.is_empty() => Outcome::ConnectFailed,
            State::Busy | State::Idle => self.reply.outcome().unwrap_or(Outcome::ConnectionReset),
        })
    }

    /// What it means that something came that is no part of an answer: the request may have run, and nothing
    /// that came with it is to be relied on, unless the machine had already said that it did not.
    fn spoil(&mut self) -> Step {
        self.spoilt = true;
        match (self.state, self.reply.outcome()) {
            (State::Connecting | State::Starting, _) => Step::WatchError(Outcome::ConnectFailed),
            (_, Some(outcome)) if outcome.proves_not_executed() => Step::WatchError(outcome),
            _ => {
                self.reply = Reply::default();
                Step::WatchError(Outcome::Error)
            }
        }
    }

    /// Takes message by message.
    fn understand(&mut self, now: f64) -> Step {
        loop {
            match postgres::read_server_message(&mut self.input) {
                Ok(None) => return Step::Waiting,
                Ok(Some(message)) => match self.message(message, now) {
                    Step::Waiting => {}
                    step => return step,
                },
                Err(_) => return self.spoil(),
            }
        }
    }

    fn message(&mut self, message: Message, now: f64) -> Step {
        match (self.state, message.kind) {
            // Notices and the key for cancel requests are passed over.
            (_, b'N' | b'K') => {}
            (State::Starting, b'S') => {}
            (State::Starting, b'R') if message.body == [0; 4] => {}
            (State::Starting, b'E') => {
                let (code, _) = postgres::parse_error_response(&message.body);
                let full = code == sqlstate::TOO_MANY_CONNECTIONS;
                return Step::WatchError(if full { Outcome::Overloaded } else { Outcome::ConnectFailed });
            }
            (State::Starting, b'Z') => {
                if !self.ask(now) {
                    return Step::WatchError(Outcome::NotSent);
                }
            }
            (State::Busy | State::Idle, b'S') => match postgres::parse_parameter_status(&message.body) {
                Some((POSITION, value)) => {
                    self.reply.position = value.parse::<f64>().ok().map(|millis| millis / 1000.0);
                }
                Some((ROLE, PRIMARY)) => self.reply.primary = Some(true),
                Some((ROLE, REPLICA)) => self.reply.primary = Some(false),
                _ => {}
            },
            (State::Busy, kind @ (b'T' | b'D' | b'C')) => {
                // Each once and in this order: anything else is not the answer to one request.
                let Reply { described, row, complete, .. } = &mut self.reply;
                let next = match kind {
                    b'T' => !std::mem::replace(described, true),
                    b'D' => *described && !std::mem::replace(row, true),
                    _ => *row && !std::mem::replace(complete, true),
                };
                if !next {
                    return self.spoil();
                }
                match self.exchange.as_ref().map(|exchange| &exchange.task) {
                    Some(Task::HealthCheck) if kind == b'D' => {
                        self.reply.report =
                            postgres::single_column(&message.body).and_then(load_report::parse);
                    }
                    Some(Task::HealthCheck) => {}
                    // Guards against many answers that are each within their bound and together are not.
                    _ if self.value_memory.resize(self.reply.value.len() + message.body.len()).is_err() => {
                        return Step::WatchError(Outcome::Error);
                    }
                    _ => postgres::append_message(&mut self.reply.value, &message),
                }
            }
            (State::Busy, b'E') => {
                let (code, fatal) = postgres::parse_error_response(&message.body);
                self.reply.code = Some(code);
                if fatal {
                    return self.broken();
                }
            }
            (State::Busy, b'Z') => return Step::Closed,
            // Nothing that this exchange could hold.
            _ => return self.spoil(),
        }
        Step::Waiting
    }

    /// Writes the request of the job onto a connection that is ready for one; false where memory is short, so
    /// that nothing of it is sent.
    fn ask(&mut self, now: f64) -> bool {
        let Some(exchange) = &self.exchange else { return false };
        let sql = match &exchange.task {
            Task::Attempt(_, _, statement) => statement.with_timeout(exchange.give_up - now),
            Task::HealthCheck => ASK_LOAD.to_vec(),
        };
        (self.state, self.until) = (State::Busy, exchange.give_up);
        (self.reply, self.begun) = (Reply::default(), false);
        self.output.push(&postgres::query_message(&sql)).is_ok()
    }

    /// Whether an idle connection has not ended meanwhile without that having been looked at. Guards a
    /// request from being written to a connection whose end has already arrived.
    fn alive(&mut self) -> bool {
        matches!(self.input.read_from(&mut self.stream), Ok(ReadStatus::WouldBlock)) && self.input.is_empty()
    }
}

/// A database host as the list names it.
struct Host {
    address: SocketAddr,
    since: f64,
    /// When it was last on the list, in whatever phase.
    listed: f64,
    gone: bool,
    /// Connections that can take a request, the latest used last.
    idle: Vec<ConnectionId>,
}

/// All connections to database hosts.
pub(crate) struct Backend {
    hosts: HashMap<EndpointId, Host>,
    connections: ConnectionTable<Connection>,
    /// Most connections at a time.
    limit: usize,
    budget: MemoryBudget,
    keepalive: f64,
    connect_timeout: f64,
}

impl Backend {
    pub fn new(limit: usize, budget: MemoryBudget, keepalive: f64, connect_timeout: f64) -> Backend {
        let (hosts, connections) = (HashMap::new(), ConnectionTable::new());
        Backend { hosts, connections, limit, budget, keepalive: keepalive * KEEP_SHARE, connect_timeout }
    }

    /// Takes in what the list says of addresses. Connections to where a machine no longer is, or made before
    /// it last started, are closed: a machine that was cut off would leave them open and silent.
    pub fn list(&mut self, kind: UpdateKind, endpoints: &[ListedEndpoint], now: f64) {
        if kind != UpdateKind::Delta {
            self.hosts.values_mut().for_each(|host| host.gone = true);
        }
        for ListedEndpoint { name, address, status, started_at: since, .. } in endpoints {
            let (address, since, listed) = (*address, *since, now);
            let fresh = || Host { address, since, listed, gone: false, idle: Vec::new() };
            let host = self.hosts.entry(name.clone()).or_insert_with(fresh);
            let moved = host.address != address || host.since != since || *status != EndpointStatus::Serving;
            let idle = if moved { std::mem::take(&mut host.idle) } else { Vec::new() };
            let gone = *status == EndpointStatus::Removed;
            (host.address, host.since, host.listed, host.gone) = (address, since, listed, gone);
            idle.into_iter().for_each(|slot| drop(self.connections.remove(slot)));
        }
        let gone: Vec<EndpointId> =
            self.hosts.iter().filter(|(_, host)| host.gone).map(|(name, _)| name.clone()).collect();
        for name in gone {
            self.let_go(&name);
        }
        self.hosts.retain(|_, host| !host.gone || now - host.listed < FORGET_AFTER);
    }

    /// Closes the idle connections to a machine.
    pub fn let_go(&mut self, endpoint: &EndpointId) {
        let idle = self.hosts.get_mut(endpoint).map(|host| std::mem::take(&mut host.idle));
        idle.into_iter().flatten().for_each(|slot| drop(self.connections.remove(slot)));
    }

    /// Begins an attempt or a probe; its end is told by an event. The connection that it is on, if any.
    pub fn send(
        &mut self,
        task: Task,
        endpoint: &EndpointId,
        timeout: f64,
        context: &mut Context,
    ) -> Option<ConnectionId> {
        let sent = context.reactor.now();
        let exchange = Exchange { task, sent, give_up: sent + timeout };
        while let Some(slot) = self.hosts.get_mut(endpoint).and_then(|host| host.idle.pop()) {
            let Some(connection) = self.connections.get_mut(slot) else { continue };
            if !connection.alive() {
                self.connections.remove(slot);
                continue;
            }
            connection.exchange = Some(exchange);
            let step = if connection.ask(sent) {
                connection.turn(sent, self.connect_timeout)
            } else {
                Step::WatchError(Outcome::NotSent)
            };
            context.reactor.set_timer(connection.until, TimerEvent::Server(slot));
            self.settle(slot, step, context);
            return Some(slot);
        }
        self.open(exchange, endpoint, context)
    }

    fn open(
        &mut self,
        exchange: Exchange,
        endpoint: &EndpointId,
        context: &mut Context,
    ) -> Option<ConnectionId> {
        let (address, stream) = match self.connect(endpoint) {
            Ok(connection) => connection,
            Err(outcome) => {
                ended(exchange, endpoint, outcome, Reply::default(), context);
                return None;
            }
        };
        context.counters.backend_connects += 1;
        let until = (exchange.sent + self.connect_timeout).min(exchange.give_up);
        let slot = self.connections.insert(Connection {
            endpoint: endpoint.clone(),
            address,
            stream,
            input: RingBuffer::new(&self.budget),
            output: RingBuffer::new(&self.budget),
            state: State::Connecting,
            exchange: Some(exchange),
            reply: Reply::default(),
            value_memory: self.budget.reservation(),
            spoilt: false,
            begun: false,
            until,
        });
        let connection = self.connections.get_mut(slot)?;
        let (token, both) = (EventSource::Server(slot).into(), Interest::READABLE | Interest::WRITABLE);
        context.reactor.set_timer(until, TimerEvent::Server(slot));
        if context.reactor.registry.register(&mut connection.stream, token, both).is_err() {
            self.settle(slot, Step::WatchError(Outcome::ConnectFailed), context);
        }
        Some(slot)
    }

    /// Begins a connection; the outcome of what it was for, if there can be none. What the own limits forbid
    /// was never sent, and is not held against the machine.
    fn connect(&mut self, endpoint: &EndpointId) -> Result<(SocketAddr, TcpStream), Outcome> {
        let address = self.hosts.get(endpoint).map(|host| host.address).ok_or(Outcome::NotSent)?;
        if self.connections.len() >= self.limit && !self.evict() {
            return Err(Outcome::NotSent);
        }
        let stream = TcpStream::connect(address).map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::TimedOut => Outcome::ConnectFailed,
            _ => Outcome::NotSent,
        })?;
        Ok((address, stream))
    }

    /// Closes the idle connection that would be closed next anyway.
    fn evict(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.state == State::Idle);
        let oldest = idle.min_by(|(_, a), (_, b)| a.until.total_cmp(&b.until)).map(|(slot, _)| slot);
        oldest.is_some_and(|slot| self.remove(slot).is_some())
    }

    fn remove(&mut self, slot: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(slot)?;
        if let Some(host) = self.hosts.get_mut(&connection.endpoint) {
            host.idle.retain(|idle| *idle != slot);
        }
        Some(connection)
    }

    /// A connection may be read from or written to.
    pub fn ready(&mut self, slot: ConnectionId, context: &mut Context) {
        let now = context.reactor.now();
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let until = connection.until;
        let step = connection.turn(now, self.connect_timeout);
        if connection.until != until {
            context.reactor.set_timer(connection.until, TimerEvent::Server(slot));
        }
        self.settle(slot, step, context);
    }

    /// Tells of an exchange that is over; the connection waits for the next, or ends.
    fn settle(&mut self, slot: ConnectionId, step: Step, context: &mut Context) {
        match step {
            Step::Waiting => {}
            Step::WatchError(outcome) => {
                let Some(connection) = self.remove(slot) else { return };
                let Counters { malformed_answers, unsolicited_messages, .. } = &mut context.counters;
                *(if connection.exchange.is_some() { malformed_answers } else { unsolicited_messages }) +=
                    u64::from(connection.spoilt);
                if let Some(exchange) = connection.exchange {
                    ended(exchange, &connection.endpoint, outcome, connection.reply, context);
                }
            }
            Step::Closed => {
                let Some(connection) = self.connections.get_mut(slot) else { return };
                let reply = std::mem::take(&mut connection.reply);
                // A row is missing, say: it is no answer, though it may have run.
                let outcome = reply.outcome().unwrap_or(Outcome::Error);
                let _ = connection.value_memory.resize(0);
                context.counters.unsolicited_messages += u64::from(!connection.input.is_empty());
                let Some(exchange) = connection.exchange.take() else { return };
                let endpoint = connection.endpoint.clone();
                (connection.state, connection.until) = (State::Idle, context.reactor.now() + self.keepalive);
                context.reactor.set_timer(connection.until, TimerEvent::Server(slot));
                let keep = connection.output.is_empty() && connection.input.is_empty();
                let address = connection.address;
                let host = self.hosts.get_mut(&endpoint).filter(|host| !host.gone && keep);
                match host.filter(|m| m.address == address && m.idle.len() < KEEP_MOST) {
                    Some(host) => host.idle.push(slot),
                    None => drop(self.connections.remove(slot)),
                }
                ended(exchange, &endpoint, outcome, reply, context);
            }
        }
    }

    /// Gives up an attempt: the machine learns of it by the end of the connection.
    pub fn cancel(&mut self, slot: ConnectionId, context: &mut Context) {
        self.settle(slot, Step::WatchError(Outcome::Cancelled), context);
    }

    /// A stage may have lasted long enough.
    pub fn timer_expired(&mut self, slot: ConnectionId, context: &mut Context) {
        let now = context.reactor.now();
        let connect_timeout = self.connect_timeout;
        // Timers are not withdrawn: this one may belong to a stage that is over.
        if self.connections.get_mut(slot).is_none_or(|connection| connection.until > now) {
            return;
        }
        // What has arrived by now still counts, though its event has not been taken up yet.
        self.ready(slot, context);
        let Some(connection) = self.connections.get_mut(slot).filter(|connection| connection.until <= now)
        else {
            return;
        };
        let unmade =
            connection.exchange.as_ref().is_some_and(|exchange| now >= exchange.sent + connect_timeout);
        let step = match connection.state {
            State::Connecting | State::Starting if unmade => Step::WatchError(Outcome::ConnectFailed),
            State::Busy if !connection.output.is_empty() => Step::WatchError(Outcome::ConnectFailed),
            State::Busy if connection.begun => connection.spoil(),
            _ => Step::WatchError(connection.reply.outcome().unwrap_or(Outcome::Timeout)),
        };
        self.settle(slot, step, context);
    }
}

/// Tells of the end of a job.
fn ended(exchange: Exchange, endpoint: &EndpointId, outcome: Outcome, reply: Reply, context: &mut Context) {
    let unreadable =
        matches!(exchange.task, Task::HealthCheck) && outcome == Outcome::Success && reply.report.is_none();
    context.counters.unreadable_reports += u64::from(unreadable);
    context.events.push_back(Event::TaskCompleted(Box::new(Completion {
        task: exchange.task,
        endpoint: endpoint.clone(),
        outcome,
        elapsed: context.reactor.now() - exchange.sent,
        log_position: reply.position,
        primary: reply.primary,
        report: reply.report.unwrap_or_default(),
        value: reply.value,
    })));
}

//! Feeds what the connections tell to the [`Policy`] and carries out what it answers. Nothing is decided
//! here but what the limits of the process force.

use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use mio::net::TcpListener;
use mio::{Interest, Poll};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;

use super::backend::Backend;
use super::buffer::MemoryBudget;
use super::discovery::Discovery;
use super::frontend::Frontend;
use super::reactor::{self, ConnectionId, EventSource, Handler, Reactor, TimerEvent};
use super::{log, Completion, Context, Event, Query, Response, Statement, Task};
use crate::config::Config;
use crate::counters::{count, Counters};
use crate::endpoint_list::ListedEndpoint;
use crate::interface::{
    self, Action, AttemptResult, Endpoint, EndpointStatus, Outcome, Request, RequestId, UpdateKind,
};
use crate::settings::{Consistency, Idempotency};
use crate::Policy;

/// Descriptors kept for the listener, the poll, signals, the log, discovery's watch and surprises.
const SPARES: usize = 16;
/// How long queries are taken after SIGTERM (seconds). New connections come for 0.4 s; what arrives after 0.7 s is
/// lost where it outlives the process.
const LAST_CALL: f64 = 0.6;

/// A request that its client, or an attempt, has not done with yet.
struct ForwardedRequest {
    /// Whom its final answer is owed to; none once that is given or the client has left.
    client: Option<ConnectionId>,
    statement: Rc<Statement>,
    attempts: usize,
    /// The attempt that is out, until its end is handled: its number and its connection, if it has one.
    out: Option<(usize, Option<ConnectionId>)>,
}

struct Pooler {
    policy: Policy,
    frontend: Frontend,
    backend: Backend,
    discovery: Discovery,
    signals: Signals,
    requests: HashMap<RequestId, ForwardedRequest>,
    /// Which request each busy client waits for.
    asking: HashMap<ConnectionId, RequestId>,
    classes: Vec<(String, Consistency, Idempotency)>,
    tenants: Vec<String>,
    zones: Vec<String>,
    probe_timeout: f64,
    /// Where the configuration is read again from.
    path: PathBuf,
    draining: bool,
    closing: bool,
}

/// Serves until told to end.
pub(crate) fn serve(config: &Config, path: &Path) -> io::Result<()> {
    let mut poll = Poll::new()?;
    let reactor = Reactor::new(&poll)?;
    let mut context = Context { reactor, events: Default::default(), counters: Counters::default() };
    let mut pooler = Pooler::new(config, path, &mut context)?;
    reactor::run(&mut poll, &mut pooler, &mut context)?;
    log(format_args!("{} ends: {}", config.name, context.counters));
    Ok(())
}

impl Pooler {
    fn new(config: &Config, path: &Path, context: &mut Context) -> io::Result<Pooler> {
        let settings = &config.settings;
        let policy = Policy::new(settings.clone(), config.seed)
            .map_err(|fault| io::Error::new(io::ErrorKind::InvalidInput, fault))?;
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP, SIGUSR1])?;
        context.reactor.registry.register(&mut signals, EventSource::Signals.into(), Interest::READABLE)?;
        // A client has at most one attempt out, so half the sockets are enough for the database hosts' side.
        // Half the memory is for buffers, statements and values, whoever needs them at the time.
        let sockets = config.sockets.saturating_sub(SPARES);
        let max_clients = sockets / 2;
        if max_clients == 0 {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "too few sockets"));
        }
        let budget = MemoryBudget::new(config.memory / 2);
        let listener = TcpListener::bind(config.listen)?;
        log(format_args!("{} listens on {}, for {max_clients} clients", config.name, listener.local_addr()?));
        let names = config.classes.iter().cloned();
        let mut pooler = Pooler {
            policy,
            frontend: Frontend::new(listener, max_clients, budget.clone(), !config.seed, context)?,
            backend: Backend::new(
                sockets - max_clients,
                budget.clone(),
                config.keepalive,
                settings.connect_timeout,
            ),
            discovery: Discovery::new(config.discovery, config.known.index, budget),
            signals,
            requests: HashMap::new(),
            asking: HashMap::new(),
            classes: names.zip(&settings.classes).map(|(n, c)| (n, c.consistency, c.idempotency)).collect(),
            tenants: config.tenants.clone(),
            zones: config.zones.clone(),
            probe_timeout: settings.connect_timeout,
            path: path.to_path_buf(),
            draining: false,
            closing: false,
        };
        context.events.push_back(Event::EndpointsUpdated(UpdateKind::Cached, config.known.endpoints.clone()));
        pooler.drain(context);
        Ok(pooler)
    }

    /// Takes event after event, each only when all that follows from the one before it is carried out.
    fn drain(&mut self, context: &mut Context) {
        while let Some(event) = context.events.pop_front() {
            match event {
                Event::QueryReceived(client, query) => self.asked(client, *query, context),
                Event::ClientDisconnected(client) => self.gone(client, context),
                Event::CancelRequested(key) => {
                    if let Some(client) = self.frontend.find_by_cancel_key(key) {
                        self.gone(client, context);
                        self.frontend.respond(client, Response::Cancelled, context);
                    }
                }
                Event::TaskCompleted(ended) => self.ended(*ended, context),
                Event::EndpointsUpdated(kind, endpoints) => self.endpoints(kind, endpoints, context),
            }
        }
    }

    /// Tells the policy and carries out its actions in their order.
    fn tell(&mut self, event: interface::Event, context: &mut Context) {
        let actions = self.decide(event, context);
        self.carry_out(actions, context);
    }

    fn decide(&mut self, event: interface::Event, context: &mut Context) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(context.reactor.now(), event, &mut actions);
        actions
    }

    fn carry_out(&mut self, actions: Vec<Action>, context: &mut Context) {
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => {
                    let Some(request) = self.requests.get_mut(&id) else { continue };
                    let number = request.attempts;
                    request.attempts += 1;
                    context.counters.attempts_sent += 1;
                    let task = Task::Attempt(id, number, request.statement.clone());
                    request.out = Some((number, self.backend.send(task, &endpoint, timeout, context)));
                }
                Action::CancelAttempt { id, attempt } => {
                    let out = self.requests.get(&id).and_then(|request| request.out);
                    if let Some((_, Some(slot))) = out.filter(|(number, _)| *number == attempt) {
                        self.backend.cancel(slot, context);
                    }
                }
                Action::Reject { id, retry_after } => {
                    self.answer(&id, Response::Rejected { retry_after }, context)
                }
                Action::Fail { id } => self.answer(&id, Response::Failed, context),
                Action::SetTimer { at, cookie } => context.reactor.set_timer(at, TimerEvent::Policy(cookie)),
                Action::HealthCheck { endpoint } => {
                    context.counters.health_checks_sent += 1;
                    self.backend.send(Task::HealthCheck, &endpoint, self.probe_timeout, context);
                }
                Action::CloseIdleConnections { endpoint } => self.backend.let_go(&endpoint),
                Action::Watch => self.discovery.listen(context),
                Action::Log(text) => log(format_args!("{text}")),
            }
        }
    }

    fn asked(&mut self, client: ConnectionId, query: Query, context: &mut Context) {
        let class = self.classes.iter().position(|(name, ..)| *name == query.class);
        let Some((class, (_, consistency, idempotency))) = class.map(|class| (class, &self.classes[class]))
        else {
            return self.frontend.respond(client, Response::Invalid("unknown class"), context);
        };
        if *idempotency == Idempotency::IdempotencyKey && !query.has_idempotency_key {
            return self.frontend.respond(client, Response::Invalid("this class needs a key"), context);
        }
        let id = RequestId::from(query.id);
        // Two requests of one id could not be told apart, and the database host would see a second copy.
        if self.requests.contains_key(&id) {
            return self.frontend.respond(client, Response::Invalid("this id is in use"), context);
        }
        context.counters.requests_received += 1;
        let sessions = matches!(consistency, Consistency::Write | Consistency::Session);
        let tenant = self.tenants.iter().position(|name| *name == query.tenant);
        let arrival = Request {
            id: id.clone(),
            class,
            group: query.group,
            // It has waited since it came, be it behind others of its connection.
            timeout: query.timeout - (context.reactor.now() - query.received_at),
            session_token_age: query.session_token.map(|after| context.reactor.now() - after),
            session: query.session.filter(|_| sessions).map(Into::into),
            tenant: tenant.unwrap_or(self.tenants.len()),
            predicted_work: None,
            client_retry: query.client_retry,
        };
        let request = ForwardedRequest {
            client: Some(client),
            statement: Rc::new(query.statement),
            attempts: 0,
            out: None,
        };
        self.requests.insert(id.clone(), request);
        self.asking.insert(client, id);
        self.tell(interface::Event::Request(arrival), context);
    }

    /// A client has left: nobody waits for its answer any more, and its attempt is given up.
    fn gone(&mut self, client: ConnectionId, context: &mut Context) {
        let Some(id) = self.asking.remove(&client) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        context.counters.client_disconnects += 1;
        request.client = None;
        let out = request.out;
        self.tell(interface::Event::ClientDisconnected { id: id.clone() }, context);
        if let Some((_, Some(slot))) = out {
            self.backend.cancel(slot, context);
        }
        self.forget(&id);
    }

    /// Gives a request its final answer, unless it has had one.
    fn answer(&mut self, id: &RequestId, answer: Response, context: &mut Context) {
        let client = self.requests.get_mut(id).and_then(|request| request.client.take());
        if let Some(client) = client {
            self.asking.remove(&client);
            self.frontend.respond(client, answer, context);
        }
        self.forget(id);
    }

    /// Forgets a request that neither a client nor an attempt waits for.
    fn forget(&mut self, id: &RequestId) {
        if self.requests.get(id).is_some_and(|request| request.client.is_none() && request.out.is_none()) {
            self.requests.remove(id);
        }
    }

    fn ended(&mut self, ended: Completion, context: &mut Context) {
        let Completion { task, endpoint, outcome, elapsed, log_position, primary, report, value } = ended;
        let Task::Attempt(id, attempt, _) = task else {
            count(&mut context.counters.health_check_outcomes, outcome);
            return self.tell(interface::Event::HealthChecked { endpoint, outcome, report }, context);
        };
        count(&mut context.counters.attempt_outcomes, outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.out = None;
        let answer = match outcome {
            Outcome::Success => Some(Response::Value(value)),
            Outcome::InvalidRequest => Some(Response::Invalid("no database host takes this statement")),
            _ => None,
        };
        let request_finished = answer.is_some() || request.client.is_none();
        let done = AttemptResult {
            id: id.clone(),
            endpoint,
            attempt,
            outcome,
            request_finished,
            elapsed,
            log_position,
            primary,
            report,
        };
        // What the answer tells of the machine is taken in before the client can act on the answer.
        let actions = self.decide(interface::Event::AttemptFinished(done), context);
        match answer {
            Some(answer) => self.answer(&id, answer, context),
            None => self.forget(&id),
        }
        self.carry_out(actions, context);
    }

    fn endpoints(&mut self, kind: UpdateKind, endpoints: Vec<ListedEndpoint>, context: &mut Context) {
        context.counters.endpoint_updates += u64::from(kind != UpdateKind::WatchFailed);
        context.counters.watch_failures += u64::from(kind == UpdateKind::WatchFailed);
        if kind != UpdateKind::WatchFailed {
            self.backend.list(kind, &endpoints, context.reactor.now());
        }
        let any = endpoints.iter().any(|listed| listed.status == EndpointStatus::Serving);
        let endpoints = endpoints.into_iter().map(|listed| self.entry(listed)).collect();
        self.tell(interface::Event::Endpoints { kind, endpoints }, context);
        if any {
            self.frontend.set_ready(context);
        }
    }

    fn entry(&self, listed: ListedEndpoint) -> Endpoint {
        let ListedEndpoint { name, zone, group, status, started_at, primary, .. } = listed;
        let known = self.zones.iter().position(|known| *known == zone);
        // A zone that the settings do not name is at least not the own one.
        let zone = known.unwrap_or(self.zones.len());
        Endpoint { id: name, zone: zone as u32, group, status, started_at, primary }
    }

    /// Reads the configuration again. Only discovery's address is taken from it: the rest is what requests
    /// in hand were taken in under, and holds from the next start. A file that cannot be used changes nothing.
    fn reload(&mut self, context: &mut Context) {
        match Config::load(&self.path) {
            Ok(config) => {
                context.counters.reloads += 1;
                log(format_args!("configuration read again: discovery at {}", config.discovery));
                self.discovery.move_to(config.discovery, context);
            }
            Err(error) => {
                context.counters.reload_failures += 1;
                log(format_args!("configuration kept as it was: {error}"));
            }
        }
    }

    fn signal(&mut self, context: &mut Context) {
        let pending: Vec<i32> = self.signals.pending().collect();
        for signal in pending {
            if signal == SIGUSR1 {
                log(format_args!("{}", context.counters));
            } else if signal == SIGHUP {
                self.reload(context);
            } else if !std::mem::replace(&mut self.draining, true) {
                log(format_args!("asked to end"));
                context.reactor.set_timer(context.reactor.now() + LAST_CALL, TimerEvent::GracePeriodOver);
            }
        }
    }
}

impl Handler for Pooler {
    fn ready(&mut self, source: EventSource, hung_up: bool, context: &mut Context) {
        match source {
            EventSource::Listener => self.frontend.accept(context),
            EventSource::Signals => self.signal(context),
            EventSource::Client(slot) if hung_up => self.frontend.client_disconnected(slot, context),
            EventSource::Client(slot) => self.frontend.ready(slot, context),
            EventSource::Server(slot) => self.backend.ready(slot, context),
            EventSource::Discovery(slot) => self.discovery.ready(slot, context),
        }
        self.drain(context);
    }

    fn timer_expired(&mut self, due: TimerEvent, context: &mut Context) {
        match due {
            TimerEvent::Policy(cookie) => self.tell(interface::Event::Timer { cookie }, context),
            TimerEvent::RetryAccept => self.frontend.accept(context),
            TimerEvent::IdleSweep => self.frontend.close_idle(context),
            TimerEvent::Client(slot) => self.frontend.timer_expired(slot, context),
            TimerEvent::Server(slot) => self.backend.timer_expired(slot, context),
            TimerEvent::Discovery(slot) => self.discovery.timer_expired(slot, context),
            TimerEvent::GracePeriodOver => {
                self.closing = true;
                self.frontend.start_shutdown(context);
            }
        }
        self.drain(context);
    }

    fn finished(&self) -> bool {
        self.closing && self.frontend.is_empty()
    }
}

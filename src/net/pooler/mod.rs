//! Connects the [`Policy`] to the sockets: translates [`Event`]s of the connections into events of the policy
//! and executes the actions that it returns. The policy makes all decisions except those forced by the limits
//! of the process.
//!
//! - [`startup`]: builds and runs the pooler.
//! - [`queries`]: client queries, disconnects and cancel requests.
//! - [`actions`]: executes the actions of the policy.
//! - [`completions`]: results of attempts and health checks.
//! - [`active_requests`]: table of requests in progress.
//! - [`endpoints`]: endpoint list updates and watch failures.
//! - [`reload`]: configuration reload on SIGHUP.
//! - [`signals`]: signal handling.

mod actions;
mod active_requests;
mod completions;
mod endpoints;
mod queries;
mod reload;
mod signals;
mod startup;

use std::time::Duration;

use signal_hook_mio::v1_0::Signals;

use super::backend::Backend;
use super::discovery::DiscoveryClient;
use super::frontend::Frontend;
use super::reactor::{ConnectionId, EventSource, Handler, Readiness, TimerEvent};
use super::shutdown::GracefulShutdown;
use super::{Context, Event};
use crate::interface::{self, Action};
use crate::Policy;
use active_requests::ActiveRequests;
use queries::QueryTranslator;
use reload::ConfigReload;
pub(crate) use startup::{serve, ServeError};

/// The pooler: the policy and the connections that it controls.
struct Pooler {
    policy: Policy,
    frontend: Frontend,
    backend: Backend,
    discovery: DiscoveryClient,
    signals: Signals,
    requests: ActiveRequests,
    query_translator: QueryTranslator,
    /// Zone names, in the order of the settings.
    zones: Vec<String>,
    /// Timeout of health checks: the connect timeout, since neither waits for a query to be executed.
    health_check_timeout: Duration,
    reload: ConfigReload,
    shutdown: GracefulShutdown,
}

impl Pooler {
    /// Handles all queued events. Each event is handled only after all actions caused by the previous one are
    /// executed. A response lets no further query of its client in before the connection is resumed, so that
    /// the queue becomes empty.
    fn process_events(&mut self, context: &mut Context) {
        while let Some(event) = context.events.pop_front() {
            match event {
                Event::QueryReceived { client, query, received_at } => {
                    self.on_query(client, *query, received_at, context);
                }
                Event::ClientDisconnected(client) => self.abandon_request(client, context),
                Event::QueryBlocksOthers(client) => self.end_blocking_request(client, context),
                Event::CancelRequested(key) => self.on_cancel_request(key, context),
                Event::AttemptReady { connection, attempt } => {
                    self.on_attempt_ready(connection, &attempt, context);
                }
                Event::TaskCompleted(completion) => self.on_task_completed(*completion, context),
                Event::WatchFailed => self.on_watch_failed(context),
                Event::WatchAnswered(answer_time) => self.on_watch_answered(answer_time, context),
                Event::WatchMoved => self.notify_policy(interface::Event::WatchMoved, context),
                Event::EndpointsUpdated(kind, endpoints) => {
                    self.on_endpoints_updated(kind, endpoints, context)
                }
            }
        }
    }

    /// Passes an event to the policy and executes the actions that it returns.
    fn notify_policy(&mut self, event: interface::Event, context: &mut Context) {
        let actions = self.decide(event, context);
        self.execute(actions, context);
    }

    /// Passes an event to the policy and returns the resulting actions without executing them.
    fn decide(&mut self, event: interface::Event, context: &Context) -> Vec<Action> {
        let mut actions = Vec::new();
        let now = context.reactor.policy_time(context.reactor.now());
        self.policy.handle(now, event, &mut actions);
        actions
    }

    /// Stops accepting connections and closes each open connection once its queries are answered.
    fn start_draining(&mut self, context: &mut Context) {
        self.frontend.stop_accepting(context);
        let drain = self.shutdown.start_draining(context.reactor.now());
        self.frontend.start_draining(drain, context);
    }

    /// Ends all blocking requests: the queries queued behind them must be answered before the kill. Those that
    /// begin to block later are reported one by one.
    fn end_blocking_requests(&mut self, context: &mut Context) {
        for client in self.frontend.clients_with_blocking_requests() {
            self.end_blocking_request(client, context);
        }
    }

    /// Ends the request that a client waits for, because others wait behind it.
    fn end_blocking_request(&mut self, client: ConnectionId, context: &mut Context) {
        if let Some(id) = self.requests.request_of(client) {
            self.notify_policy(interface::Event::ShutdownImminent { id }, context);
        }
    }
}

impl Handler for Pooler {
    fn ready(&mut self, source: EventSource, readiness: Readiness, context: &mut Context) {
        match source {
            EventSource::Listener => self.frontend.accept(context),
            EventSource::Signals => self.on_signals(context),
            EventSource::Client(client) => match readiness {
                Readiness::Ready => self.frontend.ready(client, context),
                Readiness::Disconnected => self.frontend.client_disconnected(client, context),
            },
            EventSource::Backend(connection) => self.backend.ready(connection, context),
            EventSource::Discovery(watch) => self.discovery.ready(watch, context),
        }
        self.process_events(context);
    }

    fn resume(&mut self, source: EventSource, context: &mut Context) {
        match source {
            EventSource::Listener => self.frontend.resume_accepting(context),
            EventSource::Client(client) => self.frontend.resume(client, context),
            EventSource::Backend(connection) => self.backend.resume(connection, context),
            EventSource::Discovery(watch) => self.discovery.resume(watch, context),
            // Signals are handled all at once.
            EventSource::Signals => {}
        }
        self.process_events(context);
    }

    fn timer_expired(&mut self, timer: TimerEvent, context: &mut Context) {
        match timer {
            TimerEvent::Policy(cookie) => {
                self.notify_policy(interface::Event::TimerExpired { cookie }, context)
            }
            TimerEvent::RetryAccept => self.frontend.accept(context),
            TimerEvent::IdleSweep => self.frontend.close_idle_connections(context),
            TimerEvent::Client(client) => self.frontend.timer_expired(client, context),
            TimerEvent::Backend(connection) => self.backend.timer_expired(connection, context),
            TimerEvent::Discovery(watch) => self.discovery.timer_expired(watch, context),
            TimerEvent::GracePeriodOver => self.start_draining(context),
            TimerEvent::EndBlockingRequests => self.end_blocking_requests(context),
            TimerEvent::RetryReload => self.retry_reload(context),
        }
        self.process_events(context);
    }

    fn is_finished(&self) -> bool {
        self.shutdown.is_draining() && self.frontend.is_finished()
    }
}

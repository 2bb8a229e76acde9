//! Connects the [`Policy`] to the sockets: translates the [`Event`]s of the connections for the policy and
//! executes the actions that it returns. The policy takes every decision except those that the limits of the
//! process force.
//!
//! - [`startup`]: builds the pooler and runs it.
//! - [`queries`]: the queries of clients, their disconnects and cancel requests.
//! - [`actions`]: executes the actions of the policy.
//! - [`completions`]: the ends of attempts and health checks.
//! - [`active_requests`]: the requests that a client or an attempt still waits for.
//! - [`endpoints`]: the endpoint list and the failures of its watch.
//! - [`reload`]: reads the configuration file again after SIGHUP.
//! - [`signals`]: the signals of the process.

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
use super::discovery::Discovery;
use super::frontend::Frontend;
use super::reactor::{EventSource, Handler, Readiness, TimerEvent};
use super::shutdown::GracefulShutdown;
use super::{Context, Event};
use crate::interface::{self, Action};
use crate::Policy;
use active_requests::ActiveRequests;
use queries::QueryTranslator;
use reload::ConfigReload;
pub(crate) use startup::{serve, ServeError};

/// The pooler: the policy and the connections that it decides about.
struct Pooler {
    policy: Policy,
    frontend: Frontend,
    backend: Backend,
    discovery: Discovery,
    signals: Signals,
    requests: ActiveRequests,
    query_translator: QueryTranslator,
    /// The names of the zones, in the order of the settings.
    zones: Vec<String>,
    /// The timeout of a health check: the connect timeout, since neither waits for a query to be executed.
    health_check_timeout: Duration,
    reload: ConfigReload,
    shutdown: GracefulShutdown,
}

impl Pooler {
    /// Handles the queued events. Each event is handled only after all actions that follow from the one
    /// before it are executed.
    fn process_events(&mut self, context: &mut Context) {
        while let Some(event) = context.events.pop_front() {
            match event {
                Event::QueryReceived { client, query, received_at } => {
                    self.on_query(client, *query, received_at, context);
                }
                Event::ClientDisconnected(client) => self.abandon_request(client, context),
                Event::CancelRequested(key) => self.on_cancel_request(key, context),
                Event::TaskCompleted(completion) => self.on_task_completed(*completion, context),
                Event::WatchFailed => self.on_watch_failed(context),
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

    /// Passes an event to the policy and returns its actions, which are still to be executed.
    fn decide(&mut self, event: interface::Event, context: &Context) -> Vec<Action> {
        let mut actions = Vec::new();
        let now = context.reactor.policy_time(context.reactor.now());
        self.policy.handle(now, event, &mut actions);
        actions
    }

    /// Stops accepting connections and closes each open one once its queries are answered.
    fn start_draining(&mut self, context: &mut Context) {
        self.frontend.stop_accepting(context);
        let drain = self.shutdown.start_draining(context.reactor.now());
        self.frontend.start_draining(drain, context);
    }

    /// Ends each blocking request: the queries behind it on its connection must be answered before the kill.
    fn end_blocking_requests(&mut self, context: &mut Context) {
        for client in self.frontend.clients_with_blocking_requests() {
            if let Some(id) = self.requests.request_of(client) {
                self.notify_policy(interface::Event::ShutdownImminent { id }, context);
            }
        }
        self.shutdown.schedule_blocking_request_check(&mut context.reactor);
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

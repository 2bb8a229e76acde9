//! Handles the signals of the process: graceful shutdown, reload and printing of the counters.

use std::path::{Path, PathBuf};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGUSR1};

use super::{Pooler, ShutdownState};
use crate::config::{Config, ConfigError};
use crate::interface;
use crate::net::reactor::{saturating_duration, TimerEvent};
use crate::net::Context;
use crate::settings::Settings;

/// How long connections and queries are accepted after the shutdown was requested. New connections
/// arrive for up to 0.4 s; a query that arrives after 0.7 s is lost if it outlives the process.
const SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_millis(600);
/// Retry-After of queries that are rejected during the shutdown, as far as the settings allow one.
/// By then another pooler accepts the client's connections.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The process is killed at the earliest this long after the shutdown was requested and the longest deadline,
/// which counts up to [`MAX_COUNTED_DEADLINE`].
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long before the earliest kill the queries are answered that wait behind others.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which queries behind others are looked for from then on.
const BLOCKING_REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two attempts to read the configuration.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How often a reload is tried again: for the 4 s after which discovery counts on the new address.
const MAX_RELOAD_RETRIES: u32 = 20;

/// The configuration file, and how often reading it may still be tried again for the last signal.
pub(super) struct Reload {
    path: PathBuf,
    retries_left: u32,
}

impl Reload {
    /// No reload is due.
    pub fn new(path: &Path) -> Reload {
        Reload { path: path.to_path_buf(), retries_left: 0 }
    }
}

/// The Retry-After of queries that are rejected during the shutdown; zero for no advice.
pub(super) fn shutdown_retry_after(settings: &Settings) -> Duration {
    if settings.send_retry_after {
        SHUTDOWN_RETRY_AFTER.min(saturating_duration(settings.max_retry_after))
    } else {
        Duration::ZERO
    }
}

impl Pooler {
    /// Handles the signals that have been received.
    pub(super) fn on_signals(&mut self, context: &mut Context) {
        let received: Vec<i32> = self.signals.pending().collect();
        for signal in received {
            match signal {
                SIGUSR1 => tracing::info!("counters: {}", context.counters),
                SIGHUP => self.reload(context),
                // The rest of the registered signals, SIGTERM and SIGINT.
                _ => self.start_shutdown(context),
            }
        }
    }

    /// Reads the configuration file again. An invalid file changes nothing. One that cannot be read is tried
    /// again: the system may lack a descriptor for a moment.
    fn reload(&mut self, context: &mut Context) {
        if let Err(error) = self.try_reload(context) {
            context.counters.reload_failures += 1;
            tracing::warn!(%error, "reload failed, keeping the configuration");
            if matches!(error, ConfigError::Read { .. }) {
                self.reload.retries_left = MAX_RELOAD_RETRIES;
                self.schedule_reload(context);
            }
        }
    }

    /// Tries a reload again that has failed, unless another one has succeeded since.
    pub(super) fn retry_reload(&mut self, context: &mut Context) {
        if self.reload.retries_left == 0 {
            return;
        }
        self.reload.retries_left -= 1;
        if self.try_reload(context).is_err() {
            self.schedule_reload(context);
        }
    }

    /// Takes the address of discovery from the configuration file. The rest holds from the next start, since
    /// requests in progress were accepted under it.
    fn try_reload(&mut self, context: &mut Context) -> Result<(), ConfigError> {
        let config = Config::load(&self.reload.path)?;
        self.reload.retries_left = 0;
        context.counters.reloads += 1;
        tracing::info!(discovery = %config.discovery, "configuration reloaded");
        self.discovery.move_to(config.discovery, context);
        Ok(())
    }

    fn schedule_reload(&mut self, context: &mut Context) {
        let at = context.reactor.now() + RELOAD_RETRY_INTERVAL;
        context.reactor.set_timer(at, TimerEvent::RetryReload);
    }

    /// Starts the grace period, unless a shutdown was requested before.
    fn start_shutdown(&mut self, context: &mut Context) {
        if self.shutdown != ShutdownState::Running {
            return;
        }
        self.shutdown = ShutdownState::GracePeriod;
        tracing::info!("graceful shutdown started");
        let now = context.reactor.now();
        context.reactor.set_timer(now + SHUTDOWN_GRACE_PERIOD, TimerEvent::GracePeriodOver);
        let earliest_kill = now + self.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        context.reactor.set_timer(earliest_kill - KILL_MARGIN, TimerEvent::KillImminent);
    }

    /// Stops accepting connections and closes each open one once its queries are answered.
    pub(super) fn on_grace_period_over(&mut self, context: &mut Context) {
        self.shutdown = ShutdownState::Closing;
        self.frontend.start_shutdown(self.shutdown_retry_after, context);
    }

    /// Ends each request behind which others wait on its connection. These came during the shutdown and are
    /// owed an answer before the process is killed; the first one came earlier and is not.
    pub(super) fn end_blocking_requests(&mut self, context: &mut Context) {
        for client in self.frontend.clients_with_waiting_input() {
            if let Some(id) = self.requests.request_of(client) {
                self.notify_policy(interface::Event::Expired { id }, context);
            }
        }
        let at = context.reactor.now() + BLOCKING_REQUEST_INTERVAL;
        context.reactor.set_timer(at, TimerEvent::KillImminent);
    }
}

//! Handles the signals of the process: graceful shutdown, reload and printing of the counters.

use signal_hook::consts::{SIGHUP, SIGUSR1};

use super::{Pooler, ShutdownState};
use crate::config::Config;
use crate::net::reactor::TimerEvent;
use crate::net::Context;

/// How long connections and queries are accepted after the shutdown was requested (seconds). New connections
/// arrive for up to 0.4 s; a query that arrives after 0.7 s is lost if it outlives the process.
const SHUTDOWN_GRACE_PERIOD: f64 = 0.6;

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

    /// Reads the configuration file again. Only the address of discovery takes effect; the rest holds from the
    /// next start, since requests in progress were accepted under it. An invalid file changes nothing.
    fn reload(&mut self, context: &mut Context) {
        match Config::load(&self.config_path) {
            Ok(config) => {
                context.counters.reloads += 1;
                tracing::info!(discovery = %config.discovery, "configuration reloaded");
                self.discovery.move_to(config.discovery, context);
            }
            Err(error) => {
                context.counters.reload_failures += 1;
                tracing::warn!(%error, "reload failed, keeping the configuration");
            }
        }
    }

    /// Starts the grace period, unless a shutdown was requested before.
    fn start_shutdown(&mut self, context: &mut Context) {
        if self.shutdown != ShutdownState::Running {
            return;
        }
        self.shutdown = ShutdownState::GracePeriod;
        tracing::info!("graceful shutdown started");
        let grace_period_end = context.reactor.now() + SHUTDOWN_GRACE_PERIOD;
        context.reactor.set_timer(grace_period_end, TimerEvent::GracePeriodOver);
    }

    /// Stops accepting connections and closes each open one once its queries are answered.
    pub(super) fn on_grace_period_over(&mut self, context: &mut Context) {
        self.shutdown = ShutdownState::Closing;
        self.frontend.start_shutdown(context);
    }
}

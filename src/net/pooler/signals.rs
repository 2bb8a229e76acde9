//! Signal handling.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};

use super::Pooler;
use crate::net::Context;

impl Pooler {
    /// Handles all pending signals.
    pub(super) fn on_signals(&mut self, context: &mut Context) {
        let received: Vec<i32> = self.signals.pending().collect();
        for signal in received {
            match signal {
                SIGUSR1 => tracing::info!("counters: {}", context.counters),
                SIGHUP => self.reload(context),
                SIGTERM | SIGINT => self.shutdown.start(&mut context.reactor),
                // No other signal is registered. Most signals terminate the process by default.
                _ => self.shutdown.start(&mut context.reactor),
            }
        }
    }
}

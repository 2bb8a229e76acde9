//! Configuration reload on SIGHUP.

use std::path::{Path, PathBuf};
use std::time::Duration;

use super::Pooler;
use crate::config::{Config, ConfigError};
use crate::net::reactor::TimerEvent;
use crate::net::Context;

/// Interval between retries.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of retries: 20 times 200 ms = 4 s, after which the discovery service expects the pooler to
/// use its new address.
const MAX_RETRIES: u32 = 20;

/// The configuration file and the number of retries left for the last signal.
pub(super) struct ConfigReload {
    path: PathBuf,
    retries_left: u32,
}

impl ConfigReload {
    /// Creates the initial state, with no retry due.
    pub fn new(path: &Path) -> ConfigReload {
        ConfigReload { path: path.to_path_buf(), retries_left: 0 }
    }

    /// Reads the file. On success no further retry is due.
    fn load(&mut self) -> Result<Config, ConfigError> {
        let config = Config::load(&self.path)?;
        self.retries_left = 0;
        Ok(config)
    }

    /// Allows retries after a first failure if the file could not be read, since the system may be short of
    /// file descriptors temporarily. A file that is invalid at the first read is not retried. Returns `true`
    /// if a retry is due.
    fn allow_retries_after(&mut self, error: &ConfigError) -> bool {
        let is_transient = matches!(error, ConfigError::Read { .. });
        if is_transient {
            self.retries_left = MAX_RETRIES;
        }
        is_transient
    }

    /// Uses up one retry. Returns `true` if one was left.
    fn take_retry(&mut self) -> bool {
        let is_due = self.retries_left > 0;
        self.retries_left = self.retries_left.saturating_sub(1);
        is_due
    }
}

impl Pooler {
    /// Reloads the configuration file after a signal. If the file is invalid or cannot be read, the current
    /// configuration is kept.
    pub(super) fn reload(&mut self, context: &mut Context) {
        let Err(error) = self.try_reload(context) else { return };
        context.counters.reload_failures += 1;
        tracing::warn!(%error, "reload failed, keeping the configuration");
        if self.reload.allow_retries_after(&error) {
            schedule_retry(context);
        }
    }

    /// Retries a failed reload, unless another reload has succeeded since. Schedules the next retry after any
    /// error, including an invalid file. Only the first failure is counted and logged.
    pub(super) fn retry_reload(&mut self, context: &mut Context) {
        if self.reload.take_retry() && self.try_reload(context).is_err() {
            schedule_retry(context);
        }
    }

    /// Applies the address of the discovery service from the configuration file. All other changes take
    /// effect at the next start, since requests in progress were accepted under the old values.
    fn try_reload(&mut self, context: &mut Context) -> Result<(), ConfigError> {
        let config = self.reload.load()?;
        context.counters.reloads += 1;
        tracing::info!(discovery = %config.discovery, "configuration reloaded");
        self.discovery.set_address(config.discovery, context);
        Ok(())
    }
}

fn schedule_retry(context: &mut Context) {
    let at = context.reactor.now() + RETRY_INTERVAL;
    context.reactor.set_timer(at, TimerEvent::RetryReload);
}

//! Builds the pooler from the configuration and runs it.

use std::io;
use std::path::Path;

use mio::net::TcpListener;
use mio::{Interest, Poll};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;

use super::active_requests::ActiveRequests;
use super::queries::QueryTranslator;
use super::reload::ConfigReload;
use super::Pooler;
use crate::config::Config;
use crate::interface::UpdateKind;
use crate::net::backend::Backend;
use crate::net::buffer::MemoryBudget;
use crate::net::discovery::{DiscoveryClient, MAX_ANSWERED_WATCHES};
use crate::net::frontend::Frontend;
use crate::net::reactor::{self, duration_of, EventSource, Reactor};
use crate::net::shutdown::GracefulShutdown;
use crate::net::{Context, Event};
use crate::settings::SettingsError;
use crate::time::Span;
use crate::transient_error::{is_transient, retry};
use crate::Policy;

/// File descriptors used for standard streams, the listener, the poll instance, signals, and one that the
/// process opens temporarily.
const BASE_DESCRIPTORS: usize = 9;
/// File descriptors used for these and for answered watches of the endpoint list.
const PROCESS_DESCRIPTORS: usize = BASE_DESCRIPTORS + MAX_ANSWERED_WATCHES;
/// Fewest file descriptors that are not available to connections of clients and to endpoints.
const MIN_RESERVED_DESCRIPTORS: usize = 16;
/// The reserved file descriptors, and one each for a client and an endpoint.
const MIN_DESCRIPTORS: usize = MIN_RESERVED_DESCRIPTORS + 2;
/// The share of the file descriptors that unanswered watches may use is one over this number.
const UNANSWERED_WATCHES_DIVISOR: usize = 8;
/// Most unanswered watches, however many file descriptors there are.
const MAX_UNANSWERED_WATCHES: usize = 48;

/// Why the pooler failed to start or had to stop.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServeError {
    /// The policy rejected its settings.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// The configured limit on file descriptors is below [`MIN_DESCRIPTORS`].
    #[error(
        "'limits.sockets' must be at least {MIN_DESCRIPTORS}: {MIN_RESERVED_DESCRIPTORS} file descriptors are \
         reserved, and clients and endpoints need at least one each"
    )]
    TooFewSockets,
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl ServeError {
    /// Returns `true` if another attempt to start may succeed.
    fn is_transient(&self) -> bool {
        matches!(self, ServeError::Io(error) if is_transient(error))
    }
}

/// Maximum number of connections of each kind.
struct ConnectionLimits {
    clients: usize,
    backend: usize,
    unanswered_watches: usize,
}

impl ConnectionLimits {
    /// Splits the file descriptors that are not reserved evenly between clients and endpoints, since a client
    /// usually has one attempt in flight. Hedged requests and health checks share the backend's half; once it
    /// is used up, attempts end as [`NotSent`](crate::interface::Outcome::NotSent).
    fn new(descriptors: usize) -> Result<ConnectionLimits, ServeError> {
        let min_watches = MIN_RESERVED_DESCRIPTORS - PROCESS_DESCRIPTORS;
        let unanswered_watches =
            (descriptors / UNANSWERED_WATCHES_DIVISOR).clamp(min_watches, MAX_UNANSWERED_WATCHES);
        let sockets = descriptors.saturating_sub(PROCESS_DESCRIPTORS + unanswered_watches);
        let clients = sockets / 2;
        if clients == 0 {
            return Err(ServeError::TooFewSockets);
        }
        Ok(ConnectionLimits { clients, backend: sockets - clients, unanswered_watches })
    }
}

/// Serves clients until a graceful shutdown is complete. `path` is the file that `config` was read from; it
/// is read again on reload.
pub(crate) fn serve(config: &Config, path: &Path) -> Result<(), ServeError> {
    let StartedPooler { mut poll, mut context, mut pooler } =
        retry(|| start(config, path), ServeError::is_transient)?;
    reactor::run(&mut poll, &mut pooler, &mut context)?;
    tracing::info!(name = %config.name, "shut down: {}", context.counters);
    Ok(())
}

/// A pooler that is ready to run, with its event loop.
struct StartedPooler {
    poll: Poll,
    context: Context,
    pooler: Pooler,
}

fn start(config: &Config, path: &Path) -> Result<StartedPooler, ServeError> {
    let poll = Poll::new()?;
    let reactor = Reactor::new(&poll)?;
    let mut context = Context::new(reactor);
    let pooler = Pooler::new(config, path, &mut context)?;
    Ok(StartedPooler { poll, context, pooler })
}

impl Pooler {
    /// Opens the listener and applies the cached endpoint list.
    fn new(config: &Config, path: &Path, context: &mut Context) -> Result<Pooler, ServeError> {
        let settings = &config.settings;
        let policy = Policy::new(settings.clone(), config.seed)?;
        let signals = register_signals(context)?;
        let limits = ConnectionLimits::new(config.max_descriptors)?;
        // Half of the memory is shared by buffers, statements and values. The other half is for the rest of
        // the process, which the budget does not track.
        let budget = MemoryBudget::new(config.max_memory / 2);
        let listener = listen(config, &limits)?;
        let clients = limits.clients;
        let longest_deadline = duration_of(settings.longest_deadline());
        let connect_timeout = duration_of(settings.connect_timeout);
        let max_retry_after = settings.send_retry_after.then(|| duration_of(settings.max_retry_after));
        let keepalive = duration_of(Span::from_secs(config.keepalive_timeout));
        // Cancel keys must be independent of the policy's random numbers, which use the seed itself.
        let key_seed = !config.seed;
        let frontend = Frontend::new(listener, clients, longest_deadline, budget.clone(), key_seed, context)?;
        let mut pooler = Pooler {
            policy,
            frontend,
            backend: Backend::new(limits.backend, budget.clone(), keepalive, connect_timeout),
            discovery: DiscoveryClient::new(
                config.discovery,
                config.cached_list.version,
                limits.unanswered_watches,
                budget,
            ),
            signals,
            requests: ActiveRequests::default(),
            query_translator: QueryTranslator::new(config),
            zones: config.zones.clone(),
            health_check_timeout: connect_timeout,
            reload: ConfigReload::new(path),
            shutdown: GracefulShutdown::new(longest_deadline, max_retry_after),
        };
        let cached_endpoints = config.cached_list.endpoints.clone();
        context.events.push_back(Event::EndpointsUpdated(UpdateKind::Cached, cached_endpoints));
        pooler.process_events(context);
        Ok(pooler)
    }
}

/// Registers the handled signals with the reactor.
fn register_signals(context: &mut Context) -> io::Result<Signals> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP, SIGUSR1])?;
    context.reactor.register(&mut signals, EventSource::Signals, Interest::READABLE)?;
    Ok(signals)
}

/// Opens the listening socket.
fn listen(config: &Config, limits: &ConnectionLimits) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(config.listen)?;
    let address = listener.local_addr()?;
    tracing::info!(name = %config.name, %address, max_clients = limits.clients, "listening");
    Ok(listener)
}

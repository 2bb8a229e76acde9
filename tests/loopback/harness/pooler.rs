//! The pooler program, run as a child process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use super::configuration::{configuration, Edit};
use super::{DiscoveryService, EndpointList, EVENT_TIMEOUT};

const PROGRAM: &str = env!("CARGO_BIN_EXE_pg-pooler");

/// The number of poolers that the tests have started. Makes the names of their configuration files unique.
static POOLERS_STARTED: AtomicU64 = AtomicU64::new(0);

/// Clock ticks per second of the times in `/proc`.
#[cfg(target_os = "linux")]
const TICKS_PER_SECOND: f64 = 100.0;

/// Process states in `/proc/PID/stat`: waiting for an event, and stopped by a signal.
#[cfg(target_os = "linux")]
const SLEEPING: &str = "S";
#[cfg(target_os = "linux")]
const STOPPED: &str = "T";

/// The signals that the tests send to the pooler.
#[derive(Clone, Copy)]
pub enum Signal {
    /// Reloads the configuration.
    Hangup,
    /// Starts a graceful shutdown.
    Terminate,
    /// Logs the counters.
    User1,
    /// Suspends the process until [`Signal::Continue`].
    Stop,
    /// Resumes a suspended process.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Hangup => "HUP",
            Signal::Terminate => "TERM",
            Signal::User1 => "USR1",
            Signal::Stop => "STOP",
            Signal::Continue => "CONT",
        }
    }
}

/// A running pooler. Dropping it kills the process and removes its configuration file.
pub struct Pooler {
    child: Child,
    log: Receiver<String>,
    configuration: PathBuf,
    /// The address on which the pooler accepts clients.
    pub address: SocketAddr,
}

impl Pooler {
    /// Starts the program with the endpoint list `known` and the edited configuration.
    pub fn start(known: &EndpointList, discovery: &DiscoveryService, edits: &[Edit]) -> Pooler {
        Pooler::start_with_discovery_address(known, discovery.address(), edits)
    }

    /// Starts the program like [`start`](Self::start), with a discovery service at any address.
    pub fn start_with_discovery_address(
        known: &EndpointList,
        discovery: SocketAddr,
        edits: &[Edit],
    ) -> Pooler {
        Pooler::start_command(Command::new(PROGRAM), known, discovery, edits)
    }

    /// Starts the program with a resource limit of `count` file descriptors, which is lower than the limit in
    /// its configuration.
    pub fn start_with_descriptor_limit(
        count: u32,
        known: &EndpointList,
        discovery: &DiscoveryService,
    ) -> Pooler {
        let mut command = Command::new("sh");
        command.arg("-c").arg(format!("ulimit -n {count}; exec \"$0\" \"$@\"")).arg(PROGRAM);
        Pooler::start_command(command, known, discovery.address(), &[])
    }

    fn start_command(
        mut command: Command,
        known: &EndpointList,
        discovery: SocketAddr,
        edits: &[Edit],
    ) -> Pooler {
        let number = POOLERS_STARTED.fetch_add(1, Ordering::Relaxed);
        let file = format!("pg-pooler-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, configuration(known, discovery, edits)).unwrap();
        command.args(["serve", "--config"]).arg(&path).stderr(Stdio::piped());
        let mut child = command.spawn().expect("failed to start the pooler");
        let log = read_lines(child.stderr.take().unwrap());
        let mut pooler = Pooler { child, log, configuration: path, address: ([127, 0, 0, 1], 0).into() };
        let line = pooler.wait_for_log("listening");
        let address = line.split("address=").nth(1).and_then(|rest| rest.split(' ').next());
        pooler.address = address.unwrap().parse().unwrap();
        pooler
    }

    /// Edits the configuration file and signals the pooler to reload it.
    pub fn reload(&self, edit: &Edit) {
        let text = std::fs::read_to_string(&self.configuration).unwrap();
        std::fs::write(&self.configuration, edit.apply(&text)).unwrap();
        self.signal(Signal::Hangup);
    }

    /// Signals the pooler to reload its configuration file while the file does not exist. Writes the edited
    /// file once the reload has failed.
    pub fn reload_while_missing(&self, edit: &Edit) {
        let text = std::fs::read_to_string(&self.configuration).unwrap();
        std::fs::remove_file(&self.configuration).unwrap();
        self.signal(Signal::Hangup);
        self.wait_for_log("reload failed");
        std::fs::write(&self.configuration, edit.apply(&text)).unwrap();
    }

    /// Waits for a log line that contains `text` and returns it. Earlier lines are skipped.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(EVENT_TIMEOUT)
                .unwrap_or_else(|_| panic!("'{text}' was not logged in time"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits for a log line that contains `text`. Earlier lines are skipped. Returns how long it took, or
    /// `None` if the line was not logged within `limit`.
    pub fn time_until_logged(&self, text: &str, limit: Duration) -> Option<Duration> {
        let started_at = Instant::now();
        loop {
            let line = self.log.recv_timeout(limit.checked_sub(started_at.elapsed())?).ok()?;
            if line.contains(text) {
                return Some(started_at.elapsed());
            }
        }
    }

    /// Replaces all occurrences of `from` in the configuration file, if any, and signals the pooler to reload
    /// it.
    pub fn reload_with_replacement(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.configuration).unwrap();
        std::fs::write(&self.configuration, text.replace(from, to)).unwrap();
        self.signal(Signal::Hangup);
    }

    /// Sends a signal to the process, which must exist.
    pub fn signal(&self, signal: Signal) {
        assert!(self.signal_if_alive(signal));
    }

    /// Sends a signal to the process. Returns `true` if the process still existed.
    pub fn signal_if_alive(&self, signal: Signal) -> bool {
        let process = self.child.id().to_string();
        Command::new("kill").args(["-s", signal.name(), &process]).status().unwrap().success()
    }

    /// Suspends the process while it waits for events, and returns once it is suspended. It has then handled
    /// all earlier events. Events that occur while it is suspended are returned by a single poll after
    /// [`Signal::Continue`].
    #[cfg(target_os = "linux")]
    pub fn suspend_while_idle(&self) {
        self.wait_until_events_handled();
        self.wait_for_state(SLEEPING);
        self.signal(Signal::Stop);
        self.wait_for_state(STOPPED);
    }

    /// Waits until the main thread, which handles all events, is in this process state.
    #[cfg(target_os = "linux")]
    fn wait_for_state(&self, state: &str) {
        let start = std::time::Instant::now();
        while self.stat_fields()[0] != state {
            assert!(start.elapsed() < EVENT_TIMEOUT, "the process did not reach state {state}");
            std::thread::yield_now();
        }
    }

    /// Returns the fields of `/proc/PID/stat` from the third, the state of the main thread.
    #[cfg(target_os = "linux")]
    fn stat_fields(&self) -> Vec<String> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        // The second field is the program name in parentheses, which may itself contain spaces.
        let fields_from_third = text.rsplit(')').next().unwrap().split_whitespace();
        fields_from_third.map(String::from).collect()
    }

    /// Returns the log line with the counters. The pooler writes it after it has handled all earlier events.
    pub fn counters(&self) -> String {
        self.signal(Signal::User1);
        self.wait_for_log("requests_received=")
    }

    /// Asserts that the log line with the counters contains `text`.
    #[track_caller]
    pub fn expect_counters(&self, text: &str) {
        let counters = self.counters();
        assert!(counters.contains(text), "expected '{text}' in the counters: {counters}");
    }

    /// Waits until the pooler has handled all earlier events.
    pub fn wait_until_events_handled(&self) {
        self.counters();
    }

    /// Returns the CPU time that the process has used, in user mode and in the kernel: the 14th and the 15th
    /// field of `/proc/PID/stat`.
    #[cfg(target_os = "linux")]
    pub fn cpu_seconds(&self) -> f64 {
        let fields_from_third = self.stat_fields();
        let ticks = fields_from_third.iter().skip(11).take(2);
        ticks.map(|ticks| ticks.parse::<f64>().unwrap() / TICKS_PER_SECOND).sum()
    }

    /// Waits for the process to exit.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.configuration);
    }
}

/// Reads the log in a separate thread, so that the program never blocks on a full pipe.
fn read_lines(stderr: ChildStderr) -> Receiver<String> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        lines.try_for_each(|line| sender.send(line))
    });
    receiver
}

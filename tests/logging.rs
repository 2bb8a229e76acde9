//! Tests of the log on standard error: its format, and that an unavailable reader does not stop the pooler.
#![allow(clippy::unwrap_used, reason = "a panic is how a test fails, also in its helper functions")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::time::Duration;

/// An address without a discovery service: port 1 is reserved, so nothing listens there.
const NO_DISCOVERY: &str = "127.0.0.1:1";

struct Pooler {
    child: Child,
    log: Option<BufReader<ChildStderr>>,
    config: PathBuf,
}

impl Pooler {
    /// Starts the program without a discovery service.
    fn start(name: &str) -> Pooler {
        let text = format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{NO_DISCOVERY}","seed":"7f","settings":{{
            "classes":[{{"name":"a","aim":1,"deadline":2}}],"specifics":{{"consistency":["any"]}},
            "invariants":{{"tipMultiple":2}}}}}}"#
        );
        let config = std::env::temp_dir().join(format!("pg-pooler-{name}-{}.json", std::process::id()));
        std::fs::write(&config, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_pg-pooler"))
            .args(["serve", "--config"])
            .arg(&config)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = child.stderr.take().map(BufReader::new);
        Pooler { child, log, config }
    }

    /// Returns the first line of the log. The program handles signals before it writes this line.
    fn first_line(&mut self) -> String {
        let mut line = String::new();
        self.log.as_mut().unwrap().read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }

    /// Returns all further lines, up to the end of the pooler.
    fn remaining_lines(&mut self) -> Vec<String> {
        self.log.take().unwrap().lines().map(Result::unwrap).collect()
    }

    fn close_log(&mut self) {
        self.log = None;
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Asserts that a line begins with a UTC time and a level, and contains no colour codes.
fn assert_format(line: &str) {
    let mut words = line.split_whitespace();
    let (time, level) = (words.next().unwrap(), words.next().unwrap());
    assert!(time.contains('T') && time.ends_with('Z'), "{line}");
    assert!(matches!(level, "INFO" | "WARN"), "{line}");
    assert!(!line.contains('\x1b'), "{line}");
}

#[test]
fn each_event_is_one_line_with_time_level_message_and_fields() {
    let mut pooler = Pooler::start("log-form");
    let first = pooler.first_line();
    pooler.signal("USR1");
    pooler.signal("TERM");
    let lines = pooler.remaining_lines();
    assert!(pooler.wait().success());
    assert_format(&first);
    lines.iter().for_each(|line| assert_format(line));
    assert!(first.contains("INFO listening name=log-form address=127.0.0.1:"), "{first}");
    assert!(first.ends_with(" max_clients=482"), "{first}");
    for text in [
        "WARN endpoint watch failed error=",
        "INFO counters: clients_accepted=",
        "INFO graceful shutdown started",
        "INFO shut down: clients_accepted=",
    ] {
        assert!(lines.iter().any(|line| line.contains(text)), "'{text}' is not in {lines:?}");
    }
}

#[test]
fn a_closed_standard_error_does_not_stop_the_program() {
    let mut pooler = Pooler::start("log-closed");
    pooler.first_line();
    pooler.close_log();
    for _ in 0..3 {
        pooler.signal("USR1");
        pooler.signal("HUP");
    }
    pooler.signal("TERM");
    assert!(pooler.wait().success());
}

/// Enough signals to fill the pipe: it holds 64 KiB, which is about a hundred lines of counters.
const SIGNALS_THAT_FILL_THE_PIPE: u32 = 3000;
/// The startup message of a client: length, protocol version, user and terminator of the parameters.
const STARTUP: &[u8] = b"\0\0\0\x12\0\x03\0\0user\0app\0\0";
/// Far longer than a response takes; only a failing test waits this long.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a log writer that blocks on a full pipe, in which case no client is served.
#[test]
fn a_full_standard_error_does_not_stop_the_program() {
    let mut pooler = Pooler::start("log-full");
    let first = pooler.first_line();
    let address = first.split("address=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap();
    let pid = pooler.child.id();
    // Starting a program between two signals gives the pooler time to handle the first: signals that are
    // pending at the same time are merged.
    let script =
        format!("for i in $(seq {SIGNALS_THAT_FILL_THE_PIPE}); do kill -USR1 {pid}; /bin/true; done");
    assert!(Command::new("sh").args(["-c", &script]).status().unwrap().success());
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
    client.write_all(STARTUP).unwrap();
    client.read_exact(&mut [0]).expect("the client is served");
    pooler.signal("TERM");
    drop(client);
    // No line is lost that was logged after the pipe was read again.
    let lines = pooler.remaining_lines();
    assert!(lines.last().unwrap().contains("INFO shut down: clients_accepted=1 "), "{:?}", lines.last());
    assert!(pooler.wait().success());
}

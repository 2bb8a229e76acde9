//! The log of the pooler's program: its form, and that its loss does not stop the program.
#![allow(clippy::unwrap_used, reason = "a panic is how a test fails, also in its helper functions")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::time::Duration;

/// Port 1 is reserved: nothing listens there.
const NO_DISCOVERY: &str = "127.0.0.1:1";

struct Program {
    child: Child,
    log: Option<BufReader<ChildStderr>>,
    config: PathBuf,
}

impl Program {
    /// Starts the program without a discovery service.
    fn start(name: &str) -> Program {
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
        Program { child, log, config }
    }

    /// The first line of the log. The program handles signals by the time that it is written.
    fn first_line(&mut self) -> String {
        let mut line = String::new();
        self.log.as_mut().unwrap().read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }

    /// The other lines, up to the end of the program.
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

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Asserts that a line begins with a time in UTC and a level, and holds no colour.
fn assert_form(line: &str) {
    let mut words = line.split_whitespace();
    let (time, level) = (words.next().unwrap(), words.next().unwrap());
    assert!(time.contains('T') && time.ends_with('Z'), "{line}");
    assert!(matches!(level, "INFO" | "WARN"), "{line}");
    assert!(!line.contains('\x1b'), "{line}");
}

#[test]
fn each_event_is_one_line_with_time_level_message_and_fields() {
    let mut program = Program::start("log-form");
    let first = program.first_line();
    program.signal("USR1");
    program.signal("TERM");
    let lines = program.remaining_lines();
    assert!(program.wait().success());
    assert_form(&first);
    lines.iter().for_each(|line| assert_form(line));
    assert!(first.contains("INFO listening name=log-form address=127.0.0.1:"), "{first}");
    assert!(first.ends_with(" max_clients=504"), "{first}");
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
    let mut program = Program::start("log-closed");
    program.first_line();
    program.close_log();
    for _ in 0..3 {
        program.signal("USR1");
        program.signal("HUP");
    }
    program.signal("TERM");
    assert!(program.wait().success());
}

/// A pipe holds 64 KiB, which is about a hundred lines with counters.
const SIGNALS_THAT_FILL_THE_PIPE: u32 = 3000;
/// The startup message of a client: its length, the version, the user and the end of the parameters.
const STARTUP: &[u8] = b"\0\0\0\x12\0\x03\0\0user\0app\0\0";
/// Far longer than a response takes, so only a failed test waits so long.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// The program once waited for the reader of its log, and served no client meanwhile.
#[test]
fn a_full_standard_error_does_not_stop_the_program() {
    let mut program = Program::start("log-full");
    let first = program.first_line();
    let address = first.split("address=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap();
    let pid = program.child.id();
    // A program that is started between two signals leaves time to handle the first.
    let script =
        format!("for i in $(seq {SIGNALS_THAT_FILL_THE_PIPE}); do kill -USR1 {pid}; /bin/true; done");
    assert!(Command::new("sh").args(["-c", &script]).status().unwrap().success());
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
    client.write_all(STARTUP).unwrap();
    client.read_exact(&mut [0]).expect("the client is served");
    program.signal("TERM");
    drop(client);
    // Nothing is lost that was logged since the pipe has been read.
    let lines = program.remaining_lines();
    assert!(lines.last().unwrap().contains("INFO shut down: clients_accepted=1 "), "{:?}", lines.last());
    assert!(program.wait().success());
}

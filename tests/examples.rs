//! The example configuration that the README starts a newcomer with.
#![allow(clippy::unwrap_used, reason = "a panic is how a test fails, also in its helper functions")]

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
/// Far longer than the program takes: only a failed test waits so long.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The program on an edited copy of the example; both are removed at the end of the test.
struct Server {
    child: Child,
    config: PathBuf,
    log: Receiver<String>,
}

impl Server {
    /// Starts the program on any free port, with no discovery service.
    fn start() -> Server {
        let mut text = std::fs::read_to_string(EXAMPLE).unwrap();
        for (from, to) in [("127.0.0.1:6432", "127.0.0.1:0"), ("127.0.0.1:8500", "127.0.0.1:1")] {
            assert!(text.contains(from), "{from} is not in the example");
            text = text.replace(from, to);
        }
        let config = std::env::temp_dir().join(format!("pg-pooler-example-{}.json", std::process::id()));
        std::fs::write(&config, text).unwrap();
        let mut child = pg_pooler()
            .args(["serve", "--config"])
            .arg(&config)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (sender, log) = channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line))
        });
        Server { child, config, log }
    }

    /// Waits for a line of the log that contains `text`.
    fn wait_for_log(&self, text: &str) {
        loop {
            let line = self.log.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("'{text}' is not logged"));
            if line.contains(text) {
                return;
            }
        }
    }

    /// Sends SIGTERM and waits for the end; whether the program reports success.
    fn terminate(&mut self) -> bool {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", "TERM", &pid]).status().unwrap().success());
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(start.elapsed() < TIMEOUT, "the program does not end on SIGTERM");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

fn pg_pooler() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pg-pooler"));
    command.env_remove("LB_CONFIG");
    command
}

#[test]
fn check_config_accepts_the_example() {
    let Output { status, stdout, stderr } =
        pg_pooler().args(["check-config", "--config", EXAMPLE]).output().unwrap();
    assert!(status.success(), "{}", String::from_utf8_lossy(&stderr));
    let stdout = String::from_utf8(stdout).unwrap();
    for expected in ["127.0.0.1:6432", "127.0.0.1:8500", "3 classes"] {
        assert!(stdout.contains(expected), "{expected}: {stdout}");
    }
}

/// A cached list that cannot be read is ignored by `check-config`, so only a running pooler shows that the
/// example's list is sound.
#[test]
fn serve_reads_the_hosts_of_the_example_and_ends_on_sigterm() {
    let mut server = Server::start();
    server.wait_for_log("group 1: primary is now db-1");
    assert!(server.terminate());
}

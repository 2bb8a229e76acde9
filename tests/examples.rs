//! Tests of the example configuration, which the README uses for the first run.
#![allow(clippy::unwrap_used, reason = "a panic is how a test fails, also in its helper functions")]

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
/// Far longer than the program takes; only a failing test waits this long.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A running pooler with an edited copy of the example. Stops the pooler and removes the copy when dropped.
struct Pooler {
    child: Child,
    config: PathBuf,
    log: Receiver<String>,
}

impl Pooler {
    /// Starts the pooler on a free port, without a discovery service.
    fn start() -> Pooler {
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
            .expect("the pooler starts");
        let (sender, log) = channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line))
        });
        Pooler { child, config, log }
    }

    /// Waits for a log line that contains `text`.
    fn wait_for_log(&self, text: &str) {
        loop {
            let line =
                self.log.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("'{text}' was not logged in time"));
            if line.contains(text) {
                return;
            }
        }
    }

    /// Sends SIGTERM and waits for the pooler to exit. Returns `true` if it reports success.
    fn terminate(&mut self) -> bool {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", "TERM", &pid]).status().unwrap().success());
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(start.elapsed() < TIMEOUT, "the pooler did not exit on SIGTERM");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Pooler {
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

/// `check-config` ignores an invalid cached endpoint list, so only a running pooler shows that the list in
/// the example is valid.
#[test]
fn serve_reads_the_cached_list_of_the_example_and_exits_on_sigterm() {
    let mut pooler = Pooler::start();
    pooler.wait_for_log("group 1: primary is now db-1");
    assert!(pooler.terminate());
}

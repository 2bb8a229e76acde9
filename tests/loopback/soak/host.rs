//! A database host that answers queries, with faults that a test can inject.

use std::io::{ErrorKind, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::attempts::AttemptLog;
use super::discovery::ListedHost;
use super::random_duration;
use crate::harness::*;

/// The classes whose requests only the primary accepts, as in the comment of a query.
const WRITE_CLASSES: [&str; 2] = ["c=once,", "c=order-write,"];
const NOT_THE_PRIMARY: &str = "25006";
const TOO_MANY_CONNECTIONS: &str = "53300";

/// The longest service times of reports and of all other queries.
const MAX_REPORT_TIME: Duration = Duration::from_millis(2500);
const MAX_QUERY_TIME: Duration = Duration::from_millis(60);
/// Share of the answers that a second copy follows, and how far it is behind.
const COPIED_ANSWER_SHARE: f64 = 0.05;
const COPY_DELAY: Duration = Duration::from_micros(200);
/// Interval at which a waiting host checks whether the pooler has closed the connection.
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The faults of a host.
#[derive(Default)]
struct Faults {
    hang_until: Option<Instant>,
    resets_left: u32,
    rejections_left: u32,
    startup_delay: Duration,
}

/// A running database host.
pub struct SoakHost {
    listed: ListedHost,
    faults: Arc<Mutex<Faults>>,
}

/// How a host ends a query.
enum QueryOutcome {
    Answer,
    Reject(&'static str),
    Reset,
}

impl SoakHost {
    /// Starts a host whose service times are determined by the seed.
    pub fn start(
        name: &'static str,
        zone: &'static str,
        role: Role,
        seed: u64,
        attempts: &AttemptLog,
    ) -> SoakHost {
        let mut random = fastrand::Rng::with_seed(seed);
        let host = DatabaseHost::new();
        let listed = ListedHost::new(name, zone, role, host.entry(name, zone).address);
        let faults: Arc<Mutex<Faults>> = Arc::default();
        let (server, shared, attempts) = (listed.clone(), faults.clone(), attempts.clone());
        std::thread::spawn(move || loop {
            // The listener stays open while nobody connects: its port could be given to another run's host.
            if let Some(connection) = host.next_connection() {
                let (server, shared, attempts) = (server.clone(), shared.clone(), attempts.clone());
                let random = fastrand::Rng::with_seed(random.u64(..));
                std::thread::spawn(move || serve(connection, &server, &shared, &attempts, random));
            }
        });
        SoakHost { listed, faults }
    }

    pub fn listed(&self) -> ListedHost {
        self.listed.clone()
    }

    pub fn hang(&self, time: Duration) {
        self.faults.lock().unwrap().hang_until = Some(Instant::now() + time);
    }

    pub fn reset_queries(&self, count: u32) {
        self.faults.lock().unwrap().resets_left = count;
    }

    pub fn reject_queries(&self, count: u32) {
        self.faults.lock().unwrap().rejections_left = count;
    }

    pub fn delay_startups(&self, time: Duration) {
        self.faults.lock().unwrap().startup_delay = time;
    }

    /// Ends all faults.
    pub fn recover(&self) {
        *self.faults.lock().unwrap() = Faults::default();
    }
}

fn serve(
    mut connection: Connection,
    host: &ListedHost,
    faults: &Mutex<Faults>,
    attempts: &AttemptLog,
    mut random: fastrand::Rng,
) {
    let startup_delay = faults.lock().unwrap().startup_delay;
    std::thread::sleep(startup_delay);
    if connection.answer_startup().is_err() {
        return;
    }
    while let Some(message) = connection.receive_statement() {
        let sql = String::from_utf8_lossy(&message.body).into_owned();
        let id = field(&sql, "id=");
        let number = attempts.record_start(&id, host.name);
        host.check_drain(&id);
        let served_at = Instant::now() + service_time(&sql, &mut random);
        if !wait_while_open(served_at, &connection, faults) {
            return attempts.record_end(&id, number, false);
        }
        let outcome = outcome(&sql, host.role, faults);
        let is_rejected = matches!(outcome, QueryOutcome::Reject(_));
        // Recorded before the response is sent, since the pooler may start the next attempt immediately
        // after.
        attempts.record_end(&id, number, is_rejected);
        match outcome {
            QueryOutcome::Answer => {
                let position = unix_time().as_millis() as i64;
                let answer = result_response_with_position(id.as_bytes(), host.role, position);
                if connection.stream.write_all(&answer).is_err() {
                    return;
                }
                if random.f64() < COPIED_ANSWER_SHARE {
                    std::thread::sleep(COPY_DELAY);
                    send_copy_if_nothing_waits(&mut connection, &answer);
                }
            }
            QueryOutcome::Reject(sqlstate) => {
                if connection.stream.write_all(&error_response(sqlstate)).is_err() {
                    return;
                }
            }
            QueryOutcome::Reset => return connection.reset(),
        }
    }
}

/// Sends a second copy of an answer, unless the pooler has sent something since.
fn send_copy_if_nothing_waits(connection: &mut Connection, answer: &[u8]) {
    connection.stream.set_nonblocking(true).unwrap();
    let nothing_waits = connection.stream.peek(&mut [0]).is_err();
    connection.stream.set_nonblocking(false).unwrap();
    if nothing_waits {
        let _ = connection.stream.write_all(answer);
    }
}

/// Returns a random service time for a query.
fn service_time(sql: &str, random: &mut fastrand::Rng) -> Duration {
    let max = if sql.contains("c=reports,") { MAX_REPORT_TIME } else { MAX_QUERY_TIME };
    random_duration(random, max)
}

/// Waits until `served_at`, and until the host no longer hangs. Returns `true` if the pooler has kept the
/// connection open until then.
fn wait_while_open(served_at: Instant, connection: &Connection, faults: &Mutex<Faults>) -> bool {
    let hang_until = || faults.lock().unwrap().hang_until.unwrap_or(served_at);
    while Instant::now() < served_at.max(hang_until()) {
        connection.stream.set_read_timeout(Some(HANG_CHECK_INTERVAL)).unwrap();
        let is_open = match connection.stream.peek(&mut [0]) {
            Ok(count) => count > 0,
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        };
        if !is_open {
            return false;
        }
    }
    connection.stream.set_read_timeout(None).unwrap();
    true
}

fn outcome(sql: &str, role: Role, faults: &Mutex<Faults>) -> QueryOutcome {
    let is_write = WRITE_CLASSES.iter().any(|class| sql.contains(class));
    if is_write && matches!(role, Role::Reader) {
        return QueryOutcome::Reject(NOT_THE_PRIMARY);
    }
    let mut faults = faults.lock().unwrap();
    if faults.rejections_left > 0 {
        faults.rejections_left -= 1;
        return QueryOutcome::Reject(TOO_MANY_CONNECTIONS);
    }
    if faults.resets_left > 0 {
        faults.resets_left -= 1;
        return QueryOutcome::Reset;
    }
    QueryOutcome::Answer
}

/// Returns the value that follows a name in the comment of a query.
fn field(sql: &str, name: &str) -> String {
    let value = sql.split_once(name).map_or("", |(_, rest)| rest);
    value.split(',').next().unwrap().to_string()
}

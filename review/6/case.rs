//! Case 6: reads with a bound, and reads of a session, after writes whose answers were lost.
//!
//! The primary is cut off for 1 s right after it has received four writes. It runs them; their answers are
//! lost. After the cut the connections are reset, the pooler repeats the writes, and the group drops the
//! repeats: the answers carry the time of the commit, more than 1 s ago. Meanwhile one of the two replicas
//! applies the log slowly, as it does without the cut.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CUT: Duration = Duration::from_millis(1000);
/// One replica applies the log this many times more slowly, from `slow_from` on.
const SLOWER: f64 = 4.0;
/// Sessions that write; together, they write about three times a second.
const SESSIONS: u32 = 3;
/// Clients whose write the cut meets.
const WRITERS: usize = 12;
const BOUND_MS: f64 = 300.0;
/// Every time limit is 50 ms longer on sockets.
const SLACK_MS: f64 = 50.0;
const PATIENCE: Duration = Duration::from_millis(1800);

/// The data of the group.
struct Group {
    /// Commits of each row: time and value.
    rows: Mutex<HashMap<String, Vec<(f64, String)>>>,
    /// Commits of the last seconds by their key.
    keys: Mutex<HashMap<String, (f64, String)>>,
    /// When the slow replica begins to apply the log slowly (Unix milliseconds).
    slow_from: Mutex<f64>,
    /// Start and end of the cut (Unix milliseconds).
    cut: Mutex<(f64, f64)>,
    writes_in_service: AtomicUsize,
    /// Reads that a replica has served: id, and by how much its data was older than the arrival.
    served_by_replicas: Mutex<HashMap<String, f64>>,
}

impl Group {
    /// The time up to which a replica has applied all commits. It gets no log from a primary that is cut off.
    fn replica_position(&self, now: f64, is_slow: bool) -> f64 {
        let slow_from = *self.slow_from.lock().unwrap();
        let cut = *self.cut.lock().unwrap();
        let gets_log = if now < cut.1 { (now - 10.0).min(cut.0) } else { now - 10.0 };
        if !is_slow || gets_log < slow_from {
            return gets_log;
        }
        slow_from + (gets_log - slow_from) / SLOWER
    }

    fn row_at(&self, row: &str, position: f64) -> String {
        let rows = self.rows.lock().unwrap();
        let commits = rows.get(row).map(Vec::as_slice).unwrap_or_default();
        commits
            .iter()
            .rev()
            .find(|(commit, _)| *commit <= position)
            .map(|(_, doc)| doc.clone())
            .unwrap_or("0".into())
    }

    /// Runs a write, or finds that it has run. Returns the time of its commit.
    fn commit(&self, key: &str, row: &str, doc: &str) -> (f64, bool) {
        let mut keys = self.keys.lock().unwrap();
        if let Some((commit, _)) = keys.get(key) {
            return (*commit, true);
        }
        let now = unix_ms().ceil();
        keys.insert(key.into(), (now, doc.into()));
        self.rows.lock().unwrap().entry(row.into()).or_default().push((now, doc.into()));
        (now, false)
    }
}

/// The text between `\x` and the end of the quotes.
fn doc(sql: &str) -> String {
    sql.split("\\x").nth(1).and_then(|rest| rest.split('\'').next()).unwrap_or("").to_string()
}

fn start_primary(group: &Arc<Group>, link: &Arc<Link>) -> SocketAddr {
    let (group, link_of_host) = (group.clone(), link.clone());
    let service: Service = Arc::new(move |request| {
        let id = field(&request.sql, "id").unwrap_or("?").to_string();
        let row = row_key(&request.sql).unwrap_or("").to_string();
        if field(&request.sql, "c") != Some("report-writes") {
            sleep_ms(30);
            let now = unix_ms();
            return Some(served(group.row_at(&row, now).as_bytes(), "writer", now as i64));
        }
        group.writes_in_service.fetch_add(1, Ordering::SeqCst);
        sleep_ms(40);
        let key = field(&request.sql, "k").unwrap_or("").to_string();
        let (commit, is_repeat) = group.commit(&key, &row, &doc(&request.sql));
        group.writes_in_service.fetch_sub(1, Ordering::SeqCst);
        let lost = if link_of_host.is_cut() { ", the answer is lost" } else { "" };
        let ran = if is_repeat { "repeat dropped" } else { "run" };
        log("primary", &format!("write {id} k={key} {ran}, commit {:.0} ms ago{lost}", unix_ms() - commit));
        Some(served(doc(&request.sql).as_bytes(), "writer", commit as i64))
    });
    start_host("primary", link.clone(), service)
}

fn start_replica(name: &'static str, group: &Arc<Group>, is_slow: bool) -> SocketAddr {
    let group = group.clone();
    let service: Service = Arc::new(move |request| {
        let position = group.replica_position(unix_ms(), is_slow).floor();
        let class = field(&request.sql, "c").unwrap_or("?").to_string();
        if class == "report-writes" {
            return Some(error("25006", "reader", position as i64));
        }
        sleep_ms(30);
        // The data of the answer, at the end of the work. Positions never regress.
        let position = group.replica_position(unix_ms(), is_slow).floor();
        let id = field(&request.sql, "id").unwrap_or("?").to_string();
        let row = row_key(&request.sql).unwrap_or("").to_string();
        let age = request.arrived_unix_ms - position;
        if class != "history-reads" {
            log(name, &format!("{class} {id}: data {age:.0} ms older than the arrival"));
        }
        group.served_by_replicas.lock().unwrap().insert(id, age);
        Some(served(group.row_at(&row, position).as_bytes(), "reader", position as i64))
    });
    start_host(name, Arc::new(Link::default()), service)
}

#[derive(Default)]
struct Findings {
    bounded_served: AtomicUsize,
    bounded_stale: AtomicUsize,
    own_served: AtomicUsize,
    own_stale: AtomicUsize,
    writes_served: AtomicUsize,
}

fn main() {
    let trouble = start_run();
    let group = Arc::new(Group {
        rows: Mutex::default(),
        keys: Mutex::default(),
        slow_from: Mutex::new(f64::INFINITY),
        cut: Mutex::new((0.0, 0.0)),
        writes_in_service: AtomicUsize::new(0),
        served_by_replicas: Mutex::default(),
    });
    let link = Arc::new(Link::default());
    let primary = start_primary(&group, &link);
    let near = start_replica("replica-1", &group, true);
    let far = start_replica("replica-2", &group, false);
    let entry = |name, address, zone, access| Entry { name, address, zone, status: "SERVING", access };
    let discovery = Discovery::new(vec![
        entry("s-1", primary, "sala-norte", "writer"),
        entry("s-2", near, "sala-norte", "reader"),
        entry("s-3", far, "sala-sur", "reader"),
    ]);
    let discovery_address = discovery.start();
    let deployment = Deployment { when_behind: "silent", ..Deployment::default() };
    let pooler = start_pooler(&deployment, discovery_address, &discovery.known());

    let findings = Arc::new(Findings::default());
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..3 {
        let (group, findings, stop) = (group.clone(), findings.clone(), stop.clone());
        clients.push(thread::spawn(move || bounded_reads(pooler, number, &group, &findings, &stop)));
    }
    for _ in 0..2 {
        let stop = stop.clone();
        clients.push(thread::spawn(move || history_reads(pooler, &stop)));
    }
    for number in 0..SESSIONS {
        let (findings, stop) = (findings.clone(), stop.clone());
        clients.push(thread::spawn(move || session(pooler, number, &findings, &stop)));
    }

    sleep_ms(3000);
    *group.slow_from.lock().unwrap() = unix_ms() + 500.0;
    log("replica-1", "applies the log 4 times more slowly from 0.5 s on");
    let writers: Vec<_> =
        (0..WRITERS).map(|number| thread::spawn(move || single_write(pooler, number))).collect();
    if trouble {
        let until = Instant::now() + Duration::from_secs(2);
        while group.writes_in_service.load(Ordering::SeqCst) < WRITERS && Instant::now() < until {
            sleep_ms(1);
        }
        log("network", "the primary is cut off");
        *group.cut.lock().unwrap() = (unix_ms(), unix_ms() + CUT.as_secs_f64() * 1000.0);
        link.cut();
        thread::sleep(CUT);
        link.restore();
        log("network", "the primary is back, its connections are reset");
    }
    sleep_ms(if trouble { 3500 } else { 6000 });
    stop.store(true, Ordering::SeqCst);
    for thread in clients.into_iter().chain(writers) {
        let _ = thread.join();
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let (bounded, bounded_stale) = (count(&findings.bounded_served), count(&findings.bounded_stale));
    let (own, own_stale) = (count(&findings.own_served), count(&findings.own_stale));
    log("test", &format!("recent-reads served: {bounded}, from data that is too old: {bounded_stale}"));
    log("test", &format!("own-reads served: {own}, without the session's own write: {own_stale}"));
    log("test", &format!("session writes served: {}", count(&findings.writes_served)));
    if bounded < 50 || own < 10 {
        log("test", "too few reads were served for a verdict");
        finish(COULD_NOT_RUN);
    }
    finish(if bounded_stale + own_stale > 0 { BROKEN } else { HELD })
}

fn connect(pooler: Pooler) -> Client {
    loop {
        match Client::connect(pooler.address) {
            Ok(client) => return client,
            Err(_) => sleep_ms(20),
        }
    }
}

fn bounded_reads(pooler: Pooler, number: u32, group: &Group, findings: &Findings, stop: &AtomicBool) {
    let mut client = connect(pooler);
    while !stop.load(Ordering::SeqCst) {
        let id = new_id();
        let answer =
            client.ask(&read_statement(&id, "recent-reads", 1200, &format!("row-{number}")), PATIENCE);
        match answer {
            Answer::Value(_) => {
                findings.bounded_served.fetch_add(1, Ordering::SeqCst);
                let age = group.served_by_replicas.lock().unwrap().get(&id).copied();
                if let Some(age) = age.filter(|age| *age > BOUND_MS + SLACK_MS) {
                    findings.bounded_stale.fetch_add(1, Ordering::SeqCst);
                    log(
                        "client",
                        &format!("recent-reads {id}: served from data {age:.0} ms old, allowed 300"),
                    );
                }
            }
            Answer::Ended | Answer::Nothing => client = connect(pooler),
            _ => {}
        }
        sleep_ms(40);
    }
}

fn history_reads(pooler: Pooler, stop: &AtomicBool) {
    let mut client = connect(pooler);
    while !stop.load(Ordering::SeqCst) {
        let answer = client.ask(&read_statement(&new_id(), "history-reads", 1500, "row-h"), PATIENCE);
        if matches!(answer, Answer::Ended | Answer::Nothing) {
            client = connect(pooler);
        }
        sleep_ms(30);
    }
}

/// Writes a row of its own and reads it 150 ms after the write was answered (what an answer tells is known
/// 100 ms after it was written).
fn session(pooler: Pooler, number: u32, findings: &Findings, stop: &AtomicBool) {
    let mut client = connect(pooler);
    let row = format!("session-{number}");
    let (mut version, mut acknowledged) = (0_u64, 0_u64);
    while !stop.load(Ordering::SeqCst) {
        version += 1;
        let (id, key) = (new_id(), new_id());
        let sql = write_statement(&id, 5000, &key, &row, &format!("{version:08x}"));
        match client.ask(&sql, Duration::from_millis(5600)) {
            Answer::Value(_) => {
                acknowledged = version;
                findings.writes_served.fetch_add(1, Ordering::SeqCst);
            }
            Answer::Ended | Answer::Nothing => client = connect(pooler),
            _ => {}
        }
        sleep_ms(150);
        let id = new_id();
        match client.ask(&read_statement(&id, "own-reads", 1200, &row), PATIENCE) {
            Answer::Value(value) => {
                findings.own_served.fetch_add(1, Ordering::SeqCst);
                let text = String::from_utf8_lossy(&value).into_owned();
                let read = u64::from_str_radix(&text, 16).unwrap_or(0);
                if read < acknowledged {
                    findings.own_stale.fetch_add(1, Ordering::SeqCst);
                    log(
                        "client",
                        &format!("own-reads {id}: version {read}, although {acknowledged} was acknowledged"),
                    );
                }
            }
            Answer::Ended | Answer::Nothing => client = connect(pooler),
            _ => {}
        }
        sleep_ms(800);
    }
}

fn single_write(pooler: Pooler, number: usize) {
    let mut client = connect(pooler);
    let (id, key) = (new_id(), new_id());
    let sql = write_statement(&id, 5000, &key, &format!("single-{number}"), "ff");
    log("client", &format!("write {id} k={key} sent"));
    let answer = client.ask(&sql, Duration::from_millis(5600));
    log("client", &format!("write {id} k={key} answered: {answer:?}"));
}

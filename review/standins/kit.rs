//! Stand-ins for clients, database hosts, discovery and the network, and the control of one pooler process.
//! Standard library only; all addresses are on loopback.

use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit status of a case: the rule held, was broken, or the case could not run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// A case must end within 120 s.
const WATCHDOG: Duration = Duration::from_secs(110);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Returns `false` if the case runs without its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- The record of the case -------------------------------------------------------------------------------

struct Recorder {
    file: Mutex<File>,
    started_at: Instant,
}

static RECORDER: OnceLock<Recorder> = OnceLock::new();

pub fn open_record(folder: &Path) {
    let file = Mutex::new(File::create(folder.join("record.txt")).expect("record.txt"));
    let _ = RECORDER.set(Recorder { file, started_at: Instant::now() });
}

/// Seconds since the start of the case.
pub fn clock() -> f64 {
    RECORDER.get().map_or(0.0, |recorder| recorder.started_at.elapsed().as_secs_f64())
}

pub fn record_line(line: &str) {
    if let Some(recorder) = RECORDER.get() {
        let text = format!("{:9.4} {line}\n", recorder.started_at.elapsed().as_secs_f64());
        let _ = recorder.file.lock().unwrap().write_all(text.as_bytes());
    }
}

#[macro_export]
macro_rules! rec {
    ($($arg:tt)*) => { $crate::kit::record_line(&format!($($arg)*)) };
}

// ---- The pooler process -----------------------------------------------------------------------------------

static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg: u64, b: u64, c: u64, d: u64) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;
pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

/// Kills every pooler that still runs, and ends the case.
pub fn finish(status: i32) -> ! {
    for pid in RUNNING.lock().unwrap().iter() {
        unsafe { kill(*pid, SIGKILL) };
    }
    rec!("exit status {status}");
    std::process::exit(status);
}

/// Ends the case as not run if it takes too long or a thread of the case fails.
pub fn start_watchdog() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        rec!("the case failed to run: {info}");
        finish(NOT_RUN);
    }));
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        rec!("the case took too long");
        finish(NOT_RUN);
    });
}

pub struct Pooler {
    child: Child,
    folder: PathBuf,
    pub address: SocketAddr,
}

impl Pooler {
    /// Starts the command `run` of the deploy file with this endpoint list, these settings and these limits.
    pub fn start(known: &str, settings: &str, discovery: SocketAddr, sockets: u32) -> Pooler {
        let run = std::env::var("RUN").expect("RUN is the command of the deploy file");
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let folder =
            std::env::temp_dir().join(format!("pooler-case-{}-{}", std::process::id(), address.port()));
        std::fs::create_dir_all(&folder).unwrap();
        let pooler_folder = folder.clone();
        write_config(&folder, address, known, settings, discovery, sockets);
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run);
        command.env("LB_CONFIG", folder.join("config.json")).env("LB_NAME", "n0");
        command.env("LB_LISTEN", address.to_string()).env("LB_DISCOVERY", discovery.to_string());
        command.env("TMPDIR", &folder).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(File::create(folder.join("log")).unwrap());
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().expect("the pooler did not start");
        RUNNING.lock().unwrap().push(child.id() as i32);
        rec!("pooler started, listens on {address}, discovery {discovery}, sockets {sockets}");
        let pooler = Pooler { child, folder: pooler_folder, address };
        pooler.wait_until_ready();
        pooler
    }

    /// The platform's front admits a pooler once it has answered an empty query.
    fn wait_until_ready(&self) {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            if let Ok(mut client) = Client::connect(self.address) {
                client.send(&query_message(""));
                if matches!(client.receive_answer(ms(500)), Answer::Empty) {
                    rec!("pooler is ready");
                    return;
                }
            }
            thread::sleep(ms(50));
        }
        panic!("the pooler is not ready after 30 s");
    }

    pub fn signal(&self, signal: i32) {
        rec!("signal {signal} to the pooler");
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns `true` if the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Copies the pooler's log lines that contain one of the texts to the record.
    pub fn record_log(&self, texts: &[&str], max_lines: usize) {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let lines = log.lines().filter(|line| texts.iter().any(|text| line.contains(text)));
        for line in lines.take(max_lines) {
            rec!("pooler log: {line}");
        }
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id() as i32);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn write_config(
    folder: &Path,
    listen: SocketAddr,
    known: &str,
    settings: &str,
    discovery: SocketAddr,
    sockets: u32,
) {
    let seed = unix_ms() ^ u64::from(std::process::id()) << 32;
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    );
    std::fs::write(folder.join("config.json"), text).unwrap();
}

// ---- PostgreSQL messages ----------------------------------------------------------------------------------

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn query_message(sql: &str) -> Vec<u8> {
    message(b'Q', format!("{sql}\0").as_bytes())
}

pub fn startup_message() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0shop\0\0";
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend(body);
    out
}

pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// The answer of a database host to a query: one row of one column, then its role and position.
pub fn result(value: &[u8], role: &str, position_ms: u64) -> Vec<u8> {
    let mut description = b"\0\x01doc\0".to_vec();
    description.extend([0; 6]);
    description.extend([0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]);
    let mut row = b"\0\x01".to_vec();
    row.extend((value.len() as u32).to_be_bytes());
    row.extend(value);
    let mut out = message(b'T', &description);
    out.extend(message(b'D', &row));
    out.extend(message(b'C', b"SELECT 1\0"));
    out.extend(parameter_status("server_role", role));
    out.extend(parameter_status("commit_clock", &position_ms.to_string()));
    out.extend(message(b'Z', b"I"));
    out
}

pub fn error(code: &str) -> Vec<u8> {
    let body = format!("SERROR\0VERROR\0C{code}\0Mturned away\0\0");
    let mut out = message(b'E', body.as_bytes());
    out.extend(message(b'Z', b"I"));
    out
}

/// Returns the value of a name in the comment of a statement.
pub fn field<'a>(sql: &'a str, name: &str) -> &'a str {
    let comment = sql.trim_start_matches("/*").split("*/").next().unwrap_or("");
    let pairs = comment.split(',').filter_map(|pair| pair.trim().split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or("")
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header).ok()?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let mut body = vec![0; length.checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some((header[0], body))
}

// ---- Database hosts ---------------------------------------------------------------------------------------

/// Starts a database host on a free port. `serve` gets each statement with its connection and answers it.
pub fn start_host(serve: impl Fn(&str, &mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve_connection(stream, &*serve));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, serve: &dyn Fn(&str, &mut TcpStream)) {
    let _ = stream.set_nodelay(true);
    let mut length = [0; 4];
    if stream.read_exact(&mut length).is_err() {
        return;
    }
    let mut startup = vec![0; u32::from_be_bytes(length) as usize - 4];
    if stream.read_exact(&mut startup).is_err() {
        return;
    }
    let mut welcome = message(b'R', &[0; 4]);
    welcome.extend(message(b'Z', b"I"));
    if stream.write_all(&welcome).is_err() {
        return;
    }
    while let Some((kind, body)) = read_message(&mut stream) {
        if kind != b'Q' {
            return;
        }
        let sql = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
        serve(&sql, &mut stream);
    }
}

// ---- The network ------------------------------------------------------------------------------------------

/// Starts a relay to `target`. `delay` gives, for each connection in the order of their opening, how long the
/// bytes take in each direction, and how long the connection takes to come up besides.
pub fn start_relay(
    target: SocketAddr,
    delay: impl Fn(usize) -> (Duration, Duration) + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, client) in listener.incoming().flatten().enumerate() {
            let (one_way, late) = delay(number);
            thread::spawn(move || {
                thread::sleep(late);
                let Ok(host) = TcpStream::connect(target) else { return };
                let (_, _) = (client.set_nodelay(true), host.set_nodelay(true));
                relay(client.try_clone().unwrap(), host.try_clone().unwrap(), one_way);
                relay(host, client, one_way);
            });
        }
    });
    address
}

fn relay(mut from: TcpStream, mut to: TcpStream, one_way: Duration) {
    let (sender, receiver): (Sender<(Instant, Vec<u8>)>, Receiver<(Instant, Vec<u8>)>) = channel();
    thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            if sender.send((Instant::now() + one_way, buffer[..count].to_vec())).is_err() || count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due_at, bytes) in receiver {
            thread::sleep(due_at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}

// ---- Discovery --------------------------------------------------------------------------------------------

/// One entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub group: u32,
    pub status: &'static str,
    pub access: &'static str,
}

impl Entry {
    pub fn json(&self) -> String {
        let Entry { name, address, zone, group, status, access } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"std5","group":{group},"status":"{status}","weight":1.0,"since_ms":0,"access":"{access}"}}"#
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// The agent of discovery on the pooler's machine.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
}

struct DiscoveryState {
    index: u64,
    entries: Vec<Entry>,
    /// Changes since the start, with their versions.
    changes: Vec<(u64, Entry)>,
    /// How long a call waits for its answer.
    answer_after: Duration,
    /// The open watches.
    watches: Vec<TcpStream>,
}

impl Discovery {
    pub fn start(entries: &[Entry], answer_after: Duration) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = DiscoveryState {
            index: 1,
            entries: entries.to_vec(),
            changes: Vec::new(),
            answer_after,
            watches: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || serve_watch(stream, &shared));
            }
        });
        Discovery { address, state }
    }

    pub fn set_answer_after(&self, delay: Duration) {
        self.state.lock().unwrap().answer_after = delay;
    }

    /// Changes the entry of this name, and tells it on all open watches.
    pub fn change(&self, entry: Entry) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        rec!("discovery: version {index}: {}", entry.json());
        state.entries.retain(|known| known.name != entry.name);
        state.entries.push(entry.clone());
        let line = chunk(&format!("{}\n", list_json(index, false, &[entry.clone()])));
        state.changes.push((index, entry));
        state.watches.retain_mut(|watch| watch.write_all(&line).is_ok());
        rec!("discovery: told on {} open watches", state.watches.len());
    }

    /// Resets all open watches.
    pub fn reset_watches(&self) {
        let mut state = self.state.lock().unwrap();
        rec!("discovery: {} open watches are ended", state.watches.len());
        for watch in state.watches.drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn serve_watch(mut stream: TcpStream, state: &Mutex<DiscoveryState>) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_exact(&mut byte).is_err() {
            return;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_string();
    let line = head.lines().next().unwrap_or("").to_string();
    rec!("discovery: called: {line}");
    let delay = state.lock().unwrap().answer_after;
    let called_at = Instant::now();
    stream.set_read_timeout(Some(ms(20))).unwrap();
    while called_at.elapsed() < delay {
        match stream.read(&mut byte) {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => {
                rec!("discovery: caller hung up after {:.3} s", called_at.elapsed().as_secs_f64());
                return;
            }
        }
    }
    let since = line.split("since=").nth(1).and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
    let mut state = state.lock().unwrap();
    let first = match since {
        Some(since) if since >= 1 && since <= state.index => {
            let changed: Vec<Entry> =
                state.changes.iter().filter(|(index, _)| *index > since).map(|(_, e)| e.clone()).collect();
            list_json(state.index, false, &changed)
        }
        _ => list_json(state.index, true, &state.entries),
    };
    let mut answer =
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    answer.extend(chunk(&format!("{first}\n")));
    if stream.write_all(&answer).is_err() {
        return;
    }
    rec!("discovery: answered with version {}", state.index);
    let heartbeat = stream.try_clone().unwrap();
    state.watches.push(stream);
    drop(state);
    send_heartbeats(heartbeat);
}

/// As long as nothing changes, an empty line arrives every 2 s.
fn send_heartbeats(mut watch: TcpStream) {
    loop {
        thread::sleep(Duration::from_secs(2));
        if watch.write_all(&chunk("\n")).is_err() {
            return;
        }
    }
}

// ---- Clients ----------------------------------------------------------------------------------------------

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Value(Vec<u8>),
    /// SQLSTATE of an error.
    Error(String),
    Empty,
    /// The pooler closed the connection.
    Closed,
    /// No answer within the time.
    Nothing,
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::Value(value) => {
                format!("value '{}'", String::from_utf8_lossy(&value[..value.len().min(60)]))
            }
            other => format!("{other:?}"),
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and sends the startup message.
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.write_all(&startup_message())?;
        Ok(Client { stream })
    }

    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Waits for the next answer to a query, for at most `limit`.
    pub fn receive_answer(&mut self, limit: Duration) -> Answer {
        let until = Instant::now() + limit;
        let mut value = None;
        let mut answer = None;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::Nothing;
            }
            self.stream.set_read_timeout(Some(left)).unwrap();
            let mut kind = [0];
            match self.stream.read(&mut kind) {
                Ok(0) => return answer.unwrap_or(Answer::Closed),
                Ok(_) => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Answer::Nothing;
                }
                Err(_) => return answer.unwrap_or(Answer::Closed),
            }
            self.stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            let mut length = [0; 4];
            if self.stream.read_exact(&mut length).is_err() {
                return Answer::Closed;
            }
            let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
            if self.stream.read_exact(&mut body).is_err() {
                return Answer::Closed;
            }
            match kind[0] {
                b'D' => value = Some(body[6..].to_vec()),
                b'C' => answer = value.take().map(Answer::Value),
                b'I' => answer = Some(Answer::Empty),
                b'E' => {
                    let text = String::from_utf8_lossy(&body).to_string();
                    let code = text.split('\0').find_map(|part| part.strip_prefix('C')).unwrap_or("");
                    answer = Some(Answer::Error(code.to_string()));
                }
                // The ReadyForQuery of the startup comes before any answer.
                b'Z' if answer.is_some() => return answer.unwrap(),
                _ => {}
            }
        }
    }
}

// ---- Settings ---------------------------------------------------------------------------------------------

/// The settings of a small deployment of the site, with its classes, times and limits.
pub struct SiteSettings {
    pub when_behind: &'static str,
    pub fleet_size: u32,
}

impl SiteSettings {
    pub fn json(&self) -> String {
        let SiteSettings { when_behind, fleet_size } = self;
        format!(
            r#"{{"classes":[
{{"name":"recent-reads","aim":0.5,"deadline":1.2,"effect":"read_like","group":"all","dedupWindow":5.0,"lateWorth":0.2,"value":2.0,"streamed":false}},
{{"name":"history-reads","aim":0.6,"deadline":1.5,"effect":"read_like","group":"all","dedupWindow":5.0,"lateWorth":0.0,"value":2.0,"streamed":false}},
{{"name":"long-reports","aim":4.0,"deadline":8.0,"effect":"read_like","group":"all","dedupWindow":5.0,"lateWorth":0.0,"value":6.0,"streamed":false}},
{{"name":"report-writes","aim":0.5,"deadline":5.0,"effect":"idempotency_key","group":"cell","dedupWindow":5.0,"lateWorth":0.5,"value":4.0,"streamed":false}}],
"clients":{{"marksRetry":false}},"customers":[],"domainType":"replicas","fleetSize":{fleet_size},
"flavors":["std5"],"invariants":{{"answerSlack":0.02,"askWithin":10.0,"coldFrom":0.24,"drainGrace":2.0,"fall":1.0,"tipMultiple":4.0,"warmUp":16.0}},
"limits":{{"cancel":true,"connectTimeout":0.25,"keepalive":30.0,"maxAttempts":8,"maxOpen":20000,"maxRetryAfter":0.5,"maxStreams":1,"mayDuplicate":false,"mayTell":true,"probes":false,"retryAfter":true}},
"loadInfo":{{"fields":[],"how":"silent"}},"myNumber":0,"overShareWorth":0.1,"registryMode":"automatic",
"specifics":{{"consistency":["bounded","any","any","write"],"listRole":"late","stalenessBound":[0.3,0.0,0.0,0.0],"synchronous":false,"tellsPosition":true,"wait":0.0,"whenBehind":"{when_behind}","writeMarks":"remembered"}},
"tick":0.005,"tier":0,"tiers":["db-fleet"],"weights":"nominal","worthBy":"request","zone":0,"zones":["sala-norte","sala-sur"]}}"#
        )
    }
}

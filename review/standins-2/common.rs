//! Shared parts of the stand-ins of the second review: record, pooler process, wire format, database hosts,
//! discovery service and clients. Standard library only; compiled into each case by `review/build-2.sh`.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;
/// The run ends with [`COULD_NOT_RUN`] if it takes longer than this.
const LONGEST_RUN: Duration = Duration::from_secs(110);

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn prctl(option: i32, argument: u64, a3: u64, a4: u64, a5: u64) -> i32;
}

// ---------------------------------------------------------------------------------------------- the run

struct Run {
    start: Instant,
    record: Mutex<File>,
    folder: PathBuf,
    pooler: Mutex<Option<Child>>,
}

static RUN: OnceLock<Run> = OnceLock::new();

fn run() -> &'static Run {
    RUN.get().expect("start_run comes first")
}

/// Opens the record and starts the watchdog. The first argument of the program is the folder of the case.
/// Returns `false` if the disruption is to be left out.
pub fn start_run() -> bool {
    let case = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = File::create(PathBuf::from(&case).join("record.txt")).expect("record.txt");
    let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms() as u64));
    fs::create_dir_all(folder.join("tmp")).expect("temporary folder");
    let run = Run { start: Instant::now(), record: Mutex::new(record), folder, pooler: Mutex::new(None) };
    let _ = RUN.set(run);
    std::panic::set_hook(Box::new(|info| {
        log("test", &format!("could not run: {info}"));
        finish(COULD_NOT_RUN);
    }));
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        log("test", "could not run: it takes too long");
        finish(COULD_NOT_RUN);
    });
    let trouble = std::env::var("TROUBLE").map(|value| value != "0").unwrap_or(true);
    log("test", if trouble { "with the disruption" } else { "without the disruption" });
    trouble
}

/// Seconds since the start of the run.
pub fn elapsed() -> f64 {
    run().start.elapsed().as_secs_f64()
}

/// Seconds from the start of the run to `instant`.
pub fn at(instant: Instant) -> f64 {
    instant.saturating_duration_since(run().start).as_secs_f64()
}

/// Adds a line to the record: the time in seconds, who, what.
pub fn log(who: &str, text: &str) {
    let line = format!("{:9.4} {who:<10} {text}\n", elapsed());
    if let Ok(mut record) = run().record.lock() {
        let _ = record.write_all(line.as_bytes());
    }
}

/// Ends the run and everything that it started.
pub fn finish(code: i32) -> ! {
    let verdict = match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    };
    log("test", verdict);
    println!("{verdict}");
    if let Ok(mut pooler) = run().pooler.lock() {
        if let Some(child) = pooler.as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    // For whoever wants to read the log of the pooler: KEEP_LOG names the file that it is copied to.
    if let Ok(copy) = std::env::var("KEEP_LOG") {
        let _ = fs::copy(run().folder.join("pooler.log"), copy);
    }
    let _ = fs::remove_dir_all(&run().folder);
    std::process::exit(code)
}

/// Unix time in milliseconds, as all machines read it.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Listens on a free loopback port.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Lets the next close of the socket reset the connection.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1_i32, 0];
    // SAFETY: the pointer is valid for the length of the two integers of `struct linger`.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

// ------------------------------------------------------------------------------------------- the pooler

/// What differs between the cases in the configuration of the pooler.
pub struct Deployment {
    /// `refuse` or `silent`.
    pub when_behind: &'static str,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment { when_behind: "refuse", memory_mb: 192, sockets: 1024 }
    }
}

impl Deployment {
    /// One pooler of a small deployment. Classes: recent-reads (bounded, 300 ms), history-reads (any),
    /// long-reports (any, 8 s), report-writes (keyed, 5 s), own-reads (session).
    fn config(&self, listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
        let (memory, sockets, when_behind) = (self.memory_mb, self.sockets, self.when_behind);
        let read = |name: &str, aim: f64, deadline: f64, value: f64, late: f64| {
            format!(
                r#"{{"name":"{name}","aim":{aim},"deadline":{deadline},"dedupWindow":5.0,"effect":"read_like","group":"all","lateWorth":{late},"streamed":false,"value":{value}}}"#
            )
        };
        let classes = [
            read("recent-reads", 0.5, 1.2, 2.0, 0.2),
            read("history-reads", 0.6, 1.5, 2.0, 0.0),
            read("long-reports", 4.0, 8.0, 6.0, 0.0),
            r#"{"name":"report-writes","aim":0.5,"deadline":5.0,"dedupWindow":5.0,"effect":"idempotency_key","group":"cell","lateWorth":0.5,"streamed":false,"value":4.0}"#.to_string(),
            read("own-reads", 0.5, 1.2, 2.0, 0.2),
        ];
        let classes = classes.join(",");
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
"peer_listen":"127.0.0.1:9","peers":[],"peers_all":"127.0.0.1:9",
"known":{known},
"settings":{{"classes":[{classes}],"clients":{{"marksRetry":false}},"customers":[],"domainType":"replicas",
"fleetSize":3,"flavors":["std5"],"loadInfo":{{"fields":[],"how":"silent"}},"myNumber":0,"overShareWorth":0.1,
"registryMode":"automatic","tick":0.005,"zone":0,"zones":["sala-norte","sala-sur"],"weights":"nominal","worthBy":"request",
"invariants":{{"answerSlack":0.02,"askWithin":10.0,"coldFrom":0.24,"drainGrace":2.0,"fall":1.0,"tipMultiple":4.0,"warmUp":16.0}},
"limits":{{"cancel":true,"connectTimeout":0.25,"cpuUsPerRequest":0.0,"cpuUsPerS":80000,"keepalive":30.0,"maxAttempts":8,"maxOpen":20000,"maxRetryAfter":0.5,"maxStreams":1,"mayDuplicate":false,"mayTell":true,"probes":false,"retryAfter":true}},
"specifics":{{"consistency":["bounded","any","any","write","session"],"listRole":"late","stalenessBound":[0.3,0,0,0,0],"synchronous":false,"tellsPosition":true,"wait":0.0,"whenBehind":"{when_behind}","writeMarks":"remembered"}}}}}}
"#
        )
    }
}

/// The running pooler.
#[derive(Clone, Copy)]
pub struct Pooler {
    pub address: SocketAddr,
    pid: i32,
}

/// An address for the pooler. Its port is below those that the system gives to other sockets, so that nobody
/// takes it until the pooler listens.
fn free_address() -> SocketAddr {
    let first = std::process::id() as u64 * 131 + unix_ms() as u64;
    let ports = (0..5000).map(|step| 12_000 + ((first + step * 7) % 15_000) as u16);
    let mut addresses = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    addresses.find(|address| TcpListener::bind(address).is_ok()).expect("a free port")
}

/// Starts the pooler with the command of the deploy file, and waits until it answers an empty query.
pub fn start_pooler(deployment: &Deployment, discovery: SocketAddr, known: &str) -> Pooler {
    let address = free_address();
    let config = run().folder.join("config.json");
    fs::write(&config, deployment.config(address, discovery, known)).expect("configuration");
    let deploy = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let command =
        deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("run in the deploy file");
    let log_file = File::create(run().folder.join("pooler.log")).expect("log");
    let mut child = Command::new("/bin/sh");
    child
        .args(["-c", command.trim().trim_matches('"')])
        .env("LB_NAME", "n0")
        .env("LB_LISTEN", address.to_string())
        .env("LB_DISCOVERY", discovery.to_string())
        .env("LB_CONFIG", &config)
        .env("TMPDIR", run().folder.join("tmp"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log_file);
    // SAFETY: prctl is safe to call between fork and exec. The pooler ends with this process.
    unsafe {
        child.pre_exec(|| {
            const PR_SET_PDEATHSIG: i32 = 1;
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        })
    };
    let child = child.spawn().expect("the pooler starts");
    let pid = child.id() as i32;
    *run().pooler.lock().expect("pooler") = Some(child);
    for _ in 0..300 {
        if let Ok(mut client) = Client::connect(address) {
            if client.send_query("").is_ok()
                && matches!(client.receive(Duration::from_secs(5)), Answer::Empty)
            {
                let ended = run().pooler.lock().expect("pooler").as_mut().map(|child| child.try_wait());
                assert!(matches!(ended, Some(Ok(None))), "the pooler has ended");
                log("pooler", &format!("ready on {address}"));
                return Pooler { address, pid };
            }
        }
        sleep_ms(30);
    }
    panic!("the pooler does not become ready");
}

impl Pooler {
    pub fn signal(&self, signal: i32) {
        log("test", &format!("signal {signal} to the pooler"));
        // SAFETY: the process was started by this one and is not waited for before the end.
        unsafe { kill(self.pid, signal) };
    }
}

// ---------------------------------------------------------------------------------------------- the wire

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

fn ready_for_query() -> Vec<u8> {
    message(b'Z', b"I")
}

fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// The complete answer of a database host that has served a request.
pub fn served(value: &[u8], role: &str, position: i64) -> Vec<u8> {
    let mut description = b"\0\x01doc\0".to_vec();
    description.extend([0; 6]);
    description.extend([0, 0, 0, 0x11]);
    description.extend([0xff; 6]);
    description.extend([0, 1]);
    let mut row = b"\0\x01".to_vec();
    row.extend((value.len() as u32).to_be_bytes());
    row.extend(value);
    [
        message(b'T', &description),
        message(b'D', &row),
        message(b'C', b"SELECT 1\0"),
        parameter("commit_clock", &position.to_string()),
        parameter("server_role", role),
        ready_for_query(),
    ]
    .concat()
}

/// The complete answer of a database host that turns a request away or fails.
pub fn error(code: &str, role: &str, position: i64) -> Vec<u8> {
    let fields = format!("SERROR\0VERROR\0C{code}\0Mnot served\0\0");
    [
        message(b'E', fields.as_bytes()),
        parameter("commit_clock", &position.to_string()),
        parameter("server_role", role),
        ready_for_query(),
    ]
    .concat()
}

pub fn query_message(sql: &str) -> Vec<u8> {
    message(b'Q', &[sql.as_bytes(), b"\0"].concat())
}

pub fn startup_message() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0shop\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// The value of `name` in the comment of a statement.
pub fn field<'a>(sql: &'a str, name: &str) -> Option<&'a str> {
    let comment = sql.split_once("/*")?.1.split_once("*/")?.0;
    let mut pairs = comment.split(',').filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.trim())
}

/// The first quoted text of a statement: the key of the row.
pub fn row_key(sql: &str) -> Option<&str> {
    Some(sql.split_once('\'')?.1.split_once('\'')?.0)
}

pub fn read_statement(id: &str, class: &str, timeout_ms: u64, row: &str) -> String {
    format!("/* id={id},c={class},d={timeout_ms},cluster=2 */ SELECT doc FROM items WHERE id = '{row}'")
}

pub fn write_statement(id: &str, timeout_ms: u64, key: &str, row: &str, hex: &str) -> String {
    format!(
        "/* id={id},c=report-writes,d={timeout_ms},k={key},cluster=2 */ \
         INSERT INTO items (id, doc) VALUES ('{row}', '\\x{hex}') RETURNING doc"
    )
}

/// A new identifier for each request.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed) * 0x9e37_79b9 + 0x1234_5678_0000)
}

// --------------------------------------------------------------------------------------- database hosts

/// The network between the pooler and one database host.
#[derive(Default)]
pub struct Link {
    is_cut: AtomicBool,
    cuts_ended: AtomicU64,
}

impl Link {
    /// Cuts the host off: open connections stay open and silent, and new ones never come up.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    /// Ends the cut: connections from before are reset.
    pub fn restore(&self) {
        self.cuts_ended.fetch_add(1, Ordering::SeqCst);
        self.is_cut.store(false, Ordering::SeqCst);
    }

    pub fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    fn cuts_ended(&self) -> u64 {
        self.cuts_ended.load(Ordering::SeqCst)
    }
}

/// A request that a database host has received.
pub struct Request {
    pub sql: String,
    /// When its last byte was there.
    pub arrived: Instant,
    pub arrived_unix_ms: f64,
}

/// Runs a request and returns the answer. `None` closes the connection.
pub type Service = Arc<dyn Fn(&Request) -> Option<Vec<u8>> + Send + Sync>;

/// Serves the connections of one database host in the background. Returns its address.
pub fn start_host(name: &'static str, link: Arc<Link>, service: Service) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (link, service) = (link.clone(), service.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let cuts_ended = link.cuts_ended();
                let outcome = serve_connection(&stream, &link, cuts_ended, &service);
                if outcome.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset) {
                    reset_on_close(&stream);
                }
            });
        }
    });
    log(name, &format!("listens on {address}"));
    address
}

/// Reads until `buffer` holds `count` bytes. Fails with `ConnectionReset` once a cut that the connection was
/// part of has ended.
fn fill(
    stream: &mut &TcpStream,
    buffer: &mut VecDeque<u8>,
    count: usize,
    link: &Link,
    cuts_ended: u64,
) -> io::Result<()> {
    let mut chunk = [0; 16384];
    loop {
        if link.cuts_ended() != cuts_ended {
            return Err(ErrorKind::ConnectionReset.into());
        }
        if buffer.len() >= count && !link.is_cut() {
            return Ok(());
        }
        if link.is_cut() {
            sleep_ms(2);
            continue;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(read) if !link.is_cut() => buffer.extend(&chunk[..read]),
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
}

fn send(stream: &mut &TcpStream, bytes: &[u8], link: &Link, cuts_ended: u64) -> io::Result<()> {
    if link.is_cut() || link.cuts_ended() != cuts_ended {
        return Ok(());
    }
    stream.write_all(bytes)
}

fn serve_connection(
    mut stream: &TcpStream,
    link: &Link,
    cuts_ended: u64,
    service: &Service,
) -> io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_millis(5)))?;
    let stream = &mut stream;
    let mut buffer = VecDeque::new();
    fill(stream, &mut buffer, 4, link, cuts_ended)?;
    let length = peek_length(&buffer, 0);
    fill(stream, &mut buffer, length, link, cuts_ended)?;
    buffer.drain(..length);
    let accepted = [message(b'R', &[0; 4]), ready_for_query()].concat();
    send(stream, &accepted, link, cuts_ended)?;
    loop {
        fill(stream, &mut buffer, 5, link, cuts_ended)?;
        let length = peek_length(&buffer, 1);
        fill(stream, &mut buffer, 1 + length, link, cuts_ended)?;
        let request_message: Vec<u8> = buffer.drain(..1 + length).collect();
        if request_message[0] != b'Q' {
            return Ok(());
        }
        let sql = String::from_utf8_lossy(&request_message[5..length]).into_owned();
        if sql.is_empty() {
            let answer = [message(b'I', b""), ready_for_query()].concat();
            send(stream, &answer, link, cuts_ended)?;
            continue;
        }
        let request = Request { sql, arrived: Instant::now(), arrived_unix_ms: unix_ms() };
        let Some(answer) = service(&request) else { return Ok(()) };
        send(stream, &answer, link, cuts_ended)?;
    }
}

fn peek_length(buffer: &VecDeque<u8>, at: usize) -> usize {
    let bytes: Vec<u8> = buffer.iter().skip(at).take(4).copied().collect();
    u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize
}

// -------------------------------------------------------------------------------------------- discovery

#[derive(Clone)]
pub struct Entry {
    pub name: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub status: &'static str,
    pub access: &'static str,
}

impl Entry {
    fn json(&self) -> String {
        let Entry { name, address, zone, status, access } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"std5","group":2,"status":"{status}","weight":1.0,"since_ms":0,"access":"{access}"}}"#
        )
    }
}

/// A list in the form of discovery.
pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<_> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// The discovery agent of the pooler.
pub struct Discovery {
    state: Mutex<DiscoveryState>,
    /// Time from a call to its answer.
    pub answer_delay_ms: AtomicU64,
}

struct DiscoveryState {
    index: u64,
    entries: Vec<Entry>,
    /// Each change with its index.
    changes: Vec<(u64, Entry)>,
}

impl Discovery {
    pub fn new(entries: Vec<Entry>) -> Arc<Discovery> {
        let state = DiscoveryState { index: 1, entries, changes: Vec::new() };
        Arc::new(Discovery { state: Mutex::new(state), answer_delay_ms: AtomicU64::new(0) })
    }

    /// The list as a pooler has it at its start.
    pub fn known(&self) -> String {
        let state = self.state.lock().expect("state");
        list_json(state.index, true, &state.entries)
    }

    /// Changes the status of an entry.
    pub fn set_status(&self, name: &str, status: &'static str) {
        let mut state = self.state.lock().expect("state");
        state.index += 1;
        let index = state.index;
        let Some(entry) = state.entries.iter_mut().find(|entry| entry.name == name) else { return };
        entry.status = status;
        let entry = entry.clone();
        state.changes.push((index, entry));
        log("discovery", &format!("has version {index}: {name} is {status}"));
    }

    fn index(&self) -> u64 {
        self.state.lock().expect("state").index
    }

    fn changes_since(&self, since: u64) -> (u64, String) {
        let state = self.state.lock().expect("state");
        if since == 0 {
            return (state.index, list_json(state.index, true, &state.entries));
        }
        let changed: Vec<_> = state
            .changes
            .iter()
            .filter(|(index, _)| *index > since)
            .map(|(_, entry)| entry.clone())
            .collect();
        (state.index, list_json(state.index, false, &changed))
    }

    /// Serves watches in the background.
    pub fn start(self: &Arc<Discovery>) -> SocketAddr {
        let listener = listen();
        let address = listener.local_addr().expect("address");
        let discovery = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                thread::spawn(move || {
                    let _ = discovery.serve_watch(stream);
                });
            }
        });
        log("discovery", &format!("listens on {address}"));
        address
    }

    fn serve_watch(&self, mut stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte)? == 0 {
                return Ok(());
            }
            head.push(byte[0]);
        }
        let called = Instant::now();
        let request = String::from_utf8_lossy(&head).lines().next().unwrap_or_default().to_string();
        let since =
            request.split("since=").nth(1).and_then(|rest| rest.split([' ', '&']).next()?.parse().ok());
        log("discovery", &format!("called: {request}"));
        sleep_ms(self.answer_delay_ms.load(Ordering::SeqCst));
        let (mut index, first) = self.changes_since(since.unwrap_or(0));
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let answered = stream
            .write_all(head.as_bytes())
            .and_then(|()| write_line(&mut stream, &first))
            .and_then(|()| still_open(&stream));
        match answered {
            Ok(()) => log("discovery", &format!("answered after {:?}: {first}", called.elapsed())),
            Err(error) => {
                log(
                    "discovery",
                    &format!("the call had ended when it was answered after {:?}: {error}", called.elapsed()),
                );
                return Err(error);
            }
        }
        let mut last_line = Instant::now();
        loop {
            if self.index() != index {
                let (new_index, line) = self.changes_since(index);
                index = new_index;
                last_line = Instant::now();
                write_line(&mut stream, &line)?;
                log("discovery", &format!("wrote {line}"));
            } else if last_line.elapsed() > Duration::from_secs(2) {
                last_line = Instant::now();
                write_line(&mut stream, "")?;
            }
            sleep_ms(2);
        }
    }
}

fn write_line(stream: &mut TcpStream, line: &str) -> io::Result<()> {
    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    stream.write_all(chunk.as_bytes())
}

/// Fails if the other side has ended the connection.
fn still_open(stream: &TcpStream) -> io::Result<()> {
    sleep_ms(1);
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
        Ok(_) => Ok(()),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
        Err(error) => Err(error),
    }
}

// ---------------------------------------------------------------------------------------------- clients

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Value(Vec<u8>),
    /// 53300 or 57P03.
    Refused(String),
    Failed(String),
    /// The answer to an empty query.
    Empty,
    /// The connection ended without a whole answer.
    Ended,
    /// Nothing came in time.
    Nothing,
}

pub struct Client {
    pub stream: TcpStream,
    buffer: VecDeque<u8>,
}

impl Client {
    /// Connects and completes the startup.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let mut client = Client { stream, buffer: VecDeque::new() };
        client.stream.write_all(&startup_message())?;
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            match client.next_message(until) {
                Ok(Some((b'Z', _))) => return Ok(client),
                Ok(Some((b'E', _))) => return Err(ErrorKind::ConnectionRefused.into()),
                Ok(Some(_)) => {}
                Ok(None) => return Err(ErrorKind::TimedOut.into()),
                Err(error) => return Err(error),
            }
        }
    }

    pub fn send_query(&mut self, sql: &str) -> io::Result<()> {
        self.stream.write_all(&query_message(sql))
    }

    /// Receives the answer to the next query, up to ReadyForQuery.
    pub fn receive(&mut self, patience: Duration) -> Answer {
        let until = Instant::now() + patience;
        let mut value = None;
        let mut answer = None;
        loop {
            let (kind, body) = match self.next_message(until) {
                Ok(Some(message)) => message,
                Ok(None) => return Answer::Nothing,
                Err(_) => return answer.unwrap_or(Answer::Ended),
            };
            match kind {
                b'D' => value = Some(body[6.min(body.len())..].to_vec()),
                b'C' => answer = value.take().map(Answer::Value),
                b'I' => answer = Some(Answer::Empty),
                b'E' => {
                    let code = error_code(&body);
                    let is_refusal = code == "53300" || code == "57P03";
                    answer = Some(if is_refusal { Answer::Refused(code) } else { Answer::Failed(code) });
                }
                b'Z' => {
                    if let Some(answer) = answer {
                        return answer;
                    }
                }
                _ => {}
            }
        }
    }

    /// Sends a query and receives its answer.
    pub fn ask(&mut self, sql: &str, patience: Duration) -> Answer {
        if self.send_query(sql).is_err() {
            return Answer::Ended;
        }
        self.receive(patience)
    }

    fn next_message(&mut self, until: Instant) -> io::Result<Option<(u8, Vec<u8>)>> {
        loop {
            if self.buffer.len() >= 5 {
                let length = peek_length(&self.buffer, 1);
                if self.buffer.len() > length {
                    let message: Vec<u8> = self.buffer.drain(..1 + length).collect();
                    return Ok(Some((message[0], message[5..].to_vec())));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            self.stream.set_read_timeout(Some(left))?;
            let mut chunk = [0; 16384];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(read) => self.buffer.extend(&chunk[..read]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) => return Err(error),
            }
        }
    }
}

fn error_code(body: &[u8]) -> String {
    let fields = body.split(|byte| *byte == 0);
    let code = fields.filter_map(|field| field.strip_prefix(b"C")).next();
    String::from_utf8_lossy(code.unwrap_or_default()).into_owned()
}

//! A read that must be current is decided for the primary of its group, and the connection for it comes up late.
//! Meanwhile an answer of that host tells the pooler that it is a replica now. Is the read sent there all the
//! same, and answered from old data? The settings say that hosts do not check.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::rec;

/// How late one connection of each group comes up.
const LATE: Duration = Duration::from_millis(225);
/// What an answer tells counts as known this long after it was written, and on sockets 50 ms later.
const KNOWN_AFTER: Duration = Duration::from_millis(100 + 50);
/// Time from the last write at the old primary to the first request after the change.
const CHANGE: Duration = Duration::from_millis(1000);
const GROUPS: u32 = 5;
/// What the old primary has, and what the new one has committed since.
const OLD: &[u8] = b"version 1";
const NEW: &[u8] = b"version 2";

/// What happened in one group.
#[derive(Default)]
struct GroupState {
    /// Whether the second host is the primary now.
    changed: AtomicBool,
    /// When the first host wrote an answer that tells that it is a replica.
    told_at: Mutex<Option<Instant>>,
    /// When the current read arrived at the first host with its last byte.
    read_arrived_at: Mutex<Option<Instant>>,
}

fn host(group: u32, is_first: bool, state: Arc<GroupState>) -> SocketAddr {
    let name = format!("s-{}{group}", if is_first { 'a' } else { 'b' });
    start_host(move |sql, stream: &mut TcpStream| {
        let (id, class) = (field(sql, "id"), field(sql, "c"));
        let has_changed = state.changed.load(Ordering::Relaxed);
        let is_primary = is_first != has_changed;
        let role = if is_primary { "writer" } else { "reader" };
        rec!("{name} ({role}): got {id} ({class})");
        if is_first && class == "history-reads" {
            *state.read_arrived_at.lock().unwrap() = Some(Instant::now());
        }
        thread::sleep(ms(30));
        let answer = if class == "report-writes" && !is_primary {
            let mut answer = error("25006");
            let ready = answer.split_off(answer.len() - message(b'Z', b"I").len());
            answer.extend(parameter_status("server_role", role));
            rec!("{name} ({role}): turns {id} away, tells that it is a replica");
            state.told_at.lock().unwrap().get_or_insert_with(Instant::now);
            [answer, ready].concat()
        } else {
            let value = if !is_first && has_changed { NEW } else { OLD };
            rec!("{name} ({role}): answers {id} from {}", String::from_utf8_lossy(value));
            result(value, role, unix_ms())
        };
        let _ = stream.write_all(&answer);
    })
}

fn send(address: SocketAddr, group: u32, class: &str, id: &str) -> Client {
    let mut client = Client::connect(address).unwrap();
    let sql = match class {
        "report-writes" => format!("/* id={id},c={class},d=3000,k=k{id},cluster={group} */ INSERT INTO items (id, doc) VALUES ('a1', '\\x01') RETURNING doc"),
        _ => format!("/* id={id},c={class},d=1500,cluster={group} */ SELECT doc FROM items WHERE id = 'a1'"),
    };
    rec!("client sends {id} ({class}) for group {group}");
    client.send(&query_message(&sql));
    client
}

pub fn run() -> i32 {
    let mut entries = Vec::new();
    let mut states = Vec::new();
    for group in 1..=GROUPS {
        let state = Arc::new(GroupState::default());
        // Of three connections of the group, the second one to the first host comes up late.
        let first = start_relay(host(group, true, state.clone()), |number| {
            let is_late = trouble() && number % 3 == 1;
            (Duration::ZERO, if is_late { LATE } else { Duration::ZERO })
        });
        let second = host(group, false, state.clone());
        for (letter, address, access) in [('a', first, "writer"), ('b', second, "reader")] {
            let name = format!("s-{letter}{group}");
            entries.push(Entry { name, address, zone: "sala-norte", group, status: "SERVING", access });
        }
        states.push(state);
    }
    let discovery = Discovery::start(&entries, Duration::ZERO);
    let settings = SiteSettings { when_behind: "silent", fleet_size: 3 }.json();
    let settings =
        settings.replace(r#"["bounded","any","any","write"]"#, r#"["bounded","fresh","any","write"]"#);
    let pooler = Pooler::start(&list_json(1, true, &entries), &settings, discovery.address, 256);
    let (mut answered, mut broken) = (0, 0);
    for group in 1..=GROUPS {
        let state = &states[group as usize - 1];
        send(pooler.address, group, "report-writes", &format!("w{group}")).receive_answer(ms(3500));
        state.changed.store(true, Ordering::Relaxed);
        rec!("group {group}: s-b{group} takes over, and commits version 2 for a client of another pooler");
        thread::sleep(CHANGE);
        // The list is late: it still names the first host.
        let mut write = send(pooler.address, group, "report-writes", &format!("v{group}"));
        thread::sleep(ms(5));
        let mut read = send(pooler.address, group, "history-reads", &format!("f{group}"));
        let answer = read.receive_answer(ms(2000));
        rec!("client of f{group}: {}", answer.text());
        rec!("client of v{group}: {}", write.receive_answer(ms(3500)).text());
        answered += u32::from(matches!(answer, Answer::Value(_)));
        let told_at = *state.told_at.lock().unwrap();
        let arrived_at = *state.read_arrived_at.lock().unwrap();
        if let (Answer::Value(value), Some(told_at), Some(arrived_at)) = (&answer, told_at, arrived_at) {
            let known_for = arrived_at.saturating_duration_since(told_at);
            if value == OLD && known_for > KNOWN_AFTER {
                broken += 1;
                rec!("BROKEN: f{group} must be current, and was sent to s-a{group} {:.3} s after that host told that it is a replica; it was answered from version 1, 1 s after version 2", known_for.as_secs_f64());
            }
        }
        for (letter, access) in [('a', "reader"), ('b', "writer")] {
            let name = format!("s-{letter}{group}");
            let mut entry = entries.iter().find(|entry| entry.name == name).unwrap().clone();
            entry.access = access;
            discovery.change(entry);
        }
    }
    rec!("reads answered: {answered}, from old data of a host that was known to be a replica: {broken}");
    println!("answered {answered} broken {broken}");
    if broken > 0 {
        BROKEN
    } else if answered == 0 {
        NOT_RUN
    } else {
        HELD
    }
}

//! A connection to a replica comes up late. Is a bounded read that was sent on it answered from data older than
//! its class allows?

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::rec;

/// The bound of the class, and the 50 ms by which every time limit is longer on sockets.
const BOUND_MS: u64 = 300 + 50;
/// How late one connection of each group comes up.
const LATE: Duration = Duration::from_millis(225);
const GROUPS: u32 = 5;

/// What the test knows of one answer to a bounded read.
struct Serving {
    age_ms: u64,
}

type Servings = Arc<Mutex<HashMap<String, Serving>>>;

fn primary() -> SocketAddr {
    start_host(|sql, stream: &mut TcpStream| {
        thread::sleep(ms(20));
        rec!("primary: answers {} from the present", field(sql, "id"));
        let _ = stream.write_all(&result(b"from-primary", "writer", unix_ms()));
    })
}

/// A replica that applies nothing while a long report runs on it, and answers from what it has.
fn replica(name: String, servings: Servings) -> SocketAddr {
    /// The position at which the replica stands still, while reports run.
    #[derive(Default)]
    struct State {
        reports: u32,
        stands_at: u64,
    }
    let state = Mutex::new(State::default());
    let address = start_host(move |sql, stream: &mut TcpStream| {
        let (id, class) = (field(sql, "id").to_string(), field(sql, "c").to_string());
        // The query arrived with its last byte just now.
        let arrived_at = unix_ms();
        let is_report = class == "long-reports";
        let position = {
            let mut state = state.lock().unwrap();
            if state.reports == 0 {
                state.stands_at = arrived_at;
            }
            state.reports += u32::from(is_report);
            state.stands_at
        };
        let age_ms = arrived_at - position;
        rec!("{name}: got {id} ({class}), its data is {age_ms} ms old");
        thread::sleep(if is_report { ms(1000) } else { ms(5) });
        if is_report {
            state.lock().unwrap().reports -= 1;
        }
        if class == "recent-reads" {
            servings.lock().unwrap().insert(id, Serving { age_ms });
        }
        let _ = stream.write_all(&result(b"from-replica", "reader", position));
    });
    // The first connection to the replica comes up at once, the second one late.
    start_relay(address, |number| {
        let is_late = trouble() && number % 3 == 1;
        (Duration::ZERO, if is_late { LATE } else { Duration::ZERO })
    })
}

fn ask(address: SocketAddr, group: u32, class: &str, id: &str, millis: u64) -> Answer {
    let mut client = Client::connect(address).unwrap();
    let sql = match class {
        "report-writes" => format!("/* id={id},c={class},d={millis},k=k{id},cluster={group} */ INSERT INTO items (id, doc) VALUES ('a1', '\\x01') RETURNING doc"),
        _ => format!("/* id={id},c={class},d={millis},cluster={group} */ SELECT doc FROM items WHERE id = 'a1'"),
    };
    rec!("client sends {id} ({class}) for group {group}");
    client.send(&query_message(&sql));
    let answer = client.receive_answer(ms(millis + 500));
    rec!("client of {id}: {}", answer.text());
    answer
}

pub fn run() -> i32 {
    let servings: Servings = Arc::default();
    let mut entries = Vec::new();
    for group in 1..=GROUPS {
        let entry = |name: String, address, access| Entry {
            name,
            address,
            zone: "sala-norte",
            group,
            status: "SERVING",
            access,
        };
        entries.push(entry(format!("s-p{group}"), primary(), "writer"));
        let name = format!("s-r{group}");
        entries.push(entry(name.clone(), replica(name, servings.clone()), "reader"));
    }
    let discovery = Discovery::start(&entries, Duration::ZERO);
    let settings = SiteSettings { when_behind: "silent", fleet_size: 3 }.json();
    let pooler = Pooler::start(&list_json(1, true, &entries), &settings, discovery.address, 256);
    let address = pooler.address;
    let (mut from_replica, mut stale) = (0, 0);
    for group in 1..=GROUPS {
        // The pooler learns the clock from the primary and the position of the replica from a read.
        ask(address, group, "report-writes", &format!("w{group}"), 3000);
        ask(address, group, "history-reads", &format!("h{group}"), 1500);
        let learnt_at = Instant::now();
        let report = thread::spawn(move || ask(address, group, "long-reports", &format!("l{group}"), 8000));
        thread::sleep(ms(200).saturating_sub(learnt_at.elapsed()));
        let id = format!("b{group}");
        let answer = ask(address, group, "recent-reads", &id, 1200);
        let servings = servings.lock().unwrap();
        if let (Answer::Value(value), Some(serving)) = (&answer, servings.get(&id)) {
            if value == b"from-replica" {
                from_replica += 1;
                if serving.age_ms > BOUND_MS {
                    stale += 1;
                    rec!(
                        "BROKEN: {id} was answered from data {} ms old; {BOUND_MS} ms are allowed",
                        serving.age_ms
                    );
                }
            }
        }
        drop(servings);
        report.join().unwrap();
    }
    rec!("bounded reads answered by a replica: {from_replica}, from data that is too old: {stale}");
    println!("replica {from_replica} stale {stale}");
    if stale > 0 {
        return BROKEN;
    }
    if trouble() || from_replica > 0 {
        HELD
    } else {
        NOT_RUN
    }
}

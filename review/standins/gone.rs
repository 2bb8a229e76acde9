//! A client sends much at once and goes. Do attempts begin for it more than 0.1 s after its close?

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::rec;

const COMMANDS: usize = 300;
/// Size of the value in each command; at most 64 KiB are allowed.
const VALUE_BYTES: usize = 4096;
const ALLOWED: Duration = Duration::from_millis(100 + 50);

pub fn run() -> i32 {
    let begun: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let host = |access: &'static str| {
        let begun = begun.clone();
        start_host(move |sql, stream: &mut TcpStream| {
            let id = field(sql, "id").to_string();
            begun.lock().unwrap().push((id.clone(), Instant::now()));
            rec!("host ({access}): attempt of {id} begins");
            thread::sleep(ms(400));
            let _ = stream.write_all(&result(id.as_bytes(), access, unix_ms()));
        })
    };
    let entry = |name: &str, access| Entry {
        name: name.to_string(),
        address: host(access),
        zone: "sala-norte",
        group: 1,
        status: "SERVING",
        access,
    };
    let entries = [entry("s-1", "writer"), entry("s-2", "reader")];
    let discovery = Discovery::start(&entries, Duration::ZERO);
    let settings = SiteSettings { when_behind: "refuse", fleet_size: 3 }.json();
    let pooler = Pooler::start(&list_json(1, true, &entries), &settings, discovery.address, 256);
    let mut client = Client::connect(pooler.address).unwrap();
    let mut bytes = Vec::new();
    let value = "9f".repeat(VALUE_BYTES);
    let commands = if trouble() { COMMANDS } else { 10 };
    for number in 0..commands {
        bytes.extend(query_message(&format!(
            "/* id=g{number},c=report-writes,d=5000,k=k{number},cluster=1 */ INSERT INTO items (id, doc) VALUES ('a{number}', '\\x{value}') RETURNING doc"
        )));
    }
    let mut startup = [0; 512];
    thread::sleep(ms(100));
    let _ = std::io::Read::read(&mut client.stream, &mut startup);
    let sent_at = Instant::now();
    client.send(&bytes);
    rec!(
        "client has sent {commands} commands, {} bytes, in {:.3} s",
        bytes.len(),
        sent_at.elapsed().as_secs_f64()
    );
    let mut answers = 0;
    if !trouble() {
        while answers < commands {
            if !matches!(client.receive_answer(ms(5500)), Answer::Value(_)) {
                break;
            }
            answers += 1;
        }
    }
    let closed_at = Instant::now();
    drop(client);
    rec!("client has closed its connection, answers read: {answers}");
    thread::sleep(ms(6000));
    let begun = begun.lock().unwrap();
    let late: Vec<_> = begun.iter().filter(|(_, at)| *at > closed_at + ALLOWED).collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        rec!(
            "BROKEN: {} attempts began more than 0.15 s after the close, {} {:.3} s to {} {:.3} s after it",
            late.len(),
            first.0,
            (first.1 - closed_at).as_secs_f64(),
            last.0,
            (last.1 - closed_at).as_secs_f64()
        );
    }
    rec!("attempts: {}, begun more than 0.15 s after the close: {}", begun.len(), late.len());
    println!("attempts {} late {}", begun.len(), late.len());
    if begun.is_empty() {
        NOT_RUN
    } else if late.is_empty() {
        HELD
    } else {
        BROKEN
    }
}

//! Discovery is slow. Does the pooler stop sending to a database host that drains?

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::rec;

/// How long discovery takes for each call while it is slow.
const SLOW: Duration = Duration::from_millis(3000);
/// A change counts as told this long after discovery had it and could be reached, and from then on the grace
/// holds; on sockets 50 ms more.
const TOLD_AFTER: Duration = Duration::from_millis(6000);
const GRACE: Duration = Duration::from_millis(2000 + 50);

pub fn run() -> i32 {
    let begun: Arc<Mutex<Vec<(&'static str, String, Instant)>>> = Arc::default();
    let host = |name: &'static str, access: &'static str| {
        let begun = begun.clone();
        start_host(move |sql, stream: &mut TcpStream| {
            let id = field(sql, "id").to_string();
            begun.lock().unwrap().push((name, id.clone(), Instant::now()));
            rec!("{name}: attempt of {id}");
            thread::sleep(ms(10));
            let _ = stream.write_all(&result(id.as_bytes(), access, unix_ms()));
        })
    };
    let entry = |name: &'static str, access| Entry {
        name: name.to_string(),
        address: host(name, access),
        zone: "sala-norte",
        group: 1,
        status: "SERVING",
        access,
    };
    let entries = [entry("s-1", "writer"), entry("s-2", "reader"), entry("s-3", "reader")];
    let discovery = Discovery::start(&entries, if trouble() { SLOW } else { Duration::ZERO });
    let settings = SiteSettings { when_behind: "refuse", fleet_size: 3 }.json();
    let pooler = Pooler::start(&list_json(1, true, &entries), &settings, discovery.address, 256);
    let started_at = Instant::now();
    let address = pooler.address;
    let client = thread::spawn(move || {
        let mut client = Client::connect(address).unwrap();
        let mut number = 0;
        while started_at.elapsed() < Duration::from_secs(24) {
            number += 1;
            client.send(&query_message(&format!(
                "/* id=r{number},c=history-reads,d=1500,cluster=1 */ SELECT doc FROM items WHERE id = 'a1'"
            )));
            client.receive_answer(ms(2000));
            thread::sleep(ms(40));
        }
    });
    thread::sleep(ms(8000));
    let mut draining = entries[1].clone();
    draining.status = "DRAINING";
    discovery.change(draining);
    let drained_at = Instant::now();
    client.join().unwrap();
    let begun = begun.lock().unwrap();
    let allowed_until = drained_at + TOLD_AFTER + GRACE;
    let to_draining: Vec<_> =
        begun.iter().filter(|(name, _, at)| *name == "s-2" && *at > allowed_until).collect();
    let last = begun.iter().filter(|(name, ..)| *name == "s-2").last();
    if let Some((_, id, at)) = last {
        rec!(
            "last attempt at s-2: {id}, {:.3} s after discovery had the drain",
            at.saturating_duration_since(drained_at).as_secs_f64()
        );
    }
    if !to_draining.is_empty() {
        rec!(
            "BROKEN: {} attempts at a draining host more than 8.05 s after discovery had the drain",
            to_draining.len()
        );
    }
    println!("attempts {} late {}", begun.len(), to_draining.len());
    if begun.is_empty() {
        NOT_RUN
    } else if to_draining.is_empty() {
        HELD
    } else {
        BROKEN
    }
}

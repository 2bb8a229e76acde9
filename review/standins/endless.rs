//! One database host of three sends an answer that never ends. Do the other requests still get their final
//! answers?

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::rec;

/// How long the host goes on with the answer.
const ENDLESS: Duration = Duration::from_secs(25);
/// One answer in this many of that host is spoilt.
const SPOILT_EVERY: u64 = 10;
const DEADLINE_MS: u64 = 1500;
/// After its time, and on sockets 50 ms more.
const SLACK_MS: u64 = 500 + 50;
const CLIENTS: usize = 4;

pub fn run() -> i32 {
    let spoils = Arc::new(AtomicBool::new(false));
    let host = |name: &'static str, access: &'static str| {
        let (spoils, answers) = (spoils.clone(), AtomicU64::new(0));
        start_host(move |sql, stream: &mut TcpStream| {
            let id = field(sql, "id").to_string();
            thread::sleep(ms(10));
            let number = answers.fetch_add(1, Ordering::Relaxed);
            if name == "s-2" && spoils.load(Ordering::Relaxed) && number % SPOILT_EVERY == 0 {
                rec!("{name}: the answer to {id} is spoilt: notices without end");
                let notices = message(b'N', b"SNOTICE\0Mwait\0\0").repeat(50_000);
                let start = Instant::now();
                let mut sent = 0u64;
                while spoils.load(Ordering::Relaxed) && stream.write_all(&notices).is_ok() {
                    sent += notices.len() as u64;
                }
                rec!(
                    "{name}: the spoilt answer stops after {:.3} s, {sent} bytes",
                    start.elapsed().as_secs_f64()
                );
                return;
            }
            rec!("{name}: answers {id}");
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
    let discovery = Discovery::start(&entries, Duration::ZERO);
    let settings = SiteSettings { when_behind: "refuse", fleet_size: 3 }.json();
    let pooler = Pooler::start(&list_json(1, true, &entries), &settings, discovery.address, 256);
    let started_at = Instant::now();
    let totals = Arc::new(Mutex::new((0, 0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, totals) = (pooler.address, totals.clone());
            thread::spawn(move || {
                let mut count = 0;
                let mut client = Client::connect(address).unwrap();
                while started_at.elapsed() < Duration::from_secs(30) {
                    count += 1;
                    let id = format!("c{number}n{count}");
                    client.send(&query_message(&format!(
                        "/* id={id},c=history-reads,d={DEADLINE_MS},cluster=1 */ SELECT doc FROM items WHERE id = 'a1'"
                    )));
                    let sent_at = Instant::now();
                    rec!("client sends {id}");
                    let answer = client.receive_answer(ms(DEADLINE_MS + SLACK_MS));
                    rec!("client of {id}: {}", answer.text());
                    match answer {
                        Answer::Nothing => {
                            totals.lock().unwrap().1 += 1;
                            rec!("BROKEN: {id} has no final answer {:.3} s after it was sent", sent_at.elapsed().as_secs_f64());
                            let late = client.receive_answer(Duration::from_secs(30));
                            rec!("client of {id}: {} after {:.3} s", late.text(), sent_at.elapsed().as_secs_f64());
                        }
                        _ => totals.lock().unwrap().0 += 1,
                    }
                    thread::sleep(ms(50));
                }
            })
        })
        .collect();
    thread::sleep(ms(2000));
    spoils.store(trouble(), Ordering::Relaxed);
    thread::sleep(ENDLESS);
    spoils.store(false, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }
    let (answered, lost) = *totals.lock().unwrap();
    rec!("requests answered: {answered}, without final answer in time: {lost}");
    println!("answered {answered} lost {lost}");
    if answered == 0 {
        NOT_RUN
    } else if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}

//! Database hosts send a second copy right behind some of their answers. Is each client served the value that
//! was made for its request?

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::rec;

/// One way between the halls.
const ONE_WAY: Duration = Duration::from_micros(1000);
/// How far the copy is behind the answer.
const BEHIND: Duration = Duration::from_micros(200);
/// One answer in this many comes with a copy.
const COPY_EVERY: u64 = 10;
const DURATION: Duration = Duration::from_secs(40);
const CLIENTS: u64 = 40;
/// Mean pause of a client between two requests: 40 clients make about 250 requests a second.
const MEAN_PAUSE_MS: f64 = 130.0;

struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.next()).ln() * mean
    }
}

fn host(name: &'static str, role: &'static str, random: Arc<Mutex<Random>>) -> SocketAddr {
    let answers = AtomicU64::new(0);
    let address = start_host(move |sql, stream: &mut TcpStream| {
        let id = field(sql, "id").to_string();
        if field(sql, "c") == "report-writes" && role == "reader" {
            let _ = stream.write_all(&error("25006"));
            return;
        }
        rec!("{name}: runs {id}");
        let work = 5.0 + random.lock().unwrap().exponential(8.0);
        thread::sleep(Duration::from_secs_f64(work / 1000.0));
        let answer = result(format!("made-for-{id}").as_bytes(), role, unix_ms());
        if stream.write_all(&answer).is_err() {
            return;
        }
        let number = answers.fetch_add(1, Ordering::Relaxed);
        if trouble() && number % COPY_EVERY == COPY_EVERY - 1 {
            let answered_at = Instant::now();
            while answered_at.elapsed() < BEHIND {
                std::hint::spin_loop();
            }
            // A copy comes only if nothing else waits on the connection.
            stream.set_nonblocking(true).unwrap();
            let nothing_waits = stream.peek(&mut [0]).is_err();
            stream.set_nonblocking(false).unwrap();
            if nothing_waits {
                rec!("{name}: second copy behind the answer to {id}");
                let _ = stream.write_all(&answer);
            }
        }
    });
    start_relay(address, |_| (ONE_WAY, Duration::ZERO))
}

pub fn run() -> i32 {
    let random = Arc::new(Mutex::new(Random(unix_ms())));
    let entry = |name: &'static str, zone, access| Entry {
        name: name.to_string(),
        address: host(name, access, random.clone()),
        zone,
        group: 1,
        status: "SERVING",
        access,
    };
    let entries = [
        entry("s-1", "sala-norte", "writer"),
        entry("s-2", "sala-norte", "reader"),
        entry("s-3", "sala-sur", "reader"),
    ];
    let discovery = Discovery::start(&entries, Duration::ZERO);
    let settings = SiteSettings { when_behind: "refuse", fleet_size: 3 }.json();
    let pooler = Pooler::start(&list_json(1, true, &entries), &settings, discovery.address, 256);
    let started_at = Instant::now();
    let totals = Arc::new(Mutex::new((0u64, 0u64, 0u64)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, totals) = (pooler.address, totals.clone());
            thread::spawn(move || client(number, address, started_at, &totals))
        })
        .collect();
    for client in clients {
        client.join().unwrap();
    }
    let (served, foreign, other) = *totals.lock().unwrap();
    rec!("served its own value: {served}, served another value: {foreign}, refused or failed: {other}");
    println!("own {served} foreign {foreign} other {other}");
    if served == 0 {
        return NOT_RUN;
    }
    if foreign > 0 {
        BROKEN
    } else {
        HELD
    }
}

fn client(number: u64, address: SocketAddr, started_at: Instant, totals: &Mutex<(u64, u64, u64)>) {
    let mut random = Random(unix_ms().wrapping_mul(number + 7));
    let mut connection = None;
    let mut count = 0;
    while started_at.elapsed() < DURATION {
        thread::sleep(Duration::from_secs_f64(random.exponential(MEAN_PAUSE_MS) / 1000.0));
        count += 1;
        let id = format!("c{number}n{count}");
        let draw = random.next();
        let (class, millis) = match draw {
            draw if draw < 0.49 => ("recent-reads", 1200),
            draw if draw < 0.74 => ("history-reads", 1500),
            _ => ("report-writes", 2500),
        };
        let sql = if class == "report-writes" {
            format!("/* id={id},c={class},d={millis},k=k{id},cluster=1 */ INSERT INTO items (id, doc) VALUES ('i{id}', '\\x9f03') RETURNING doc")
        } else {
            format!("/* id={id},c={class},d={millis},cluster=1 */ SELECT doc FROM items WHERE id = 'i{id}'")
        };
        let client = connection.get_or_insert_with(|| Client::connect(address).unwrap());
        rec!("client sends {id} ({class})");
        client.send(&query_message(&sql));
        let answer = client.receive_answer(Duration::from_millis(millis + 500));
        rec!("client of {id}: {}", answer.text());
        let mut totals = totals.lock().unwrap();
        match &answer {
            Answer::Value(value) if *value == format!("made-for-{id}").as_bytes() => totals.0 += 1,
            Answer::Value(_) => {
                totals.1 += 1;
                rec!("BROKEN: the client of {id} ({class}) was served {}", answer.text());
            }
            _ => totals.2 += 1,
        }
        if matches!(answer, Answer::Closed | Answer::Nothing) {
            connection = None;
        }
    }
}

//! Bad clients send hundreds of commands at once that can't be read, at full speed. Do the requests of usual
//! clients still get their final answers?

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::rec;

const DEADLINE_MS: u64 = 1500;
/// After its time, and on sockets 50 ms more.
const SLACK_MS: u64 = 500 + 50;
/// How many bad clients there are, and how many commands each sends at once.
const BAD_CLIENTS: usize = 10;
const COMMANDS: usize = 300;
const USUAL_CLIENTS: usize = 4;
const TROUBLE_LENGTH: Duration = Duration::from_secs(20);
const LENGTH: Duration = Duration::from_secs(26);

/// What the bad clients have sent, and how many of their commands were answered with an error.
#[derive(Default)]
struct BadTotals {
    commands: AtomicU64,
    errors: AtomicU64,
}

/// A command that can't be read: its comment is full of names that don't exist.
fn unreadable_command() -> Vec<u8> {
    query_message(&format!("/* {}x=1 */ SELECT 1", "x=1,".repeat(37_000)))
}

/// Sends hundreds of commands at once, reads its errors, and sends the same again as soon as all are turned
/// away.
fn bad_client(address: SocketAddr, stop: &AtomicBool, totals: &BadTotals) {
    let commands = Arc::new(unreadable_command().repeat(COMMANDS));
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect(address) else { continue };
        while !stop.load(Ordering::Relaxed) {
            let (mut writer, bytes) = (client.stream.try_clone().unwrap(), commands.clone());
            let sender = thread::spawn(move || writer.write_all(&bytes).is_ok());
            let errors = (0..COMMANDS)
                .take_while(|_| matches!(client.receive_answer(Duration::from_secs(60)), Answer::Error(_)));
            let errors = errors.count();
            totals.errors.fetch_add(errors as u64, Ordering::Relaxed);
            if errors < COMMANDS {
                break;
            }
            totals.commands.fetch_add(COMMANDS as u64, Ordering::Relaxed);
            if !sender.join().unwrap() {
                break;
            }
        }
        let _ = client.stream.shutdown(std::net::Shutdown::Both);
    }
}

pub fn run() -> i32 {
    let host = |name: &'static str, access: &'static str| {
        start_host(move |sql, stream: &mut TcpStream| {
            thread::sleep(ms(10));
            rec!("{name}: answers {}", field(sql, "id"));
            let _ = stream.write_all(&result(field(sql, "id").as_bytes(), access, unix_ms()));
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
    let stop = Arc::new(AtomicBool::new(false));
    let bad_totals = Arc::new(BadTotals::default());
    let totals = Arc::new(Mutex::new((0, 0)));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (address, totals) = (pooler.address, totals.clone());
            thread::spawn(move || {
                let mut count = 0;
                let mut client = Client::connect(address).unwrap();
                while started_at.elapsed() < LENGTH {
                    count += 1;
                    let id = format!("c{number}n{count}");
                    client.send(&query_message(&format!(
                        "/* id={id},c=history-reads,d={DEADLINE_MS},cluster=1 */ SELECT doc FROM items WHERE id = 'a1'"
                    )));
                    let sent_at = Instant::now();
                    rec!("client sends {id}");
                    let answer = client.receive_answer(ms(DEADLINE_MS + SLACK_MS));
                    rec!("client of {id}: {}", answer.text());
                    let taken = sent_at.elapsed().as_secs_f64();
                    let mut totals = totals.lock().unwrap();
                    match answer {
                        Answer::Nothing => {
                            totals.1 += 1;
                            drop(totals);
                            rec!("BROKEN: {id} has no final answer {taken:.3} s after it was sent");
                            let late = client.receive_answer(Duration::from_secs(40));
                            rec!("client of {id}: {} after {:.3} s", late.text(), sent_at.elapsed().as_secs_f64());
                        }
                        _ => totals.0 += 1,
                    }
                    thread::sleep(ms(50));
                }
            })
        })
        .collect();
    thread::sleep(ms(2000));
    if trouble() {
        rec!(
            "{BAD_CLIENTS} bad clients begin: each sends {COMMANDS} commands of {} bytes at once",
            unreadable_command().len()
        );
        for _ in 0..BAD_CLIENTS {
            let (address, stop, bad_totals) = (pooler.address, stop.clone(), bad_totals.clone());
            thread::spawn(move || bad_client(address, &stop, &bad_totals));
        }
        thread::sleep(TROUBLE_LENGTH);
        stop.store(true, Ordering::Relaxed);
        let errors = bad_totals.errors.load(Ordering::Relaxed);
        rec!(
            "bad clients stop; {} commands and more were sent, {errors} turned away",
            bad_totals.commands.load(Ordering::Relaxed)
        );
    }
    for client in usual {
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

//! Case 9: a write runs for a client that has gone.
//!
//! A client sends many commands at once, a long report and writes with values of 64 KiB behind it, and closes
//! its connection. The pooler has a limited buffer for each client and doesn't see the close behind the unread
//! commands. One second later the report is answered, and the pooler sends the first write to the primary.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes that the client sends at once behind the report.
const WRITES: usize = 100;
const VALUE_BYTES: usize = 64 * 1024;
const REPORT_MS: u64 = 1200;
/// When the client goes, after its first byte.
const STAYS: Duration = Duration::from_millis(200);
/// An attempt that begins later than 0.1 s after the close is a break; time limits are 50 ms longer on sockets.
const EXCUSED: Duration = Duration::from_millis(150);
const WATCHED: Duration = Duration::from_secs(5);

fn main() {
    let trouble = start_run();
    let closed_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (runs, late_runs) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let service = |name: &'static str, role: &'static str| -> Service {
        let (closed_at, runs, late_runs) = (closed_at.clone(), runs.clone(), late_runs.clone());
        Arc::new(move |request| {
            let id = field(&request.sql, "id").unwrap_or("?");
            let class = field(&request.sql, "c").unwrap_or("?");
            if class == "report-writes" && role == "reader" {
                return Some(error("25006", role, unix_ms() as i64));
            }
            if row_key(&request.sql) == Some("gone") {
                runs.fetch_add(1, Ordering::SeqCst);
                let since = closed_at.lock().unwrap().map(|at| request.arrived.saturating_duration_since(at));
                match since {
                    Some(since) if since > EXCUSED => {
                        late_runs.fetch_add(1, Ordering::SeqCst);
                        log(name, &format!("runs {class} {id}, {since:?} after its client closed"));
                    }
                    _ => log(name, &format!("runs {class} {id}")),
                }
            }
            sleep_ms(if class == "long-reports" { REPORT_MS } else { 30 });
            Some(served(b"done", role, unix_ms().ceil() as i64))
        })
    };
    let host = |name: &'static str, zone: &'static str, access: &'static str| {
        let role = if access == "writer" { "writer" } else { "reader" };
        let address = start_host(name, Arc::default(), service(name, role));
        Entry { name, address, zone, status: "SERVING", access }
    };
    let discovery = Discovery::new(vec![
        host("s-1", "sala-norte", "writer"),
        host("s-2", "sala-norte", "reader"),
        host("s-3", "sala-sur", "reader"),
    ]);
    let address = discovery.start();
    let pooler = start_pooler(&Deployment::default(), address, &discovery.known());

    // Usual clients write now and then, so that the pooler has connections to the primary.
    let stop = Arc::new(AtomicBool::new(false));
    let usual: Vec<_> = (0..4)
        .map(|number| {
            let stop = stop.clone();
            std::thread::spawn(move || usual_client(pooler, number, &stop))
        })
        .collect();
    sleep_ms(1000);

    let mut client = Client::connect(pooler.address).expect("a connection");
    let hex = "ab".repeat(VALUE_BYTES);
    let mut commands = query_message(&read_statement(&new_id(), "long-reports", 8000, "gone"));
    for _ in 0..WRITES {
        commands.extend(query_message(&write_statement(&new_id(), 5000, &new_id(), "gone", &hex)));
    }
    let mut sender = client.stream.try_clone().expect("the connection");
    let sent = Arc::new(AtomicUsize::new(0));
    let (sent_by_sender, total) = (sent.clone(), commands.len());
    log("client", &format!("sends a report and {WRITES} writes at once, {total} bytes"));
    let started = Instant::now();
    let sending = std::thread::spawn(move || {
        for piece in commands.chunks(16 * 1024) {
            if sender.write_all(piece).is_err() {
                return;
            }
            sent_by_sender.fetch_add(piece.len(), Ordering::SeqCst);
        }
    });
    if trouble {
        sleep_until(started + STAYS);
        let _ = client.stream.shutdown(std::net::Shutdown::Both);
        let _ = sending.join();
        drop(client);
        *closed_at.lock().unwrap() = Some(Instant::now());
        log("client", &format!("closed; {} bytes were written", sent.load(Ordering::SeqCst)));
        std::thread::sleep(WATCHED);
    } else {
        let mut answers = 0;
        while answers < WRITES + 1 {
            match client.receive(Duration::from_secs(8)) {
                Answer::Ended | Answer::Nothing => break,
                _ => answers += 1,
            }
        }
        log("client", &format!("stayed and got {answers} answers"));
        if answers < WRITES + 1 {
            finish(COULD_NOT_RUN);
        }
    }
    stop.store(true, Ordering::SeqCst);
    let usual_served: usize = usual.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let (runs, late) = (runs.load(Ordering::SeqCst), late_runs.load(Ordering::SeqCst));
    log("test", &format!("{usual_served} writes of usual clients served"));
    log(
        "test",
        &format!("{runs} requests of the client run, {late} begun more than 0.15 s after it had closed"),
    );
    if runs == 0 || usual_served == 0 {
        finish(COULD_NOT_RUN);
    }
    finish(if late > 0 { BROKEN } else { HELD })
}

fn usual_client(pooler: Pooler, number: usize, stop: &AtomicBool) -> usize {
    let Ok(mut client) = Client::connect(pooler.address) else { return 0 };
    let mut served = 0;
    while !stop.load(Ordering::SeqCst) {
        let sql = write_statement(&new_id(), 5000, &new_id(), &format!("row-{number}"), "ff");
        if matches!(client.ask(&sql, Duration::from_secs(6)), Answer::Value(_)) {
            served += 1;
        }
        sleep_ms(100);
    }
    served
}

//! Case 8: a drain is not heard of while discovery answers each call after 3 s.
//!
//! Discovery is slow: it answers each call 3 s after it came, with all that it has by then. A database host
//! begins to drain. Discovery could be reached all the time, so the change counts as told 6 s later, and 2 s
//! after that nothing new may be sent to the host.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ANSWER_DELAY_MS: u64 = 3000;
/// When a change counts as told, after discovery had it.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `drainGrace` of the settings, and the 50 ms by which time limits are longer on sockets.
const GRACE: Duration = Duration::from_millis(2050);
/// How long requests are sent after that.
const WATCHED: Duration = Duration::from_secs(8);

fn main() {
    let trouble = start_run();
    let drain_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (sends, late_sends) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let service = |name: &'static str, role: &'static str| -> Service {
        let (drain_at, sends, late_sends) = (drain_at.clone(), sends.clone(), late_sends.clone());
        Arc::new(move |request| {
            let id = field(&request.sql, "id").unwrap_or("?");
            sends.fetch_add(1, Ordering::SeqCst);
            let since_drain =
                drain_at.lock().unwrap().map(|at| request.arrived.saturating_duration_since(at));
            if let Some(since) = since_drain.filter(|_| name == "s-2") {
                if since > TOLD_AFTER + GRACE {
                    late_sends.fetch_add(1, Ordering::SeqCst);
                    log(name, &format!("got {id} {since:?} after it began to drain"));
                }
            }
            sleep_ms(20);
            Some(served(b"row", role, unix_ms() as i64))
        })
    };
    let host = |name: &'static str, zone: &'static str, access: &'static str| {
        let address = start_host(name, Arc::default(), service(name, access));
        Entry { name, address, zone, status: "SERVING", access }
    };
    let discovery = Discovery::new(vec![
        host("s-1", "sala-norte", "writer"),
        host("s-2", "sala-norte", "reader"),
        host("s-3", "sala-norte", "reader"),
    ]);
    let address = discovery.start();
    if trouble {
        discovery.answer_delay_ms.store(ANSWER_DELAY_MS, Ordering::SeqCst);
    }
    let pooler = start_pooler(&Deployment::default(), address, &discovery.known());
    let start = Instant::now();
    let mut client = Client::connect(pooler.address).expect("a connection");
    let mut has_changed = false;
    let mut served_reads = 0;
    loop {
        if !has_changed && start.elapsed() > Duration::from_secs(4) {
            discovery.set_status("s-2", "DRAINING");
            *drain_at.lock().unwrap() = Some(Instant::now());
            has_changed = true;
        }
        let since = drain_at.lock().unwrap().map(|at| at.elapsed());
        if since.is_some_and(|since| since > TOLD_AFTER + GRACE + WATCHED) {
            break;
        }
        match client.ask(&read_statement(&new_id(), "history-reads", 1500, "row"), Duration::from_secs(3)) {
            Answer::Value(_) => served_reads += 1,
            Answer::Ended | Answer::Nothing => {
                client = Client::connect(pooler.address).expect("a connection")
            }
            _ => {}
        }
        sleep_ms(20);
    }
    let (sends, late) = (sends.load(Ordering::SeqCst), late_sends.load(Ordering::SeqCst));
    log("test", &format!("{served_reads} reads served, {sends} requests sent"));
    log(
        "test",
        &format!("{late} of them to the draining host, more than 2.05 s after the drain counts as told"),
    );
    if served_reads < 100 {
        finish(COULD_NOT_RUN);
    }
    finish(if late > 0 { BROKEN } else { HELD })
}

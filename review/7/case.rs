//! Case 7: a request that waits behind others on its connection at a planned restart.
//!
//! A client sends many commands at once: long reports, of which the database host answers one in 1.2 s. The
//! pooler gets SIGTERM. More than 0.7 s later the client sends one more request on the connection, which the
//! pooler has left open. SIGKILL comes no earlier than the pages allow. Every request that arrived more than
//! 0.7 s after SIGTERM has to be answered by then.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Commands that the client sends at once.
const AT_ONCE: usize = 16;
const SERVICE_MS: u64 = 1200;
/// SIGKILL: the longest deadline, taken as 3 s where it is longer, and 0.7 s; here 50 ms later.
const KILL: Duration = Duration::from_millis(3750);
/// When the late request is sent, after SIGTERM.
const LATE: Duration = Duration::from_millis(1000);
const KILL_EXCUSE: Duration = Duration::from_millis(700);

fn main() {
    let trouble = start_run();
    let service = |name: &'static str, role: &'static str| -> Service {
        Arc::new(move |request| {
            let id = field(&request.sql, "id").unwrap_or("?").to_string();
            log(name, &format!("runs {id}"));
            sleep_ms(if field(&request.sql, "c") == Some("long-reports") { SERVICE_MS } else { 30 });
            Some(served(b"report", role, unix_ms() as i64))
        })
    };
    let host = |name: &'static str, zone: &'static str, access: &'static str| {
        let address = start_host(name, Arc::default(), service(name, access));
        Entry { name, address, zone, status: "SERVING", access }
    };
    // A group of six.
    let discovery = Discovery::new(vec![
        host("s-1", "sala-norte", "writer"),
        host("s-2", "sala-norte", "reader"),
        host("s-3", "sala-norte", "reader"),
        host("s-4", "sala-sur", "reader"),
        host("s-5", "sala-sur", "reader"),
        host("s-6", "sala-sur", "reader"),
    ]);
    let discovery_address = discovery.start();
    let pooler = start_pooler(&Deployment::default(), discovery_address, &discovery.known());

    let mut client = Client::connect(pooler.address).expect("a connection");
    let ids: Vec<String> = (0..=AT_ONCE).map(|_| new_id()).collect();
    let (late_id, early) = ids.split_last().expect("ids");
    let commands: Vec<u8> = early
        .iter()
        .flat_map(|id| query_message(&read_statement(id, "long-reports", 8000, "weekly")))
        .collect();
    use std::io::Write;
    client.stream.write_all(&commands).expect("the commands are written");
    log("client", &format!("sent {AT_ONCE} commands at once: {}", early.join(" ")));
    sleep_ms(200);
    let terminated = Instant::now();
    if trouble {
        pooler.signal(SIGTERM);
    }
    sleep_until(terminated + LATE);
    // The connection is open: nothing has said otherwise, and a request on it is still unanswered.
    let late = read_statement(late_id, "recent-reads", 1200, "row");
    if client.send_query(&late).is_err() {
        log("client", "the late request could not be written");
        finish(COULD_NOT_RUN);
    }
    let late_at = terminated.elapsed();
    log("client", &format!("sent the late request {late_id}, {late_at:?} after SIGTERM"));
    assert!(late_at > KILL_EXCUSE);
    if trouble {
        std::thread::spawn(move || {
            sleep_until(terminated + KILL);
            pooler.signal(SIGKILL);
        });
    }
    let mut answered = 0;
    for id in &ids {
        let answer = client.receive(Duration::from_secs(30));
        if matches!(answer, Answer::Ended | Answer::Nothing) {
            log("client", &format!("no answer to {id}: {answer:?}"));
            break;
        }
        log("client", &format!("answer to {id}: {}", short(&answer)));
        answered += 1;
    }
    log("test", &format!("{answered} of {} requests were answered", ids.len()));
    finish(if answered == ids.len() { HELD } else { BROKEN })
}

fn short(answer: &Answer) -> String {
    match answer {
        Answer::Value(value) => format!("served, {} bytes", value.len()),
        other => format!("{other:?}"),
    }
}

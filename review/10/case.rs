//! Case 10: a bad client is served with the id of another client's open request.
//!
//! A usual client sends two commands at once: a long report and a read behind it. A bad client sends a read
//! with the id of that second request, which is open: the pooler has received it whole. The bad client is owed
//! an error or a close within 3 s.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

const REPORT_MS: u64 = 1200;

fn main() {
    let trouble = start_run();
    let service = |name: &'static str, role: &'static str| -> Service {
        Arc::new(move |request| {
            let id = field(&request.sql, "id").unwrap_or("?");
            let row = row_key(&request.sql).unwrap_or("?");
            log(name, &format!("runs {id} for row '{row}'"));
            sleep_ms(if field(&request.sql, "c") == Some("long-reports") { REPORT_MS } else { 30 });
            Some(served(format!("value of {row}").as_bytes(), role, unix_ms() as i64))
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

    let mut usual = Client::connect(pooler.address).expect("a connection");
    let mut bad = Client::connect(pooler.address).expect("a connection");
    let (first, second) = (new_id(), new_id());
    let commands = [
        query_message(&read_statement(&first, "long-reports", 8000, "weekly")),
        query_message(&read_statement(&second, "history-reads", 1500, "usual")),
    ];
    usual.stream.write_all(&commands.concat()).expect("the commands are written");
    log("usual", &format!("sent {first} and {second} at once"));
    sleep_ms(300);
    let mut is_bad_client_served = false;
    if trouble {
        let statement = read_statement(&second, "history-reads", 1500, "bad");
        log("bad", &format!("sends a request with the id {second}, which is open"));
        let answer = bad.ask(&statement, Duration::from_secs(3));
        log("bad", &format!("answer: {}", text(&answer)));
        is_bad_client_served = matches!(answer, Answer::Value(_));
        if matches!(answer, Answer::Nothing) {
            log("bad", "neither an error nor a close within 3 s");
        }
    }
    for id in [&first, &second] {
        let answer = usual.receive(Duration::from_secs(9));
        log("usual", &format!("answer to {id}: {}", text(&answer)));
        if matches!(answer, Answer::Ended | Answer::Nothing) {
            finish(COULD_NOT_RUN);
        }
    }
    finish(if is_bad_client_served { BROKEN } else { HELD })
}

fn text(answer: &Answer) -> String {
    match answer {
        Answer::Value(value) => format!("served '{}'", String::from_utf8_lossy(value)),
        other => format!("{other:?}"),
    }
}

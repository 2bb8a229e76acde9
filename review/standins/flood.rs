//! Bad clients connect by hundreds, stop in the middle of a command and stay. Does a request of a usual client
//! still get its final answer?

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::rec;

const BAD_CLIENTS: usize = 200;
const ROUNDS: usize = 4;
/// What the usual client gives its request.
const DEADLINE_MS: u64 = 600;
/// After its time, and on sockets 50 ms more.
const SLACK_MS: u64 = 500 + 50;

pub fn run() -> i32 {
    let host = |access: &'static str| {
        start_host(move |sql, stream: &mut TcpStream| {
            thread::sleep(ms(20));
            rec!("host ({access}): runs {}", field(sql, "id"));
            let _ = stream.write_all(&result(field(sql, "id").as_bytes(), access, unix_ms()));
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
    let entries = [entry("s-1", "writer"), entry("s-2", "reader"), entry("s-3", "reader")];
    let discovery = Discovery::start(&entries, Duration::ZERO);
    let settings = SiteSettings { when_behind: "refuse", fleet_size: 3 }.json();
    let pooler = Pooler::start(&list_json(1, true, &entries), &settings, discovery.address, 256);
    let (mut answered, mut closed, mut lost) = (0, 0, 0);
    for round in 1..=ROUNDS {
        let mut bad = Vec::new();
        if trouble() {
            for _ in 0..BAD_CLIENTS {
                let Ok(mut client) = Client::connect(pooler.address) else { continue };
                let half = query_message("/* id=x1,c=history-reads,d=900,cluster=1 */ SELECT doc FROM items");
                client.send(&half[..half.len() / 2]);
                bad.push(client);
            }
            rec!("round {round}: {} bad clients have sent half a command and stay", bad.len());
        }
        thread::sleep(ms(100));
        let id = format!("u{round}");
        let sent_at = Instant::now();
        let mut usual = Client::connect(pooler.address).unwrap();
        usual.send(&query_message(&format!(
            "/* id={id},c=history-reads,d={DEADLINE_MS},cluster=1 */ SELECT doc FROM items WHERE id = 'a1'"
        )));
        rec!("round {round}: usual client has sent {id} whole, d={DEADLINE_MS}");
        let answer = usual.receive_answer(ms(DEADLINE_MS + SLACK_MS));
        rec!("round {round}: usual client after {:.3} s: {}", sent_at.elapsed().as_secs_f64(), answer.text());
        match answer {
            Answer::Nothing => {
                lost += 1;
                rec!("BROKEN: {id} has no final answer {} ms after it was sent", DEADLINE_MS + SLACK_MS);
                let late = usual.receive_answer(ms(6000));
                rec!("round {round}: at {:.3} s: {}", sent_at.elapsed().as_secs_f64(), late.text());
            }
            Answer::Closed => closed += 1,
            _ => answered += 1,
        }
        drop(bad);
        thread::sleep(ms(3000));
    }
    pooler.record_log(&["all client connections are busy"], 5);
    rec!("usual requests answered in time: {answered}, closed unread: {closed}, without answer: {lost}");
    println!("answered {answered} closed {closed} lost {lost}");
    if lost > 0 {
        BROKEN
    } else if answered == 0 {
        NOT_RUN
    } else {
        HELD
    }
}

//! A peer that keeps the pooler busy does not delay the requests of others.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::*;

/// How many clients send at full speed at the same time.
const FLOODING_CLIENTS: usize = 4;
/// How many requests of a usual client are measured.
const REQUESTS: usize = 5;
/// The deadline of these requests.
const DEADLINE: Duration = Duration::from_millis(1500);
/// More bytes than the response to a startup message has, and no more than those to a few queries.
const FIRST_RESPONSES_LENGTH: usize = 500;
/// How long a test waits for the first responses to clients that send at full speed.
const FLOOD_START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long after its deadline a request may still get its final answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Nearly as long as a message may be, and its comment has thousands of unknown fields.
fn long_invalid_query() -> Vec<u8> {
    query_message(&format!("/* {}x=1 */ SELECT 1", "x=1,".repeat(37_000)))
}

/// A short query that the pooler answers with an error as soon as it looks up the class.
fn query_of_unknown_class() -> Vec<u8> {
    Request::new("flood", "no-such-class").message()
}

/// A short query that the policy rejects at once.
fn query_of_unknown_group() -> Vec<u8> {
    Request::new("flood", "reports").group(99).message()
}

/// Sends `query` at full speed until the pooler has gone, on a new connection whenever the pooler closes one.
/// Reports for each when it has received the first responses.
fn flood(pooler: &Pooler, query: &[u8], started: Sender<()>) {
    let (address, queries) = (pooler.address, query.repeat(1 + 100_000 / query.len()));
    std::thread::spawn(move || {
        while let Ok(mut stream) = TcpStream::connect(address) {
            let reader = stream.try_clone().unwrap();
            let started = started.clone();
            std::thread::spawn(move || discard_responses(reader, &started));
            let _ = stream.write_all(&startup_message());
            while stream.write_all(&queries).is_ok() {}
        }
    });
}

/// Reads until the connection ends. Reports when the first responses are received.
fn discard_responses(mut stream: TcpStream, started: &Sender<()>) {
    let mut first_responses = [0; FIRST_RESPONSES_LENGTH];
    if stream.read_exact(&mut first_responses).is_ok() {
        let _ = started.send(());
    }
    let _ = std::io::copy(&mut stream, &mut std::io::sink());
}

fn wait_for_first_responses(started: &Receiver<()>) {
    for _ in 0..FLOODING_CLIENTS {
        started.recv_timeout(FLOOD_START_TIMEOUT).expect("the clients got no responses");
    }
}

/// Sends requests one after another. Asserts that each is served within its deadline and [`ANSWER_GRACE`].
#[track_caller]
fn expect_timely_responses(client: &mut Connection) {
    for number in 0..REQUESTS {
        let sent_at = Instant::now();
        let request = Request::new(format!("usual{number}"), "reports");
        client.send(&request.deadline_ms(DEADLINE.as_millis() as u64).message());
        client.stream.set_read_timeout(Some(DEADLINE + ANSWER_GRACE)).unwrap();
        client.expect_value(BINARY_VALUE);
        let elapsed = sent_at.elapsed();
        assert!(elapsed <= DEADLINE + ANSWER_GRACE, "answered after {elapsed:?}");
    }
}

/// Guards against serving one client for as long as it sends: the others got no answer for seconds, and no
/// timer ran.
#[rstest]
#[case::long_invalid_queries(long_invalid_query())]
#[case::short_queries_of_an_unknown_class(query_of_unknown_class())]
#[case::short_queries_of_an_unknown_group(query_of_unknown_group())]
fn clients_that_send_at_full_speed_do_not_delay_others(#[case] query: Vec<u8>) {
    let host = DatabaseHost::new();
    let (pooler, _discovery) = start_with_one_host(&host, &[]);
    host.answer_queries(BINARY_VALUE, Role::Reader, Duration::ZERO);
    let mut usual = connect_client(&pooler);
    let (started, floods) = channel();
    for _ in 0..FLOODING_CLIENTS {
        flood(&pooler, &query, started.clone());
    }
    wait_for_first_responses(&floods);
    expect_timely_responses(&mut usual);
}

/// Guards against reading one answer for as long as it goes on: no other request was served meanwhile, and
/// the attempt itself was not given up.
#[test]
fn an_endless_answer_does_not_delay_others_and_is_given_up() {
    let near = DatabaseHost::new();
    let far = DatabaseHost::new();
    let (pooler, _discovery) = start_with_two_hosts(&near, &far);
    let mut first = connect_client(&pooler);
    let mut usual = connect_client(&pooler);
    let mut endless = start_read(&near, &mut first, "1");
    near.answer_queries(BINARY_VALUE, Role::Reader, Duration::ZERO);
    far.answer_queries(BINARY_VALUE, Role::Reader, Duration::ZERO);
    let notices = encode_message(message_type::NOTICE_RESPONSE, b"SNOTICE\0Mwait\0\0").repeat(5000);
    endless.send(&notices);
    std::thread::spawn(move || while endless.stream.write_all(&notices).is_ok() {});
    expect_timely_responses(&mut usual);
    first.expect_value(BINARY_VALUE);
    pooler.expect_counters(" malformed_answers=1 ");
}

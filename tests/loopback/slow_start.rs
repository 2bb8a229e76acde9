//! Slow start in a fleet of poolers: all of them learn of the same new primary at the same time.

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::harness::*;

/// The number of pooler processes.
const POOLERS: usize = 60;
/// How long the old primary takes for a query. One client of each pooler queries it without pause.
const SERVICE_TIME: Duration = Duration::from_secs(2);
/// Duration of the usual traffic, and of the time without a primary.
const USUAL_TRAFFIC: Duration = Duration::from_secs(4);
const NO_PRIMARY: Duration = Duration::from_secs(2);
/// Interval between two lines of a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long the queries to the new primary are counted.
const OBSERVATION: Duration = Duration::from_millis(1500);
/// The overload window and the overload limit in the settings.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);
const OVERLOAD_LIMIT: f64 = 4.0;
/// The capacity of an endpoint that has just started in the settings; the slow start takes a minute.
const INITIAL_CAPACITY: f64 = 0.24;
/// The usual traffic of a primary, as a share of its full capacity.
const USUAL_LOAD: f64 = 0.8;

/// All reports are strong reads, which only the primary answers.
const SETTINGS: [Edit; 2] = [
    Edit { from: r#"["bounded","session","any","write"]"#, to: r#"["bounded","session","fresh","write"]"# },
    Edit {
        from: r#""coldFrom":0.2,"warmUp":1,"tipMultiple":3"#,
        to: r#""coldFrom":0.24,"warmUp":60,"tipMultiple":4"#,
    },
];

/// A discovery service that sends each list to all open watches.
#[derive(Clone)]
struct Publisher {
    service: Arc<DiscoveryService>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
}

impl Publisher {
    fn start() -> Publisher {
        let service = Arc::new(DiscoveryService::new());
        let publisher = Publisher { service, watches: Arc::default() };
        let accepting = publisher.clone();
        std::thread::spawn(move || {
            while let Some(mut watch) = accepting.service.next_watch() {
                watch.send(CHUNKED_HEAD.as_bytes());
                accepting.watches.lock().unwrap().push(watch.stream);
            }
        });
        publisher
    }

    fn publish(&self, list: &EndpointList) {
        self.send(list);
    }

    /// Waits, and keeps the watches alive meanwhile.
    fn wait(&self, time: Duration) {
        let start = Instant::now();
        while start.elapsed() < time {
            self.send("");
            std::thread::sleep(HEARTBEAT_INTERVAL.min(time.saturating_sub(start.elapsed())));
        }
    }

    /// Sends a line to all watches that are still open.
    fn send(&self, line: impl std::fmt::Display) {
        let line = line_chunk(line);
        self.watches.lock().unwrap().retain_mut(|watch| watch.write_all(&line).is_ok());
    }
}

/// Sends `count` reports over one connection, each after the answer to the one before.
fn start_client(pooler: &Pooler, name: String, count: usize) {
    let mut client = connect_client(pooler);
    std::thread::spawn(move || {
        for number in 0..count {
            client.send(&Request::new(format!("{name}-{number}"), "reports").message());
            if client.receive_response().is_empty() {
                return;
            }
        }
    });
}

/// Returns the largest number of queries in one overload window.
fn largest_window(received_at: &[Instant]) -> usize {
    let counts = received_at.iter().enumerate().map(|(first, start)| {
        received_at[first..].iter().take_while(|at| **at <= *start + OVERLOAD_WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

#[test]
fn queries_queued_at_a_fleet_do_not_overload_a_host_that_becomes_the_primary_just_after_its_start() {
    let (old_host, new_host) = (DatabaseHost::new(), DatabaseHost::new());
    let (old, new) = (old_host.entry("s-1", "here"), new_host.entry("s-2", "here"));
    old_host.answer_queries(BINARY_VALUE, Role::Writer, SERVICE_TIME);
    let received_at = new_host.answer_queries(BINARY_VALUE, Role::Writer, Duration::ZERO);
    let publisher = Publisher::start();
    let known =
        EndpointList::snapshot(41, [old.clone().with_access("writer"), new.clone().with_access("reader")]);
    let poolers: Vec<Pooler> =
        (0..POOLERS).map(|_| Pooler::start(&known, &publisher.service, &SETTINGS)).collect();
    for (number, pooler) in poolers.iter().enumerate() {
        start_client(pooler, format!("usual-{number}"), usize::MAX);
    }
    publisher.wait(USUAL_TRAFFIC);
    let new = new.with_start_time(unix_time().as_millis() as i64);
    let lost = [old.with_status("DELETED"), new.clone().with_access("reader")];
    publisher.publish(&EndpointList::update(42, lost));
    for (number, pooler) in poolers.iter().enumerate() {
        start_client(pooler, format!("queued-{number}"), 1);
    }
    publisher.wait(NO_PRIMARY);
    publisher.publish(&EndpointList::update(43, [new.with_access("writer")]));
    publisher.wait(OBSERVATION);
    let received_at = received_at.lock().unwrap();
    assert!(!received_at.is_empty(), "the new primary received no query");
    let full_capacity = POOLERS as f64 / SERVICE_TIME.as_secs_f64() / USUAL_LOAD;
    let limit = OVERLOAD_LIMIT * INITIAL_CAPACITY * full_capacity * OVERLOAD_WINDOW.as_secs_f64();
    let largest = largest_window(&received_at);
    assert!(
        largest as f64 <= limit + 2.0 * limit.sqrt() + 2.0,
        "{largest} queries in one window, where {limit} are allowed and chance adds few"
    );
}

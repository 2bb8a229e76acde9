//! Clock skew of seconds or of an hour between the pooler and the database hosts. Only the difference
//! matters, so the tests shift the clock of the database hosts.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use rstest::rstest;

use crate::harness::*;

const HOUR_MS: i64 = 3_600_000;

/// The number of reads of a kind that a test sends, one after another.
const READS: usize = 40;

/// A database host that answers every query immediately.
struct AnsweringHost {
    entry: EndpointEntry,
    answered: Arc<AtomicUsize>,
}

impl AnsweringHost {
    /// Starts a host whose log position is the pooler's clock plus `position_offset_ms`.
    fn start(name: &str, zone: &str, role: Role, position_offset_ms: i64) -> AnsweringHost {
        let host = DatabaseHost::new();
        let entry = host.entry(name, zone);
        let answered = Arc::new(AtomicUsize::new(0));
        let counter = answered.clone();
        std::thread::spawn(move || loop {
            let (mut connection, counter) = (host.accept(), counter.clone());
            std::thread::spawn(move || {
                while connection.receive_statement().is_some() {
                    counter.fetch_add(1, Ordering::Relaxed);
                    let position = unix_time().as_millis() as i64 + position_offset_ms;
                    connection.send(&result_response_with_position(BINARY_VALUE, role, position));
                }
            });
        });
        AnsweringHost { entry, answered }
    }
}

/// Starts a primary in another zone and a replica in the pooler's own zone. Their clock is the pooler's plus
/// `offset_ms`; the replica lags by `lag_ms`.
fn start_cluster(offset_ms: i64, lag_ms: i64) -> (AnsweringHost, AnsweringHost) {
    let primary = AnsweringHost::start("s-1", "there", Role::Writer, offset_ms);
    let replica = AnsweringHost::start("s-2", "here", Role::Reader, offset_ms - lag_ms);
    (primary, replica)
}

fn start_pooler(
    primary: EndpointEntry,
    replica: EndpointEntry,
    edits: &[Edit],
) -> (Pooler, DiscoveryService) {
    let discovery = DiscoveryService::new();
    let entries = [primary.with_access("writer"), replica.with_access("reader")];
    (Pooler::start(&EndpointList::snapshot(41, entries), &discovery, edits), discovery)
}

fn read(client: &mut Connection, id: impl ToString, class: &'static str) {
    client.send(&Request::new(id, class).message());
    client.expect_result();
}

/// Sends bounded reads, with writes and reads of eventual consistency between them. Returns how many of the
/// bounded reads the replica answers.
fn bounded_reads_at_replica(offset_ms: i64, lag_ms: i64) -> usize {
    let (primary, replica) = start_cluster(offset_ms, lag_ms);
    let (pooler, _discovery) = start_pooler(primary.entry, replica.entry, &[]);
    let mut client = connect_client(&pooler);
    let mut at_replica = 0;
    for number in 0..READS {
        read(&mut client, format!("w{number}"), "order-write");
        read(&mut client, format!("a{number}"), "reports");
        let before = replica.answered.load(Ordering::Relaxed);
        read(&mut client, format!("b{number}"), "browse");
        at_replica += replica.answered.load(Ordering::Relaxed) - before;
    }
    at_replica
}

/// Guards against comparing log positions with the pooler's own clock, by which no replica was fresh enough.
#[rstest]
fn a_fresh_replica_gets_the_bounded_reads_under_clock_skew(
    #[values(-HOUR_MS, -5000, -500, 0, 500, 5000, HOUR_MS)] offset_ms: i64,
) {
    let at_replica = bounded_reads_at_replica(offset_ms, 10);
    assert!(at_replica >= READS - 5, "the replica answered {at_replica} of {READS} reads");
}

/// Guards against measuring the age of a position by the pooler's clock: if that is 5 s behind, a position
/// that is 6 s old seems to be 1 s old.
#[rstest]
fn a_lagging_replica_gets_no_bounded_read_under_clock_skew(
    #[values(-HOUR_MS, -5000, 0, 5000, HOUR_MS)] offset_ms: i64,
    #[values(3200, 6000)] lag_ms: i64,
) {
    assert_eq!(bounded_reads_at_replica(offset_ms, lag_ms), 0);
}

/// Guards against measuring the time since the start of a host by the pooler's clock: if that is ahead, slow
/// start ends too early.
#[rstest]
fn a_host_that_has_just_started_is_in_slow_start_under_clock_skew(
    #[values(-HOUR_MS, -5000, 0, 5000, HOUR_MS)] offset_ms: i64,
) {
    let (primary, replica) = start_cluster(offset_ms, 10);
    let started_ms = unix_time().as_millis() as i64 + offset_ms - 500;
    let slow_start = Edit { from: r#""warmUp":1"#, to: r#""warmUp":60"# };
    let (pooler, _discovery) =
        start_pooler(primary.entry, replica.entry.with_start_time(started_ms), &[slow_start]);
    let mut client = connect_client(&pooler);
    for number in 0..200 {
        read(&mut client, number, "reports");
    }
    let at_replica = replica.answered.load(Ordering::Relaxed);
    assert!(
        (1..100).contains(&at_replica),
        "the replica answered {at_replica} of 200 reads at a fifth of its capacity"
    );
}

/// With this setting, clients carry the session token: the log position that reads of their session require.
const CARRIED_TOKENS: Edit = Edit { from: r#""writeMarks":"remembered""#, to: r#""writeMarks":"carried""# };

/// The replica lags by half a second, so that it has not yet replayed the preceding write when the read is
/// sent.
#[rstest]
fn a_session_sees_its_writes_under_clock_skew(
    #[values(-HOUR_MS, -5000, 0, 5000, HOUR_MS)] offset_ms: i64,
    #[values(false, true)] client_carries_token: bool,
) {
    let (primary, replica) = start_cluster(offset_ms, 500);
    let edits = if client_carries_token { vec![CARRIED_TOKENS] } else { Vec::new() };
    let (pooler, _discovery) = start_pooler(primary.entry, replica.entry, &edits);
    let mut client = connect_client(&pooler);
    for number in 0..READS {
        read(&mut client, format!("a{number}"), "reports");
        read(&mut client, format!("w{number}"), "order-write");
        let committed_at = unix_time().as_millis() as i64 + offset_ms;
        let before = replica.answered.load(Ordering::Relaxed);
        let request = Request::new(format!("s{number}"), "own-orders");
        let request = if client_carries_token { request.after(committed_at) } else { request };
        client.send(&request.message());
        client.expect_result();
        assert_eq!(
            replica.answered.load(Ordering::Relaxed),
            before,
            "read {number} went to the replica, which has not replayed the write"
        );
    }
}

/// A strong read must see all commits, which only the primary is certain to have.
#[rstest]
fn a_strong_read_goes_to_the_primary_under_clock_skew(#[values(-HOUR_MS, HOUR_MS)] offset_ms: i64) {
    let (primary, replica) = start_cluster(offset_ms, 0);
    let strong =
        Edit { from: r#"["bounded","session","any","write"]"#, to: r#"["fresh","session","any","write"]"# };
    let (pooler, _discovery) = start_pooler(primary.entry, replica.entry, &[strong]);
    let mut client = connect_client(&pooler);
    (0..READS).for_each(|number| read(&mut client, number, "browse"));
    assert_eq!(replica.answered.load(Ordering::Relaxed), 0);
}

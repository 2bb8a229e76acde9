//! A discovery service that is slow or crowded: a change must reach the pooler in time wherever the time that
//! the service takes leaves room for it.

mod service;

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::*;
use service::{Outage, Pace, SlowDiscovery};

/// A change counts as told this long after discovery had it and could be reached.
const TOLD_LIMIT: Duration = Duration::from_secs(6);
/// The grace within which queries to a draining host must end.
const GRACE: Duration = Duration::from_secs(2);
const DRAIN_GRACE: Edit = Edit { from: r#""drainGrace":20,"#, to: r#""drainGrace":2,"# };
/// Tolerance of the protocol for every time limit.
const TIME_LIMIT_TOLERANCE: Duration = Duration::from_millis(50);
/// How long an outage lasts.
const OUTAGE: Duration = Duration::from_secs(3);

/// Returns the lists before and after the drain of a host.
fn lists(host: &DatabaseHost) -> [EndpointList; 2] {
    let entry = host.entry("s-1", "here");
    let draining = entry.clone().with_status("DRAINING");
    [EndpointList::snapshot(41, [entry]), EndpointList::snapshot(42, [draining])]
}

/// Asserts that the pooler receives the list with the drain within the limit from now on.
#[track_caller]
fn expect_drain_in_time(pooler: &Pooler) {
    let limit = TOLD_LIMIT + TIME_LIMIT_TOLERANCE;
    let delay = pooler.time_until_logged(r#"("s-1", Draining)"#, 2 * limit);
    assert!(delay.is_some_and(|delay| delay <= limit), "the drain was received after {delay:?}");
}

const SLOW_HEAD: Pace = Pace::HeadAfter(Duration::from_secs(3));
const SLOWEST_HEAD: Pace = Pace::HeadAfter(Duration::from_secs(5));
const SLOWEST_LIST: Pace = Pace::ListOver(Duration::from_secs(5));

const FAST: Pace = Pace::HeadAfter(Duration::ZERO);

fn queue(milliseconds: u64) -> Pace {
    Pace::OneAfterAnother(Duration::from_millis(milliseconds))
}

/// Guards against giving up each call before a slow service has answered it.
#[rstest]
fn a_slow_service_is_heard_at_the_start(
    #[values(SLOW_HEAD, SLOWEST_HEAD, SLOWEST_LIST, queue(400), queue(1000), queue(2000), queue(3000))]
    pace: Pace,
) {
    let [known, changed] = lists(&DatabaseHost::new());
    let discovery = SlowDiscovery::start(pace, changed);
    let pooler = Pooler::start_with_discovery_address(&known, discovery.address(), &[DRAIN_GRACE]);
    expect_drain_in_time(&pooler);
}

/// Starts a pooler, waits for its first list, and lets the service fail for [`OUTAGE`], during which the list
/// changes. Asserts that the pooler receives the change in time.
#[track_caller]
fn check_outage(pace_before: Pace, outage: Outage, pace_after: Pace) {
    let host = DatabaseHost::new();
    let [known, changed] = lists(&host);
    let [unchanged, _] = lists(&host);
    let mut discovery = SlowDiscovery::start(pace_before, unchanged);
    let pooler = Pooler::start_with_discovery_address(&known, discovery.address(), &[DRAIN_GRACE]);
    let first_list = pooler.time_until_logged("endpoint list received", 2 * TOLD_LIMIT);
    first_list.expect("the first list was received");
    discovery.begin_outage(outage);
    std::thread::sleep(OUTAGE);
    discovery.end_outage(changed, pace_after);
    expect_drain_in_time(&pooler);
}

/// Guards against keeping only calls that a service took during its outage and never answers, and against
/// crowding one that answers calls in order.
#[rstest]
fn a_slow_service_is_heard_after_an_outage(
    #[values(SLOW_HEAD, SLOWEST_HEAD, SLOWEST_LIST, queue(400), queue(1000), queue(2000), queue(3000))]
    pace: Pace,
    #[values(Outage::Silent, Outage::Refused)] outage: Outage,
) {
    check_outage(pace, outage, pace);
}

/// Guards against giving up the calls that wait to be accepted.
#[rstest]
fn a_slow_service_is_heard_after_it_has_accepted_no_calls(
    #[values(SLOW_HEAD, SLOWEST_HEAD, SLOWEST_LIST, queue(400))] pace: Pace,
) {
    check_outage(pace, Outage::Unaccepted, pace);
}

/// The calls that the pooler has closed at its start keep the service busy after the outage.
#[rstest]
fn a_service_with_a_backlog_is_heard_after_it_has_accepted_no_calls(
    #[values(queue(1000), queue(2000), queue(3000))] pace: Pace,
) {
    check_outage(pace, Outage::Unaccepted, pace);
}

/// Guards against closing the oldest call, which a service that answers calls in order answers first.
#[rstest]
fn a_service_that_is_slow_since_an_outage_is_heard(
    #[values(SLOW_HEAD, SLOWEST_HEAD, SLOWEST_LIST, queue(400), queue(1000), queue(2000), queue(3000))]
    pace: Pace,
    #[values(Outage::Refused, Outage::Unaccepted)] outage: Outage,
) {
    check_outage(FAST, outage, pace);
}

/// Guards against keeping only the calls of the time before the return.
#[rstest]
fn a_service_that_is_slow_since_a_silent_outage_is_heard(
    #[values(SLOW_HEAD, SLOWEST_HEAD, SLOWEST_LIST, queue(400))] pace: Pace,
) {
    check_outage(FAST, Outage::Silent, pace);
}

/// The pooler repeats its calls quickly, since the service was fast before. Those that it closes keep the
/// service busy.
#[rstest]
fn a_service_that_is_crowded_since_a_silent_outage_is_heard(
    #[values(queue(1000), queue(2000), queue(3000))] pace: Pace,
) {
    check_outage(FAST, Outage::Silent, pace);
}

/// Guards against giving up the call to the new address of a slow service.
#[rstest]
fn a_slow_service_is_heard_at_a_new_address(
    #[values(SLOW_HEAD, SLOWEST_HEAD, SLOWEST_LIST, queue(400), queue(1000), queue(2000), queue(3000))]
    pace: Pace,
) {
    let host = DatabaseHost::new();
    let [known, changed] = lists(&host);
    let [unchanged, _] = lists(&host);
    let old = SlowDiscovery::start(FAST, unchanged);
    let new = SlowDiscovery::start(pace, changed);
    let pooler = Pooler::start_with_discovery_address(&known, old.address(), &[DRAIN_GRACE]);
    pooler.wait_for_log("endpoint list received");
    pooler.reload_with_replacement(&old.address().to_string(), &new.address().to_string());
    expect_drain_in_time(&pooler);
}

/// The values with which the hosts answer.
const FROM_DRAINING_HOST: &[u8] = b"draining";
const FROM_OTHER_HOST: &[u8] = b"serving";

/// Guards against sending queries to a draining host for as long as discovery answers each call after 3 s.
#[test]
fn no_query_is_sent_to_a_draining_host_later_than_its_grace_while_discovery_is_slow() {
    let (draining_host, other_host) = (DatabaseHost::new(), DatabaseHost::new());
    let (draining, other) = (draining_host.entry("s-1", "here"), other_host.entry("s-2", "there"));
    let received_at = draining_host.answer_queries(FROM_DRAINING_HOST, Role::Reader, Duration::ZERO);
    other_host.answer_queries(FROM_OTHER_HOST, Role::Reader, Duration::ZERO);
    let known = EndpointList::snapshot(41, [draining.clone(), other.clone()]);
    let discovery = SlowDiscovery::start(SLOW_HEAD, EndpointList::snapshot(41, [draining.clone(), other]));
    let pooler = Pooler::start_with_discovery_address(&known, discovery.address(), &[DRAIN_GRACE]);
    let mut client = connect_client(&pooler);
    let mut ask = |id: String| {
        client.send(&Request::new(id, "reports").message());
        client.receive_response().get(1).map(|row| row.body.clone()).unwrap_or_default()
    };
    assert!(ask("first".into()).ends_with(FROM_DRAINING_HOST));
    let drained_at = Instant::now();
    discovery.change_list(EndpointList::update(42, [draining.with_status("DRAINING")]));
    let limit = TOLD_LIMIT + GRACE + TIME_LIMIT_TOLERANCE;
    let mut number = 0;
    while drained_at.elapsed() < limit + Duration::from_secs(1) {
        number += 1;
        if ask(number.to_string()).ends_with(FROM_OTHER_HOST) {
            break;
        }
    }
    let last_query_at = received_at.lock().unwrap().last().copied().unwrap();
    let late = last_query_at.saturating_duration_since(drained_at);
    assert!(late <= limit, "a query was sent {late:?} after the drain began");
}

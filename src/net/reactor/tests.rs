//! Tests of the event loop, connection table, event tokens, timer queue and clock.

use mio::Token;
use rstest::rstest;

use super::connection_table::MAX_GENERATION;
use super::*;
use crate::time::Span;

/// System time at the start of the clock (Unix seconds).
const UNIX_SECONDS: f64 = 1_764_700_000.0;

/// A handler with two sources that have more work at hand whenever they are resumed, until a timer expires.
#[derive(Default)]
struct BusyHandler {
    resumptions: [Resumption; 2],
    /// The sources in the order in which they were resumed.
    resumed: Vec<usize>,
    is_finished: bool,
}

impl BusyHandler {
    fn schedule(&mut self, index: usize, context: &mut Context) {
        let id = ConnectionId { index: index as u32, generation: 0 };
        self.resumptions[index].schedule(EventSource::Client(id), &mut context.reactor);
    }
}

impl Handler for BusyHandler {
    fn ready(&mut self, _: EventSource, _: Readiness, _: &mut Context) {}

    fn resume(&mut self, source: EventSource, context: &mut Context) {
        let EventSource::Client(id) = source else { return };
        let index = id.index as usize;
        assert!(self.resumptions[index].take());
        self.resumed.push(index);
        // Scheduling it twice has no further effect.
        self.schedule(index, context);
        self.schedule(index, context);
    }

    fn timer_expired(&mut self, _: TimerEvent, _: &mut Context) {
        self.is_finished = true;
    }

    fn is_finished(&self) -> bool {
        self.is_finished
    }
}

#[test]
fn sources_that_always_have_more_work_take_turns_and_do_not_hold_up_timers() {
    let mut poll = Poll::new().unwrap();
    let reactor = Reactor::new(&poll).unwrap();
    let mut context = Context::new(reactor);
    let mut handler = BusyHandler::default();
    handler.schedule(0, &mut context);
    handler.schedule(1, &mut context);
    let expires_at = context.reactor.now() + Duration::from_millis(20);
    context.reactor.set_timer(expires_at, TimerEvent::IdleSweep);
    run(&mut poll, &mut handler, &mut context).unwrap();
    assert!(handler.resumed.len() > 2);
    assert!(handler.resumed.windows(2).all(|pair| pair[0] != pair[1]), "the sources take turns");
}

#[test]
fn stale_connection_id_does_not_reach_the_next_connection_in_its_slot() {
    let mut connections = ConnectionTable::new();
    let old = connections.insert("old");
    assert_eq!(EventSource::from(Token::from(EventSource::Backend(old))), EventSource::Backend(old));
    connections.remove(old);
    let new = connections.insert("new");
    assert_eq!(new.index, old.index);
    assert_eq!(connections.get_mut(old), None);
    assert_eq!(connections.remove(old), None);
    assert_eq!(connections.get_mut(new), Some(&mut "new"));
}

#[test]
fn table_iterates_over_the_connections_with_their_ids() {
    let mut connections = ConnectionTable::new();
    let first = connections.insert("first");
    let second = connections.insert("second");
    connections.remove(first);
    let third = connections.insert("third");
    let all: Vec<_> = connections.iter().collect();
    assert_eq!(all, [(third, &"third"), (second, &"second")]);
    assert_eq!(connections.len(), 2);
}

#[test]
fn every_source_keeps_its_identity_in_a_token() {
    let largest = ConnectionId { index: u32::MAX, generation: MAX_GENERATION };
    let smallest = ConnectionId { index: 0, generation: 0 };
    let mut sources = vec![EventSource::Listener, EventSource::Signals];
    for id in [smallest, largest] {
        sources.extend([EventSource::Client(id), EventSource::Backend(id), EventSource::Discovery(id)]);
    }
    for source in sources {
        assert_eq!(EventSource::from(Token::from(source)), source);
    }
}

#[test]
fn timers_expire_by_time_and_then_in_the_order_set() {
    let start = Instant::now();
    let after = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let mut timers = TimerQueue::default();
    timers.push(after(2.0), TimerEvent::Policy(3));
    timers.push(after(1.0), TimerEvent::Policy(1));
    timers.push(after(1.0), TimerEvent::Policy(2));
    assert_eq!(timers.next_expiry(), Some(after(1.0)));
    assert_eq!(timers.pop_expired(after(0.5)), None, "too early");
    assert_eq!(timers.pop_expired(after(1.0)), Some(TimerEvent::Policy(1)));
    assert_eq!(timers.pop_expired(after(1.0)), Some(TimerEvent::Policy(2)));
    assert_eq!(timers.pop_expired(after(1.0)), None, "the last one expires later");
    assert_eq!(timers.pop_expired(after(2.0)), Some(TimerEvent::Policy(3)));
    assert_eq!(timers.next_expiry(), None);
}

/// Converting policy time to an instant and back must be exact: otherwise a timer could call the policy
/// before the time that it asked for.
#[test]
fn policy_time_survives_conversion_to_an_instant_and_back() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..10_000 {
        let clock = Clock::new(Instant::now(), LocalInstant::from_secs(UNIX_SECONDS + rng.f64()));
        let now = clock.policy_time(Instant::now() + Duration::from_secs(1000).mul_f64(rng.f64()));
        let expires_at = now + Span::from_secs(rng.f64());
        assert_eq!(clock.policy_time(clock.instant_of(expires_at)), expires_at);
    }
}

#[rstest]
#[case::the_start(UNIX_SECONDS, 0)]
#[case::after_the_start(UNIX_SECONDS + 1.5, 1500)]
#[case::before_the_start(UNIX_SECONDS - 1.5, 0)]
#[case::zero(0.0, 0)]
#[case::minus_infinity(f64::NEG_INFINITY, 0)]
fn policy_time_converts_to_an_instant_not_before_the_start(#[case] seconds: f64, #[case] millis: u64) {
    let start = Instant::now();
    let clock = Clock::new(start, LocalInstant::from_secs(UNIX_SECONDS));
    assert_eq!(clock.instant_of(LocalInstant::from_secs(seconds)), start + Duration::from_millis(millis));
}

#[rstest]
#[case::large(1e18)]
#[case::largest(f64::MAX)]
#[case::infinite(f64::INFINITY)]
#[case::not_a_number(f64::NAN)]
fn out_of_range_times_are_clamped_to_the_far_future(#[case] seconds: f64) {
    let start = Instant::now();
    let clock = Clock::new(start, LocalInstant::from_secs(UNIX_SECONDS));
    let fifty_years = Duration::from_secs(50 * 365 * 24 * 60 * 60);
    assert!(clock.instant_of(LocalInstant::from_secs(seconds)) > start + fifty_years);
    assert!(duration_of(Span::from_secs(seconds)) > fifty_years);
}

#[rstest]
#[case(0.25, Duration::from_millis(250))]
#[case(0.0, Duration::ZERO)]
#[case(-0.25, Duration::ZERO)]
#[case(f64::NEG_INFINITY, Duration::ZERO)]
fn negative_spans_become_zero_durations(#[case] seconds: f64, #[case] expected: Duration) {
    assert_eq!(duration_of(Span::from_secs(seconds)), expected);
}

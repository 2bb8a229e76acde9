//! Tests of the connection table, the event tokens and the timer queue.

use mio::Token;

use super::connection_table::MAX_GENERATION;
use super::*;

#[test]
fn stale_connection_id_does_not_reach_the_next_connection_in_its_slot() {
    let mut connections = ConnectionTable::new();
    let old = connections.insert("old");
    assert_eq!(EventSource::from(Token::from(EventSource::Server(old))), EventSource::Server(old));
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
        sources.extend([EventSource::Client(id), EventSource::Server(id), EventSource::Discovery(id)]);
    }
    for source in sources {
        assert_eq!(EventSource::from(Token::from(source)), source);
    }
}

#[test]
fn timers_expire_by_time_and_then_in_the_order_set() {
    let mut timers = TimerQueue::default();
    timers.push(2.0, TimerEvent::Policy(3));
    timers.push(1.0, TimerEvent::Policy(1));
    timers.push(1.0, TimerEvent::Policy(2));
    assert_eq!(timers.next_expiry(), Some(1.0));
    assert_eq!(timers.pop_expired(0.5), None, "too early");
    assert_eq!(timers.pop_expired(1.0), Some(TimerEvent::Policy(1)));
    assert_eq!(timers.pop_expired(1.0), Some(TimerEvent::Policy(2)));
    assert_eq!(timers.pop_expired(1.0), None, "the last one expires later");
    assert_eq!(timers.pop_expired(2.0), Some(TimerEvent::Policy(3)));
    assert_eq!(timers.next_expiry(), None);
}

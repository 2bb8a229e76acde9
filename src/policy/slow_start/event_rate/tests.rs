use super::*;
use crate::time::tests::{at, secs};

const TIME_CONSTANT: Span = secs(2.0);

/// Records an event every `interval` seconds from `start` until `end`.
fn record_evenly(rate: &mut EventRate, interval: f64, start: f64, end: f64) {
    let count = ((end - start) / interval).round() as u32;
    (0..count).for_each(|index| rate.record(1.0, at(start + f64::from(index) * interval), TIME_CONSTANT));
}

#[test]
fn a_rate_is_accurate_from_the_start_and_follows_a_change_within_its_time_constant() {
    let mut rate = EventRate::starting_at(at(100.0));
    assert_eq!(rate.per_second(at(100.0), TIME_CONSTANT), 0.0);
    record_evenly(&mut rate, 0.01, 100.0, 100.5);
    assert!((rate.per_second(at(100.5), TIME_CONSTANT) - 100.0).abs() < 2.0, "after half a second");
    record_evenly(&mut rate, 0.002, 100.5, 110.5);
    assert!((rate.per_second(at(110.5), TIME_CONSTANT) - 500.0).abs() < 10.0, "after five time constants");
    assert!(rate.per_second(at(130.5), TIME_CONSTANT) < 0.1, "after twenty seconds without an event");
}

#[test]
fn the_rates_of_many_poolers_with_few_events_add_up_to_the_rate_of_all() {
    let sum: f64 = (0..100)
        .map(|pooler| {
            let mut rate = EventRate::starting_at(at(100.0));
            // One event in two seconds, at a different time at each pooler.
            rate.record(1.0, at(100.0 + 0.02 * f64::from(pooler)), secs(60.0));
            rate.per_second(at(102.0), secs(60.0))
        })
        .sum();
    assert!((sum - 50.0).abs() < 2.0, "{sum} in place of 50 per second");
}

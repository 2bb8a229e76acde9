use std::time::Duration;

use super::*;

/// Returns the instant `seconds` after `start`.
fn after(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

#[test]
fn the_last_byte_of_a_message_decides_when_it_was_received() {
    let (start, mut times) = (Instant::now(), ArrivalTimes::default());
    times.record(10, 0, after(start, 1));
    times.record(30, 0, after(start, 2));
    assert_eq!(times.received_at(10), Some(after(start, 1)));
    assert_eq!(times.received_at(11), Some(after(start, 2)));
    assert_eq!(times.received_at(30), Some(after(start, 2)));
}

#[test]
fn a_read_without_new_bytes_is_not_an_arrival() {
    let (start, mut times) = (Instant::now(), ArrivalTimes::default());
    times.record(10, 0, after(start, 1));
    times.record(10, 0, after(start, 2));
    assert_eq!(times.received_at(10), Some(after(start, 1)));
}

#[test]
fn arrival_times_of_consumed_input_are_dropped() {
    let (start, mut times) = (Instant::now(), ArrivalTimes::default());
    times.record(10, 0, after(start, 1));
    times.record(10, 10, after(start, 2));
    assert_eq!(times.received_at(10), None);
    assert!(times.arrivals.is_empty());
}

#[test]
fn the_number_of_arrival_times_is_limited() {
    let (start, mut times) = (Instant::now(), ArrivalTimes::default());
    let most = MAX_ARRIVAL_TIMES as u64;
    for n in 1..=2 * most {
        times.record(n, 0, after(start, n));
    }
    assert_eq!(times.arrivals.len(), MAX_ARRIVAL_TIMES);
    assert_eq!(times.received_at(1), Some(after(start, 1)));
    assert_eq!(times.received_at(2 * most), Some(after(start, most)));
}

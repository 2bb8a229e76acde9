use super::*;

#[test]
fn the_last_byte_of_a_message_decides_when_it_was_received() {
    let mut times = ArrivalTimes::default();
    times.record(10, 0, 1.0);
    times.record(30, 0, 2.0);
    assert_eq!(times.received_at(10), Some(1.0));
    assert_eq!(times.received_at(11), Some(2.0));
    assert_eq!(times.received_at(30), Some(2.0));
}

#[test]
fn a_read_without_new_bytes_is_not_an_arrival() {
    let mut times = ArrivalTimes::default();
    times.record(10, 0, 1.0);
    times.record(10, 0, 2.0);
    assert_eq!(times.received_at(10), Some(1.0));
}

#[test]
fn consumed_input_is_forgotten() {
    let mut times = ArrivalTimes::default();
    times.record(10, 0, 1.0);
    times.record(10, 10, 2.0);
    assert_eq!(times.received_at(10), None);
    assert!(times.arrivals.is_empty());
}

#[test]
fn the_number_of_arrival_times_is_limited() {
    let mut times = ArrivalTimes::default();
    let most = MAX_ARRIVAL_TIMES as u64;
    for n in 1..=2 * most {
        times.record(n, 0, n as f64);
    }
    assert_eq!(times.arrivals.len(), MAX_ARRIVAL_TIMES);
    assert_eq!(times.received_at(1), Some(1.0));
    assert_eq!(times.received_at(2 * most), Some(most as f64));
}

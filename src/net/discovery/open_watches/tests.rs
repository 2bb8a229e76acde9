use std::time::Duration;

use rstest::rstest;

use super::*;

const INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a service takes for a response head.
const SLOWEST_ANSWER: Duration = Duration::from_secs(5);

#[test]
fn the_only_unanswered_watch_is_never_redundant() {
    let now = Instant::now();
    assert_eq!(redundant(&[], now), None);
    assert_eq!(redundant(&[now], now + INTERVAL), None);
    assert_eq!(redundant(&[now, now + INTERVAL], now + 2 * INTERVAL), Some(1));
}

#[test]
fn a_watch_is_redundant_if_its_neighbors_are_close_together() {
    let start = Instant::now();
    let opened_at = [0, 800, 1600, 1700, 1800].map(|millis| start + Duration::from_millis(millis));
    assert_eq!(redundant(&opened_at, start + Duration::from_millis(2600)), Some(3));
}

/// Guards against gaps in which a service may become reachable and then is not heard within 6 s.
#[rstest]
fn a_service_that_becomes_reachable_at_any_time_is_called_soon_and_has_time_to_answer(
    #[values(12, 32, 48)] max_unanswered: usize,
) {
    let start = Instant::now();
    let mut opened_at: Vec<Instant> = Vec::new();
    for number in 0..300 {
        let now = start + number * INTERVAL;
        if opened_at.len() >= max_unanswered {
            opened_at.remove(redundant(&opened_at, now).expect("there are several"));
        }
        opened_at.push(now);
        assert_eq!(opened_at[0], start, "the oldest is never closed");
        let answered_from = now.checked_sub(SLOWEST_ANSWER).unwrap_or(start);
        let recent: Vec<_> = opened_at.iter().filter(|at| **at >= answered_from).collect();
        let gaps = recent.windows(2).map(|pair| *pair[1] - *pair[0]);
        assert!(gaps.max().unwrap_or_default() <= MAX_GAP, "{number}");
        if number > 50 {
            assert!(*recent[0] - answered_from <= MAX_GAP, "{number}");
        }
    }
}

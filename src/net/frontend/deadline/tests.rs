use rstest::rstest;

use super::*;

/// Longer than any other timeout.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(9);

#[rstest]
#[case::send(ExpectedAction::Send, CLIENT_SEND_TIMEOUT)]
#[case::read(ExpectedAction::Read, CLIENT_READ_TIMEOUT)]
#[case::close(ExpectedAction::Close, LINGER_TIMEOUT)]
fn each_action_has_its_timeout(#[case] action: ExpectedAction, #[case] timeout: Duration) {
    let now = Instant::now();
    let mut deadline = ClientDeadline::new(CLIENT_READ_TIMEOUT);
    assert_eq!(deadline.update(Some(action), now), Some(now + timeout));
    assert!(!deadline.has_expired(now + timeout - Duration::from_millis(1)));
    assert!(deadline.has_expired(now + timeout));
}

#[test]
fn a_deadline_is_unchanged_while_the_same_action_is_expected() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut deadline = ClientDeadline::new(CLIENT_READ_TIMEOUT);
    deadline.update(Some(ExpectedAction::Send), now);
    assert_eq!(deadline.update(Some(ExpectedAction::Send), later), None, "no new timer is set");
    assert!(deadline.has_expired(now + CLIENT_SEND_TIMEOUT));
    assert_eq!(deadline.update(Some(ExpectedAction::Read), later), None, "the earlier timer is still set");
    assert!(!deadline.has_expired(now + CLIENT_SEND_TIMEOUT));
    assert_eq!(deadline.timer_expired(now + CLIENT_SEND_TIMEOUT), Some(later + CLIENT_READ_TIMEOUT));
    assert!(deadline.has_expired(later + CLIENT_READ_TIMEOUT));
}

/// Guards against one more timer for each query of a client that sends at full speed, which all stayed until
/// they expired.
#[test]
fn a_client_has_one_timer_however_often_its_deadline_moves() {
    let now = Instant::now();
    let mut deadline = ClientDeadline::new(CLIENT_READ_TIMEOUT);
    let mut timers = Vec::new();
    for millis in 0..1000 {
        let at = now + Duration::from_millis(millis);
        timers.extend(deadline.update(Some(ExpectedAction::Send), at));
        timers.extend(deadline.update(None, at));
    }
    assert_eq!(timers, [now + CLIENT_SEND_TIMEOUT]);
    assert_eq!(deadline.timer_expired(now + CLIENT_SEND_TIMEOUT), None, "no action is expected");
}

/// Guards against keeping a client forever that has missed one deadline and then misses the next.
#[test]
fn the_deadline_after_a_missed_one_has_a_timer() {
    let now = Instant::now();
    let missed_at = now + CLIENT_SEND_TIMEOUT;
    let mut deadline = ClientDeadline::new(CLIENT_READ_TIMEOUT);
    deadline.update(Some(ExpectedAction::Send), now);
    assert_eq!(deadline.timer_expired(missed_at), None);
    assert!(deadline.has_expired(missed_at));
    assert_eq!(deadline.update(Some(ExpectedAction::Close), missed_at), Some(missed_at + LINGER_TIMEOUT));
}

#[test]
fn an_earlier_deadline_has_a_timer_of_its_own() {
    let now = Instant::now();
    let mut deadline = ClientDeadline::new(CLIENT_READ_TIMEOUT);
    deadline.update(Some(ExpectedAction::Read), now);
    assert_eq!(deadline.update(Some(ExpectedAction::Close), now), Some(now + LINGER_TIMEOUT));
}

#[test]
fn nothing_expires_while_no_action_is_expected() {
    let now = Instant::now();
    let mut deadline = ClientDeadline::new(CLIENT_READ_TIMEOUT);
    deadline.update(Some(ExpectedAction::Send), now);
    assert_eq!(deadline.update(None, now), None);
    assert!(!deadline.has_expired(now + CLIENT_READ_TIMEOUT));
}

/// The deadline of a client that reads slowly restarts with each part of the output that it reads.
#[test]
fn a_cleared_deadline_restarts() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut deadline = ClientDeadline::new(CLIENT_READ_TIMEOUT);
    deadline.update(Some(ExpectedAction::Read), now);
    deadline.clear();
    assert_eq!(deadline.update(Some(ExpectedAction::Read), later), None, "the earlier timer is still set");
    assert_eq!(deadline.timer_expired(now + CLIENT_READ_TIMEOUT), Some(later + CLIENT_READ_TIMEOUT));
    assert!(!deadline.has_expired(now + CLIENT_READ_TIMEOUT));
    assert!(deadline.has_expired(later + CLIENT_READ_TIMEOUT));
}

#[test]
fn responses_may_be_read_for_longer_than_any_deadline() {
    let longest = Duration::from_secs(8);
    assert_eq!(client_read_timeout(longest), longest + CLIENT_READ_MARGIN);
    assert_eq!(client_read_timeout(Duration::ZERO), CLIENT_SEND_TIMEOUT + CLIENT_READ_MARGIN);
}

use rstest::rstest;

use super::*;

/// Longer than any other timeout.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(9);

#[rstest]
#[case::send(DueAction::Send, CLIENT_SEND_TIMEOUT)]
#[case::read(DueAction::Read, RESPONSE_TIMEOUT)]
#[case::close(DueAction::Close, CLOSE_LINGER)]
fn each_action_has_its_timeout(#[case] action: DueAction, #[case] timeout: Duration) {
    let now = Instant::now();
    let mut deadline = ClientDeadline::new(RESPONSE_TIMEOUT);
    assert_eq!(deadline.update(Some(action), now), Some(now + timeout));
    assert!(!deadline.has_expired(now + timeout - Duration::from_millis(1)));
    assert!(deadline.has_expired(now + timeout));
}

#[test]
fn a_deadline_stays_as_long_as_the_same_is_due() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut deadline = ClientDeadline::new(RESPONSE_TIMEOUT);
    deadline.update(Some(DueAction::Send), now);
    assert_eq!(deadline.update(Some(DueAction::Send), later), None, "no timer is set anew");
    assert!(deadline.has_expired(now + CLIENT_SEND_TIMEOUT));
    assert_eq!(deadline.update(Some(DueAction::Read), later), Some(later + RESPONSE_TIMEOUT));
    assert!(!deadline.has_expired(now + CLIENT_SEND_TIMEOUT));
}

#[test]
fn nothing_expires_while_nothing_is_due() {
    let now = Instant::now();
    let mut deadline = ClientDeadline::new(RESPONSE_TIMEOUT);
    deadline.update(Some(DueAction::Send), now);
    assert_eq!(deadline.update(None, now), None);
    assert!(!deadline.has_expired(now + RESPONSE_TIMEOUT));
}

/// The time of a client that reads slowly starts anew with each part that it has read.
#[test]
fn a_cleared_deadline_starts_anew() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut deadline = ClientDeadline::new(RESPONSE_TIMEOUT);
    deadline.update(Some(DueAction::Read), now);
    deadline.clear();
    assert_eq!(deadline.update(Some(DueAction::Read), later), Some(later + RESPONSE_TIMEOUT));
}

#[test]
fn responses_may_be_read_for_longer_than_any_deadline() {
    let longest = Duration::from_secs(8);
    assert_eq!(response_timeout(longest), longest + READ_MARGIN);
    assert_eq!(response_timeout(Duration::ZERO), CLIENT_SEND_TIMEOUT + READ_MARGIN);
}

//! All time limits of watches, which together have to keep one promise: a change of the endpoint list reaches
//! the pooler within [`CHANGE_DELAY_LIMIT`] after the service has it and can be reached, if the service takes
//! no more than [`SLOWEST_ANSWER`] for a response head or for a list.
//!
//! The policy adds the pause before a request (`src/policy/watch.rs`), which is a share of the drain grace and
//! at most [`MAX_GAP`].

use std::time::Duration;

/// A change counts as known to the pooler this long after the service had it and could be reached.
const CHANGE_DELAY_LIMIT: Duration = Duration::from_secs(6);
/// Longest time for a response head, or for a list, with which the limit can be kept.
const SLOWEST_ANSWER: Duration = Duration::from_secs(5);

/// Longest time between two unanswered watches that may arise by closing the one between them.
pub(super) const MAX_GAP: Duration = Duration::from_millis(800);
/// An unanswered watch is reported as failed after this time. It stays open.
pub(super) const RESPONSE_HEAD_LIMIT: Duration = Duration::from_millis(2500);
/// An answered watch on which nothing is received for this time is overdue. Heartbeats are expected every 2 s.
pub(super) const IDLE_LIMIT: Duration = Duration::from_millis(2800);
/// A watch is overdue if a list that has begun is not complete after this time.
pub(super) const LIST_LIMIT: Duration = Duration::from_millis(2800);
/// An answered watch is closed if it is silent, or a list is incomplete, for this time.
pub(super) const CLOSE_LIMIT: Duration = Duration::from_secs(7);
/// How often an overdue watch is checked.
pub(super) const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

// A service that becomes reachable just after a watch was opened answers the next one in time.
const _: () = assert!(MAX_GAP.as_millis() + SLOWEST_ANSWER.as_millis() < CHANGE_DELAY_LIMIT.as_millis());
// A list that takes as long as the slowest answer is received on a watch that is overdue.
const _: () = assert!(CLOSE_LIMIT.as_millis() > SLOWEST_ANSWER.as_millis());
// What a silent watch misses is requested anew in time.
const _: () = assert!(IDLE_LIMIT.as_millis() + MAX_GAP.as_millis() < CHANGE_DELAY_LIMIT.as_millis());

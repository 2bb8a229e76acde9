//! Tests of the claims to request IDs.

use super::*;

#[test]
fn an_id_has_one_claim_at_a_time() {
    let (ids, now) = (RequestIds::default(), Instant::now());
    let claim = ids.claim("a", now);
    assert!(claim.is_some());
    assert!(ids.clone().claim("a", now).is_none(), "clones share the IDs");
    assert!(ids.claim("b", now).is_some());
    drop(claim);
    assert!(ids.claim("a", now).is_some());
}

#[test]
fn the_id_of_a_request_that_may_still_run_is_kept_for_a_while() {
    let (ids, now) = (RequestIds::default(), Instant::now());
    let mut claim = ids.claim("a", now).unwrap();
    claim.retain(now);
    drop(claim);
    assert!(ids.claim("a", now + RETENTION - Duration::from_nanos(1)).is_none());
    assert!(ids.claim("a", now + RETENTION).is_some());
}

/// Clients that leave again and again, each time with a new ID, must not use up the memory.
#[test]
fn a_limited_number_of_ids_is_kept() {
    let (ids, now) = (RequestIds::default(), Instant::now());
    for number in 0..2 * MAX_RETAINED {
        ids.claim(&number.to_string(), now).unwrap().retain(now);
    }
    assert_eq!(ids.table.borrow().in_use.len(), MAX_RETAINED);
    assert!(ids.claim("0", now).is_some());
    assert!(ids.claim(&(2 * MAX_RETAINED - 1).to_string(), now).is_none());
}

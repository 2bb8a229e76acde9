//! Tests of the claims to request IDs.

use super::RequestIds;

#[test]
fn an_id_has_one_claim_at_a_time() {
    let ids = RequestIds::default();
    let claim = ids.claim("a");
    assert!(claim.is_some());
    assert!(ids.clone().claim("a").is_none(), "clones share the IDs");
    assert!(ids.claim("b").is_some());
    drop(claim);
    assert!(ids.claim("a").is_some());
}

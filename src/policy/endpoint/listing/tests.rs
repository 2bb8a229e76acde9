use super::*;
use crate::time::tests::at;

#[test]
fn an_announced_drain_survives_removal_and_ends_when_the_endpoint_serves_again() {
    let mut listing = Listing::new(0, 0);
    let entry = |status| Endpoint { id: "db-1".into(), status, ..Endpoint::default() };
    for (status, is_announced) in [
        (EndpointStatus::Removed, false),
        (EndpointStatus::Draining, true),
        (EndpointStatus::Removed, true),
        (EndpointStatus::Serving, false),
    ] {
        listing.apply_entry(UpdateKind::Delta, &entry(status), at(1.0));
        assert_eq!(listing.is_drain_announced(), is_announced, "{status:?}");
    }
}

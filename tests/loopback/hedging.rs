//! Hedged requests: a second attempt on another host while the first is still in flight.

use crate::harness::*;

/// Allows hedged requests. An attempt is overdue after 1.2 s; the connect timeout is longer, so that an
/// attempt whose connection is not yet established does not fail before that.
const HEDGING: [Edit; 3] = [
    Edit { from: r#""probes":false"#, to: r#""probes":false,"mayDuplicate":true"# },
    Edit { from: r#""aim":8"#, to: r#""aim":2"# },
    Edit { from: r#""connectTimeout":1"#, to: r#""connectTimeout":5"# },
];

/// A read whose first attempt waits for the startup of its connection and whose second attempt is sent.
struct HedgedRead {
    pooler: Pooler,
    _discovery: DiscoveryService,
    _hosts: [DatabaseHost; 2],
    client: Connection,
    first: Connection,
    second: Connection,
}

impl HedgedRead {
    fn start() -> HedgedRead {
        let (near, far) = (DatabaseHost::new(), DatabaseHost::new());
        let discovery = DiscoveryService::new();
        let known = EndpointList::snapshot(41, [near.entry("s-1", "here"), far.entry("s-2", "there")]);
        let pooler = Pooler::start(&known, &discovery, &HEDGING);
        let mut client = connect_client(&pooler);
        client.send(&Request::new("1", "reports").message());
        let first = near.accept_unanswered_startup();
        let mut second = far.accept();
        second.expect_request("1");
        HedgedRead { pooler, _discovery: discovery, _hosts: [near, far], client, first, second }
    }
}

/// Guards against recording only the connection of the latest attempt. The first attempt was then sent as
/// soon as its connection was established, although the client already had its answer.
#[test]
fn an_unsent_attempt_is_cancelled_once_its_request_is_answered() {
    let mut read = HedgedRead::start();
    read.second.send_result(BINARY_VALUE, Role::Reader);
    read.client.expect_result();
    read.pooler.wait_until_events_handled();
    read.first.complete_startup();
    read.first.expect_closed_without_query();
}

#[test]
fn all_attempts_of_a_client_that_disconnects_are_cancelled() {
    let mut read = HedgedRead::start();
    drop(read.client);
    read.second.expect_closed();
    read.first.complete_startup();
    read.first.expect_closed_without_query();
    read.pooler.expect_counters(" cancelled=2 ");
}

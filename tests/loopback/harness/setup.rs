//! Setup steps that the tests share.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::wire::result_response_with_position;
use super::{
    connect_client, Connection, DatabaseHost, DiscoveryService, Edit, EndpointList, Pooler, Request, Role,
};

/// A value that is not valid UTF-8 and contains a zero byte.
pub const BINARY_VALUE: &[u8] = b"\x9f\x00\x03";

/// Limits the pooler to three client connections: half of the 6 descriptors that remain besides the 16
/// reserved ones.
pub const THREE_CLIENT_LIMIT: Edit = Edit { from: r#""sockets":1024"#, to: r#""sockets":22"# };

/// Enables health checks.
pub const HEALTH_CHECKS: Edit = Edit { from: r#""probes":false"#, to: r#""probes":true"# };

/// Starts a pooler that knows one database host, and a discovery service that has not sent a list.
pub fn start_with_one_host(host: &DatabaseHost, edits: &[Edit]) -> (Pooler, DiscoveryService) {
    let discovery = DiscoveryService::new();
    let known = EndpointList::snapshot(41, [host.entry("s-1", "here")]);
    (Pooler::start(&known, &discovery, edits), discovery)
}

/// The group of the primary that [`start_with_known_clock`] starts.
const OTHER_GROUP: u32 = 3;

/// Starts a pooler that knows one database host, and the primary of another group. The response of this
/// primary to a read has told the pooler the database hosts' clock.
pub fn start_with_known_clock(
    host: &DatabaseHost,
    edits: &[Edit],
) -> (Pooler, DiscoveryService, DatabaseHost) {
    let discovery = DiscoveryService::new();
    let primary = DatabaseHost::new();
    let primary_entry = primary.entry("s-9", "there").with_group(OTHER_GROUP).with_access("writer");
    let known = EndpointList::snapshot(41, [host.entry("s-1", "here"), primary_entry]);
    let pooler = Pooler::start(&known, &discovery, edits);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("clock", "browse").group(OTHER_GROUP).message());
    let mut backend = primary.accept();
    backend.receive_query();
    let position = unix_time().as_millis() as i64;
    backend.send(&result_response_with_position(BINARY_VALUE, Role::Writer, position));
    client.receive_response();
    (pooler, discovery, primary)
}

/// Starts a pooler that knows two database hosts. It prefers the first, which is in its own zone.
pub fn start_with_two_hosts(near: &DatabaseHost, far: &DatabaseHost) -> (Pooler, DiscoveryService) {
    let discovery = DiscoveryService::new();
    let known = EndpointList::snapshot(41, [near.entry("s-1", "here"), far.entry("s-2", "there")]);
    (Pooler::start(&known, &discovery, &[]), discovery)
}

/// Sends a read and expects it on a new connection to `host`. Returns that connection, on which the read is
/// not yet answered.
pub fn start_read(host: &DatabaseHost, client: &mut Connection, id: impl ToString) -> Connection {
    client.send(&Request::new(id, "reports").message());
    let mut backend = host.accept();
    backend.receive_query();
    backend
}

/// Sends a read, expects it on a new connection to `host` and answers it. Returns that connection, which the
/// pooler keeps in its pool of idle connections.
pub fn complete_read(host: &DatabaseHost, client: &mut Connection) -> Connection {
    let mut backend = start_read(host, client, "warm");
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.receive_response();
    backend
}

/// Sends a read from each client and expects each on a new connection to `host`. Returns these connections,
/// on which the reads are not yet answered.
pub fn start_reads(host: &DatabaseHost, clients: &mut [Connection]) -> Vec<Connection> {
    clients.iter_mut().enumerate().map(|(number, client)| start_read(host, client, number)).collect()
}

/// Sends a write, which `host` answers as the primary. Returns the connection on which it was sent.
pub fn complete_write(host: &DatabaseHost, client: &mut Connection) -> Connection {
    client.send(&Request::new("0", "order-write").message());
    let mut backend = host.accept();
    backend.receive_query();
    backend.send_result(BINARY_VALUE, Role::Writer);
    client.receive_response();
    backend
}

/// Returns the time since the Unix epoch, on which log positions and the times in load reports are based.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

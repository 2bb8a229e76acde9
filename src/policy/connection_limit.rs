//! Connections of the whole fleet at an endpoint: where it refuses new ones, idle ones are closed.

use crate::policy::cluster::Cluster;
use crate::time::LocalInstant;

/// Fewer poolers than this cannot exhaust an endpoint's connections with idle ones.
const MIN_POOLERS: u32 = 200;

/// Whether endpoints are short of connections.
#[derive(Default)]
pub(crate) struct ConnectionLimit {
    /// Until then endpoints are taken to have no connections to spare.
    reached_until: Option<LocalInstant>,
}

impl ConnectionLimit {
    /// Notes that an endpoint has refused a connection.
    pub(crate) fn record_refusal(&mut self, cluster: &Cluster) {
        if cluster.settings().pooler_count > MIN_POOLERS {
            self.reached_until = Some(cluster.now() + cluster.settings().max_watch_gap);
        }
    }

    /// Whether idle connections are to be closed.
    pub(crate) fn is_reached(&self, now: LocalInstant) -> bool {
        self.reached_until.is_some_and(|until| now < until)
    }
}

//! Shortage of connections at endpoints: all poolers together may use up those that an endpoint accepts, most
//! of them idle. After a refusal, idle connections are closed for some time.

use crate::policy::cluster::Cluster;
use crate::time::LocalInstant;

/// So many poolers or fewer cannot exhaust an endpoint's connections with idle ones.
const MAX_HARMLESS_POOLERS: u32 = 200;

/// Whether endpoints are short of connections.
#[derive(Default)]
pub(crate) struct ConnectionShortage {
    /// Until then endpoints are taken to have no connections to spare.
    expected_until: Option<LocalInstant>,
}

impl ConnectionShortage {
    /// Notes that an endpoint has refused a connection.
    pub(crate) fn record_refusal(&mut self, cluster: &Cluster) {
        if cluster.settings().pooler_count > MAX_HARMLESS_POOLERS {
            self.expected_until = Some(cluster.now() + cluster.settings().max_watch_gap);
        }
    }

    /// Whether idle connections are to be closed.
    pub(crate) fn is_active(&self, now: LocalInstant) -> bool {
        self.expected_until.is_some_and(|until| now < until)
    }
}

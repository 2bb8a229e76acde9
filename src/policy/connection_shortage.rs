//! Connection shortage at endpoints: the idle connections of all poolers together can exhaust the connection
//! limit of an endpoint. After an endpoint has refused a connection, idle connections are closed for a while.

use crate::policy::cluster::Cluster;
use crate::time::LocalInstant;

/// Up to this number of poolers, idle connections alone cannot exhaust the connection limit of an endpoint.
const MAX_POOLERS_WITHOUT_SHORTAGE: u32 = 200;

/// Tracks whether endpoints are assumed to be short of connections.
#[derive(Default)]
pub(crate) struct ConnectionShortage {
    /// End of the latest assumed shortage; `None` if there was none.
    active_until: Option<LocalInstant>,
}

impl ConnectionShortage {
    /// Records that an endpoint has refused a connection.
    pub(crate) fn record_refusal(&mut self, cluster: &Cluster) {
        if cluster.settings().pooler_count > MAX_POOLERS_WITHOUT_SHORTAGE {
            self.active_until = Some(cluster.now() + cluster.settings().max_watch_gap);
        }
    }

    /// Returns `true` if idle connections should be closed now.
    pub(crate) fn is_active(&self, now: LocalInstant) -> bool {
        self.active_until.is_some_and(|until| now < until)
    }
}

//! What the policy keeps of endpoints, groups and requests: plain data and containers. Nothing is decided
//! here; every threshold and weight belongs to [`crate::policy`].

mod cluster_clock;
mod endpoint;
mod endpoint_table;
mod event_rate;
mod group;
mod latency;
mod policy;
mod request;
mod request_table;
mod sampling;
mod session_table;
mod slow_start_budget;
#[cfg(test)]
mod tests;
mod token_bucket;
mod watch;

pub(crate) use cluster_clock::{ClusterClock, OffsetBound, OffsetInterval};
pub(crate) use endpoint::{EndpointState, OutlierDetector, RoleClaim};
pub(crate) use endpoint_table::{EndpointKey, EndpointTable};
pub(crate) use event_rate::EventRate;
pub(crate) use group::Group;
pub(crate) use latency::LatencyEstimator;
pub use policy::Policy;
pub(crate) use request::{Attempt, PendingRequest};
pub(crate) use request_table::{AttemptInFlight, RequestKey, RequestTable};
pub(crate) use sampling::two_of;
pub(crate) use session_table::SessionTable;
pub(crate) use slow_start_budget::SlowStartBudget;
pub(crate) use token_bucket::TokenBucket;
pub(crate) use watch::Watch;

//! Integration tests of the pooler program over loopback.
//!
//! Each test starts the program as a child process between scripted clients, database hosts and a scripted
//! discovery service. The unit tests in `src` cover the decisions; these tests cover what depends on real
//! sockets and processes: partial reads, resets, half-closed connections, limits and signals.
#![allow(clippy::unwrap_used, reason = "a panic is how a test fails, also in its helper functions")]

mod attempts;
mod backend_pool;
mod cancellation;
mod client_limits;
mod client_protocol;
mod clocks;
mod deadlines;
mod discovery;
mod discovery_outages;
mod fairness;
mod harness;
mod hedging;
mod log_lines;
mod malformed_responses;
mod pipelining;
mod request_ids;
mod routing;
mod shutdown_and_reload;
mod slow_discovery;
mod slow_start;
mod soak;

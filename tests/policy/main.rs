//! Tests of the routing policy through its public interface: events go in and actions come out.
//!
//! Each module covers one area of the policy. `harness` holds the shared helpers.
#![allow(clippy::unwrap_used, reason = "a panic is how a test fails, also in its helper functions")]

mod admission;
mod endpoint_list;
mod event_handling;
mod harness;
mod invariants;
mod outlier_detection;
mod primary;
mod read_routing;
mod retries;
mod send_check;
mod sessions;
mod settings;
mod slow_start;
mod slow_start_failover;

//! Tests of the routing policy, driven through its public interface: events go in, actions come out.
//!
//! Each module covers one concern of the policy; `harness` holds what they share.
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
mod sessions;
mod settings;
mod slow_start;

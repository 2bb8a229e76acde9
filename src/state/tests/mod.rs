//! Unit tests of the containers that the policy keeps its data in.

mod cluster_clock;
mod endpoint;
mod endpoint_table;
mod estimates;
mod outlier_detector;
mod request_table;
mod session_table;

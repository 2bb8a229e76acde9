//! The operator's log: one line per event on standard error.

use std::io;

/// Has all log events written to standard error: time, level, message and fields, without colour.
///
/// An event that cannot be written is dropped. A closed standard error is no reason to stop serving.
pub(crate) fn init() {
    // Fails only where a subscriber is installed already. That one is kept.
    let _ = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_target(false)
        .log_internal_errors(false)
        .try_init();
}

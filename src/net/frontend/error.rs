//! The error of a client connection.

use std::io;

use crate::net::buffer::CapacityExceeded;

/// The connection is closed by its client, broken, or out of memory, and has to be removed.
#[derive(Debug, thiserror::Error)]
#[error("the client connection is closed")]
pub(super) struct ConnectionClosed;

impl From<CapacityExceeded> for ConnectionClosed {
    fn from(_: CapacityExceeded) -> ConnectionClosed {
        ConnectionClosed
    }
}

impl From<io::Error> for ConnectionClosed {
    fn from(_: io::Error) -> ConnectionClosed {
        ConnectionClosed
    }
}

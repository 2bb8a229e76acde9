//! The error type of client connections.

use std::io;

use crate::net::buffer::CapacityExceeded;

/// The connection must be removed, for one of these reasons:
///
/// - The client has closed the socket or has sent Terminate or a cancel request.
/// - The client has missed its deadline while output is unread or the connection is closing.
/// - The socket has failed.
/// - The memory budget is exhausted.
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

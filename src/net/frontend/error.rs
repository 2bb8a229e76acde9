//! The error of a client connection.

use std::io;

use crate::net::buffer::CapacityExceeded;

/// The connection has to be removed: its client has closed the socket, has sent Terminate or a cancel request
/// or has missed a deadline while output is unread or the connection is closing; or the socket has failed,
/// or the memory budget is used up.
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

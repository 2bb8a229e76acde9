//! The error type of client connections.

use std::io;

use crate::net::buffer::CapacityExceeded;

/// The connection must be closed and removed. The reason is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum MustClose {
    /// The client has closed the socket or has sent Terminate.
    #[error("disconnected by the client")]
    ClientDisconnected,
    /// The connection has carried a cancel request, which is its only message.
    #[error("cancel request")]
    CancelRequest,
    /// The client has missed its deadline while output is unread or the connection is closing.
    #[error("the client does not read or close")]
    DeadlineMissed,
    /// The connection limit is reached, and a new connection takes the place of this one.
    #[error("replaced by a new connection")]
    Replaced,
    /// The socket has failed.
    #[error("socket error")]
    SocketFailed,
    /// The memory budget is exhausted.
    #[error("no memory")]
    OutOfMemory,
}

impl From<CapacityExceeded> for MustClose {
    fn from(_: CapacityExceeded) -> MustClose {
        MustClose::OutOfMemory
    }
}

impl From<io::Error> for MustClose {
    fn from(_: io::Error) -> MustClose {
        MustClose::SocketFailed
    }
}

//! The error type of client connections.

use std::io;

use crate::net::buffer::CapacityExceeded;

/// The connection must be closed and removed, for one of these reasons:
///
/// - The client has closed the socket or has sent Terminate or a cancel request.
/// - The client has missed its deadline while output is unread or the connection is closing.
/// - The socket has failed.
/// - The memory budget is exhausted.
#[derive(Debug, thiserror::Error)]
#[error("the client connection must be closed")]
pub(super) struct MustClose;

impl From<CapacityExceeded> for MustClose {
    fn from(_: CapacityExceeded) -> MustClose {
        MustClose
    }
}

impl From<io::Error> for MustClose {
    fn from(_: io::Error) -> MustClose {
        MustClose
    }
}

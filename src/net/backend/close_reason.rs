//! Why a connection to an endpoint is closed.

use crate::interface::Outcome;

/// The reason for closing a connection to an endpoint. Its `Display` output is the text in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CloseReason {
    /// Its exchange ended in a way that leaves it unusable.
    #[error("exchange ended: {0:?}")]
    ExchangeEnded(Outcome),
    /// It was idle, and the endpoint closed it, sent something, or its idle timeout passed.
    #[error("idle: {0:?}")]
    IdleEnded(Outcome),
    /// It was not reused: something else than the response to an empty query came, or nothing in time.
    #[error("not synchronized: {0:?}")]
    NotSynchronized(Outcome),
    /// It was idle, and was found closed or with unread input before a query was sent.
    #[error("not usable")]
    Unusable,
    /// Its exchange is complete, but it is out of sync, its endpoint moved or is gone, or has enough idle
    /// connections.
    #[error("not needed")]
    NotNeeded,
    /// It was idle, and the endpoint has moved, has restarted or has stopped serving.
    #[error("endpoint changed")]
    EndpointChanged,
    /// It was idle, and the endpoint is not in the endpoint list any more.
    #[error("endpoint removed")]
    EndpointRemoved,
    /// It was idle, and endpoints are short of connections.
    #[error("connection shortage")]
    ConnectionShortage,
    /// It was idle, and another endpoint needs the file descriptor.
    #[error("replaced by a new connection")]
    Evicted,
}

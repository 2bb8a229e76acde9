//! Why a watch on the endpoint list had to be closed.

/// Why a watch on the endpoint list is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum WatchError {
    /// The connection could not be established.
    #[error("no connection")]
    NotConnected,
    /// Reading from or writing to the connection failed.
    #[error("the connection broke")]
    ConnectionBroken,
    /// The response is complete, or its connection was closed.
    #[error("the watch ended")]
    Ended,
    /// Nothing was received for too long.
    #[error("silent")]
    Silent,
    /// Part of the response does not fit into the input buffer.
    #[error("an answer too long")]
    ResponseTooLong,
    /// The head of the response is not HTTP/1.1, or is too long.
    #[error("not HTTP")]
    NotHttp,
    /// The response has another status than 200, or a length.
    #[error("the call was turned down")]
    Rejected,
    /// The framing of a chunk is malformed.
    #[error("not a chunk")]
    MalformedChunk,
    /// Something other than a list or an empty line was received.
    #[error("a line that is no list")]
    NotAList,
    /// A list exceeds the bound on its length or its depth.
    #[error("a list too long or nested too deep")]
    ListTooLarge,
    /// A list, or an entry of it, cannot be decoded.
    #[error("a list that cannot be read")]
    UnreadableList,
}

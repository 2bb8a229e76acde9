//! The error that ends a watch on the endpoint list.

/// Why a watch on the endpoint list failed and has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum WatchError {
    /// The connection could not be established.
    #[error("cannot connect")]
    ConnectFailed,
    /// Reading from or writing to the connection failed.
    #[error("connection lost")]
    ConnectionLost,
    /// The response is complete, or its connection was closed.
    #[error("response ended")]
    Ended,
    /// The response did not begin, continue or complete a list in time.
    #[error("timed out")]
    TimedOut,
    /// A part of the response exceeds the capacity of the input buffer.
    #[error("response exceeds the input buffer")]
    ResponseTooLong,
    /// The head of the response is not valid HTTP/1.1, or is too long.
    #[error("invalid HTTP response head")]
    InvalidHead,
    /// The status of the response is not 200, or its body has a length or an unsupported transfer coding.
    #[error("unexpected HTTP status or body framing")]
    Rejected,
    /// The framing of a chunk is malformed.
    #[error("malformed chunk")]
    MalformedChunk,
    /// The body contains something other than endpoint lists and empty lines.
    #[error("unexpected data between endpoint lists")]
    UnexpectedData,
    /// A list exceeds the maximum length or nesting depth.
    #[error("endpoint list too long or nested too deeply")]
    ListTooLarge,
    /// A list is older than one that another watch has delivered meanwhile.
    #[error("endpoint list is outdated")]
    Outdated,
    /// A list, or one of its entries, cannot be decoded.
    #[error("cannot decode endpoint list")]
    InvalidList,
}

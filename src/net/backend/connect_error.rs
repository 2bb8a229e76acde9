//! The reasons why no connection to an endpoint can be opened.

use std::io::{self, ErrorKind};

use crate::interface::Outcome;

/// Why no connection was opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// The endpoint list does not contain the endpoint.
    #[error("the endpoint is not in the endpoint list")]
    UnknownEndpoint,
    /// All connections that the limit allows are in use.
    #[error("the limit on connections to endpoints is reached")]
    TooManyConnections,
    /// The operating system could not open a connection.
    #[error("cannot open a connection: {0}")]
    Io(#[from] io::Error),
}

impl ConnectError {
    /// The outcome of the task that needed the connection. A failure that this process caused itself, such as
    /// a lack of descriptors, is not attributed to the endpoint.
    pub fn outcome(&self) -> Outcome {
        match self {
            ConnectError::Io(error) if is_caused_by_endpoint(error.kind()) => Outcome::ConnectFailed,
            ConnectError::UnknownEndpoint | ConnectError::TooManyConnections | ConnectError::Io(_) => {
                Outcome::NotSent
            }
        }
    }
}

/// Whether an error of this kind says that the endpoint, or the network to it, is at fault.
fn is_caused_by_endpoint(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::TimedOut
    )
}

//! Errors of opening a connection to an endpoint.

use std::io::{self, ErrorKind};

use crate::interface::Outcome;

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// The endpoint list does not contain the endpoint.
    #[error("endpoint is not in the endpoint list")]
    UnknownEndpoint,
    /// The connection limit is reached and no connection is idle.
    #[error("limit of connections to endpoints reached")]
    TooManyConnections,
    /// The operating system could not open a connection.
    #[error("failed to open a connection: {0}")]
    Io(#[from] io::Error),
}

impl ConnectError {
    /// Returns the outcome of the task that needed the connection. Local failures, such as a lack of file
    /// descriptors, are not attributed to the endpoint.
    pub fn outcome(&self) -> Outcome {
        match self {
            ConnectError::Io(error) if is_caused_by_endpoint(error.kind()) => Outcome::ConnectFailed,
            ConnectError::UnknownEndpoint | ConnectError::TooManyConnections | ConnectError::Io(_) => {
                Outcome::NotSent
            }
        }
    }
}

/// Returns whether an error of this kind is attributed to the endpoint or the network path to it.
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

//! Rejections of queries: nothing was executed, so that a retry by the client is harmless.

use std::time::Duration;

use crate::net::postgres::sqlstate;
use crate::net::shutdown::Drain;

/// How a query is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    /// The SQLSTATE of the error.
    pub code: &'static str,
    /// The message of the error, and the reason in the log.
    pub message: &'static str,
    /// When the client should retry; `None` if it is not told.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// There is no memory for the statement.
    pub const NO_MEMORY: Rejection = Rejection::now("no memory");
    /// The client has sent more queries than are kept behind a running one.
    pub const TOO_MANY_QUERIES: Rejection = Rejection::now("too many queries at once");

    const fn now(message: &'static str) -> Rejection {
        Rejection { code: sqlstate::TOO_MANY_CONNECTIONS, message, retry_after: None }
    }

    /// The policy has given up the query.
    pub fn given_up(retry_after: Option<Duration>) -> Rejection {
        Rejection { retry_after, ..Rejection::now("refused: try again later") }
    }

    /// The pooler shuts down.
    pub fn shutting_down(drain: Drain) -> Rejection {
        let retry_after = drain.retry_after();
        Rejection { code: sqlstate::CANNOT_CONNECT_NOW, message: "shutting down", retry_after }
    }
}

//! The messages of PostgreSQL's protocol, version 3: parsing and writing. This module performs no input or
//! output and makes no decisions about connections.
//!
//! Each file depends only on files above it:
//!
//! | file | job | depends on |
//! | --- | --- | --- |
//! | `message_kind` | Kinds of messages and their bytes | |
//! | `strings` | Strings that end with a zero | |
//! | `sqlstate` | Error codes | |
//! | `message` | Header and body; writing | `message_kind` |
//! | `backend_messages` | The messages of a PostgreSQL server | `message`, `message_kind`, `strings` |
//! | `error_response` | The ErrorResponse among them | `message`, `message_kind`, `strings` |
//! | `framing` | Reading of messages | `backend_messages`, `message`, `message_kind` |
//! | `startup` | The start of a session | `backend_messages`, `framing`, `message`, `message_kind`, `strings` |
//! | `query_comment` | The comment before a statement | |
//! | `query` | Query messages | `message`, `message_kind`, `query_comment`, `strings` |

mod backend_messages;
mod error_response;
mod framing;
mod message;
mod message_kind;
mod query;
mod query_comment;
pub(crate) mod sqlstate;
mod startup;
mod strings;
#[cfg(test)]
mod tests;

pub(crate) use backend_messages::{
    empty_query_response, parse_parameter_status, ready_for_query, single_column_value, ParameterStatus,
};
pub(crate) use error_response::{error_response, parse_error_response, Severity};
pub(crate) use framing::{read_backend_message, read_client_message, FrameError};
pub(crate) use message::{append_message, BackendMessage, ClientMessage};
pub(crate) use message_kind::{BackendMessageKind, ClientMessageKind};
pub(crate) use query::{parse_query, query_message, ParsedQuery};
pub(crate) use sqlstate::is_statement_error;
pub(crate) use startup::{
    read_startup, startup_message, startup_response, StartupRequest, AUTHENTICATION_OK,
    ENCRYPTION_NOT_SUPPORTED,
};

//! Parsing and encoding of messages of the PostgreSQL protocol, version 3. This module performs no I/O and
//! makes no decisions about connections.
//!
//! Each file depends only on files above it:
//!
//! | file | contents | depends on |
//! | --- | --- | --- |
//! | `message_kind` | Message kinds and their type bytes | |
//! | `strings` | Zero-terminated strings | |
//! | `sqlstate` | SQLSTATE codes | |
//! | `message` | Header, body and encoding | `message_kind` |
//! | `backend_messages` | Messages that servers send | `message`, `message_kind`, `strings` |
//! | `error_response` | ErrorResponse messages | `message`, `message_kind`, `strings` |
//! | `framing` | Extracting messages from received bytes | `backend_messages`, `message`, `message_kind` |
//! | `startup` | Session startup | `backend_messages`, `framing`, `message`, `message_kind`, `strings` |
//! | `query_comment` | The leading comment of a query | |
//! | `query` | Query messages | `message`, `message_kind`, `query_comment`, `strings` |

mod backend_messages;
mod error_response;
mod framing;
mod message;
mod message_counter;
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
pub(crate) use framing::{peek_client_message, read_backend_message, read_client_message, ProtocolError};
pub(crate) use message::{append_message, BackendMessage, ClientMessage};
pub(crate) use message_counter::MessageCounter;
pub(crate) use message_kind::{BackendMessageKind, ClientMessageKind};
pub(crate) use query::{parse_query, query_message, ParsedQuery};
pub(crate) use sqlstate::is_statement_error;
pub(crate) use startup::{
    read_startup, startup_message, startup_response, StartupRequest, AUTHENTICATION_OK,
    ENCRYPTION_NOT_SUPPORTED,
};

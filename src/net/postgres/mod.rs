//! The messages of PostgreSQL's protocol, version 3: parsing and writing. This module performs no input or
//! output and makes no decisions about connections.

mod error_response;
mod framing;
pub(crate) mod message_kind;
mod messages;
mod query;
mod query_comment;
mod server_messages;
pub(crate) mod sqlstate;
mod startup;
mod strings;
#[cfg(test)]
mod tests;

pub(crate) use error_response::{error_response, parse_error_response};
pub(crate) use framing::{read_client_message, read_server_message, FrameError, Message};
pub(crate) use messages::{append_message, empty_query_response, query_message, ready_for_query};
pub(crate) use query::{parse_query, ParsedQuery};
pub(crate) use server_messages::{parse_parameter_status, single_column};
pub(crate) use sqlstate::is_statement_error;
pub(crate) use startup::{read_startup, session_start, startup_message, CancelKey, Startup};

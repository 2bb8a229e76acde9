//! The error that ends the adapter.

use std::io;

use pg_pooler::config::DecodeSettingsError;
use pg_pooler::SettingsError;

/// Why a line cannot be handled. The caller adds the line number.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The line is a JSON value other than an array.
    #[error("not an array")]
    LineNotAnArray,
    /// The line is an empty array.
    #[error("the array is empty")]
    EmptyLine,
    /// The first value of the line is not a string.
    #[error("the first value is not a message name")]
    NoMessageName,
    /// The message name is unknown.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// A field is not a number.
    #[error("'{0}' is not a number")]
    NotANumber(&'static str),
    /// A field is not an integer.
    #[error("'{0}' is not an integer")]
    NotAnInteger(&'static str),
    /// A field is not a string.
    #[error("'{0}' is not a string")]
    NotAString(&'static str),
    /// A field is not an array.
    #[error("'{0}' is not an array")]
    NotAnArray(&'static str),
    /// An entry of an endpoint inventory is not an array.
    #[error("an inventory entry is not an array")]
    EntryNotAnArray,
    /// An endpoint has an unknown status.
    #[error("unknown phase '{0}'")]
    UnknownStatus(String),
    /// An endpoint list update has an unknown kind.
    #[error("unknown update kind '{0}'")]
    UnknownUpdateKind(String),
    /// An endpoint list update refers to an inventory that was not received.
    #[error("unknown inventory {0}")]
    UnknownInventory(u64),
    /// The result of an attempt or a health check has an unknown outcome.
    #[error("unknown outcome {0}")]
    UnknownOutcome(i64),
    /// The settings of an instance cannot be decoded.
    #[error("in 'info': {0}")]
    Settings(#[from] DecodeSettingsError),
    /// A setting of an instance is out of range.
    #[error("in 'info': {0}")]
    SettingOutOfRange(#[from] SettingsError),
    /// The reply to a batch cannot be written.
    #[error("cannot write the reply: {0}")]
    Write(#[source] io::Error),
}

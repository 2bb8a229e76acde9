//! Why the adapter cannot go on after a line.

use std::io;

use pg_pooler::config::DecodeSettingsError;
use pg_pooler::SettingsError;

/// Why a line cannot be handled. The caller adds the number of the line.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The line is another JSON value than an array.
    #[error("not an array")]
    LineNotAnArray,
    /// The line is an empty array.
    #[error("an empty array")]
    EmptyLine,
    /// The line does not begin with a text.
    #[error("the first value is not a message name")]
    NoMessageName,
    /// The name of the message is not known.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// A field is not a number.
    #[error("'{0}' is not a number")]
    NotANumber(&'static str),
    /// A field is not a whole number.
    #[error("'{0}' is not a whole number")]
    NotAWholeNumber(&'static str),
    /// A field is not a text.
    #[error("'{0}' is not a text")]
    NotAText(&'static str),
    /// A field is not an array.
    #[error("'{0}' is not an array")]
    NotAnArray(&'static str),
    /// An entry of an endpoint inventory is not an array.
    #[error("a list entry is not an array")]
    EntryNotAnArray,
    /// An endpoint has an unknown status.
    #[error("unknown phase '{0}'")]
    UnknownPhase(String),
    /// An update of the endpoints is of an unknown kind.
    #[error("unknown list kind '{0}'")]
    UnknownUpdateKind(String),
    /// An update of the endpoints refers to an inventory that was not received.
    #[error("no inventory {0}")]
    UnknownInventory(u64),
    /// An attempt ended in an unknown way.
    #[error("unknown outcome {0}")]
    UnknownOutcome(i64),
    /// The settings of an instance cannot be decoded.
    #[error("in 'info': {0}")]
    Settings(#[from] DecodeSettingsError),
    /// A setting of an instance is out of its range.
    #[error("in 'info': {0}")]
    SettingOutOfRange(#[from] SettingsError),
    /// The reply to a batch cannot be written.
    #[error("cannot write the reply: {0}")]
    Write(#[source] io::Error),
}

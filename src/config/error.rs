//! Errors of the configuration file.

use std::io;
use std::path::PathBuf;

use super::settings::DecodeSettingsError;
use crate::json::lenient::NotANumber;
use crate::json::JsonError;
use crate::settings::SettingsError;
use crate::transient_error::is_transient;

/// The configuration file cannot be used. The message names the file and the cause.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// The text of the file is not a valid configuration.
    #[error("{}: {source}", path.display())]
    Parse { path: PathBuf, source: ParseConfigError },
}

impl ConfigError {
    /// Whether another attempt to read the file may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Read { source, .. } if is_transient(source))
    }
}

/// The text of a configuration file is not a valid configuration.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ParseConfigError {
    /// The text is not valid JSON or is nested too deeply.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// A field that must be a number has another type.
    #[error(transparent)]
    NotANumber(#[from] NotANumber),
    /// A required string is missing or has another type.
    #[error("'{field}' is not a string")]
    NotAString {
        /// The key of the field.
        field: &'static str,
    },
    /// A string is not an IP address with a port.
    #[error("'{field}' is not an IP address with a port: '{text}'")]
    NotAnAddress {
        /// The key of the field.
        field: &'static str,
        /// The value of the field.
        text: String,
    },
    /// The seed is not a 64-bit number in hexadecimal digits.
    #[error("'seed' is not a 64-bit hexadecimal number: '{0}'")]
    InvalidSeed(String),
    /// An entry of an array in the settings object has no name.
    #[error("an entry of '{list}' has no name")]
    MissingName {
        /// The key of the array.
        list: &'static str,
    },
    /// The keepalive timeout is out of range.
    #[error("'keepalive' must be finite and greater than 0")]
    KeepaliveOutOfRange,
    /// The settings object is invalid.
    #[error("in 'settings': {0}")]
    Settings(#[from] DecodeSettingsError),
    /// A setting is out of range.
    #[error("in 'settings': {0}")]
    SettingOutOfRange(#[from] SettingsError),
}

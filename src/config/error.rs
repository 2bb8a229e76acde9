//! Why a configuration cannot be used.

use std::io;
use std::path::PathBuf;

use super::settings::DecodeSettingsError;
use crate::json::lenient::NotANumber;
use crate::json::JsonError;
use crate::settings::SettingsError;
use crate::transient_error::is_transient;

/// Why a configuration file cannot be used. The message names the file and the cause.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// The text of the file is not a usable configuration.
    #[error("{}: {source}", path.display())]
    Parse {
        /// The path of the file.
        path: PathBuf,
        /// What is wrong with the text.
        source: ParseConfigError,
    },
}

impl ConfigError {
    /// Whether reading the file again may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Read { source, .. } if is_transient(source))
    }
}

/// Why the text of a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ParseConfigError {
    /// The text is not acceptable as JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// A number has the wrong type.
    #[error(transparent)]
    NotANumber(#[from] NotANumber),
    /// A required text is missing or has the wrong type.
    #[error("'{field}' is not a text")]
    NotText {
        /// The name of the field.
        field: &'static str,
    },
    /// An address cannot be read.
    #[error("'{field}' is not an address with a port: '{text}'")]
    NotAnAddress {
        /// The name of the field.
        field: &'static str,
        /// The text in place of an address.
        text: String,
    },
    /// The seed cannot be read.
    #[error("'seed' is not hexadecimal: '{0}'")]
    SeedNotHexadecimal(String),
    /// An entry of a list of the settings has no name.
    #[error("an entry of '{list}' has no name")]
    Unnamed {
        /// The name of the list.
        list: &'static str,
    },
    /// The time after which endpoints close idle connections is out of range.
    #[error("'keepalive' must be finite and greater than 0")]
    KeepaliveOutOfRange,
    /// The settings object cannot be decoded.
    #[error("in 'settings': {0}")]
    Settings(#[from] DecodeSettingsError),
    /// A setting is out of its range.
    #[error("in 'settings': {0}")]
    SettingOutOfRange(#[from] SettingsError),
}

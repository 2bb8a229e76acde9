//! The configuration file of the pooler: its JSON format, defaults and errors.

mod error;
mod names;
mod settings;

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use crate::endpoint_list::EndpointList;
use crate::json;
use crate::json::lenient::{self, Number};
use crate::settings::{ListDelivery, Settings};

pub use crate::json::lenient::NotANumber;
pub use crate::json::JsonError;
pub(crate) use error::{ConfigError, ParseConfigError};
use names::RawNames;
use settings::RawSettings;
pub use settings::{decode_settings, DecodeSettingsError};

/// The default of `name`.
const DEFAULT_NAME: &str = "pg-pooler";
/// The default of `limits.sockets`, in file descriptors.
const DEFAULT_MAX_DESCRIPTORS: f64 = 1024.0;
/// The default of `limits.memory_mb`, in megabytes.
const DEFAULT_MAX_MEMORY_MB: f64 = 192.0;
const BYTES_PER_MB: f64 = 1e6;
const SEED_RADIX: u32 = 16;

/// The configuration of a pooler.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    /// The name of the pooler, which is written to the log.
    pub name: String,
    /// The address on which the pooler accepts client connections.
    pub listen: SocketAddr,
    /// The address of service discovery.
    pub discovery: SocketAddr,
    /// The seed for random numbers, which must differ on each start.
    pub seed: u64,
    /// Maximum number of file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Maximum memory that the process may use, in bytes.
    pub max_memory: usize,
    /// The settings of the policy.
    pub settings: Settings,
    /// The names of the request classes, in the order of the settings.
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// The names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Time after which an endpoint closes an idle connection, in seconds.
    pub keepalive_timeout: f64,
    /// The cached endpoint list, which is used until service discovery answers.
    pub cached_list: EndpointList,
}

/// The JSON format of the configuration file.
#[derive(Default, Deserialize)]
#[serde(default)]
struct RawConfig {
    #[serde(deserialize_with = "lenient::value")]
    name: Option<String>,
    #[serde(deserialize_with = "lenient::value")]
    listen: Option<String>,
    #[serde(deserialize_with = "lenient::value")]
    discovery: Option<String>,
    #[serde(deserialize_with = "lenient::value")]
    seed: Option<String>,
    #[serde(deserialize_with = "lenient::value")]
    limits: RawProcessLimits,
    /// Decoded twice: as [`RawSettings`] and as [`RawNames`].
    settings: Value,
    /// The cached endpoint list. An invalid list counts as empty, because discovery will supply a new one.
    #[serde(deserialize_with = "lenient::value")]
    known: EndpointList,
}

/// The object `limits` of the configuration file.
#[derive(Default, Deserialize)]
#[serde(default)]
struct RawProcessLimits {
    sockets: Number,
    memory_mb: Number,
}

impl Config {
    /// Reads a configuration file.
    ///
    /// Fails if the file cannot be read or if [`Config::parse`] fails.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Read { path: path.to_path_buf(), source })?;
        Config::parse(&text).map_err(|source| ConfigError::Parse { path: path.to_path_buf(), source })
    }

    /// Decodes the text of a configuration file.
    ///
    /// Fails if the text is not JSON, a required field is missing, or a field has the wrong type or is out of
    /// range.
    pub fn parse(text: &str) -> Result<Config, ParseConfigError> {
        lenient::or_default::<RawConfig>(json::parse(text)?).decode()
    }
}

impl RawConfig {
    fn decode(self) -> Result<Config, ParseConfigError> {
        let seed = require_string("seed", self.seed)?;
        let names: RawNames = lenient::or_default(self.settings.clone());
        let raw_settings: RawSettings = lenient::or_default(self.settings);
        let settings = decode_valid_settings(&raw_settings)?;
        Ok(Config {
            keepalive_timeout: decode_keepalive_timeout(&raw_settings)?,
            name: self.name.unwrap_or_else(|| DEFAULT_NAME.to_string()),
            listen: decode_address("listen", self.listen)?,
            discovery: decode_address("discovery", self.discovery)?,
            seed: decode_seed(seed)?,
            max_descriptors: self.limits.max_descriptors()?,
            max_memory: self.limits.max_memory()?,
            settings,
            classes: names.classes()?,
            tenants: names.tenants()?,
            zones: names.zones()?,
            cached_list: self.known,
        })
    }
}

impl RawProcessLimits {
    /// Returns the maximum number of file descriptors that the process may have open.
    fn max_descriptors(&self) -> Result<usize, NotANumber> {
        Ok(self.sockets.or("sockets", DEFAULT_MAX_DESCRIPTORS)? as usize)
    }

    /// Returns the maximum memory that the process may use, in bytes.
    fn max_memory(&self) -> Result<usize, NotANumber> {
        Ok((self.memory_mb.or("memory_mb", DEFAULT_MAX_MEMORY_MB)? * BYTES_PER_MB) as usize)
    }
}

fn require_string(field: &'static str, text: Option<String>) -> Result<String, ParseConfigError> {
    text.ok_or(ParseConfigError::NotAString { field })
}

fn decode_address(field: &'static str, text: Option<String>) -> Result<SocketAddr, ParseConfigError> {
    let text = require_string(field, text)?;
    text.parse().map_err(|_| ParseConfigError::NotAnAddress { field, text })
}

fn decode_seed(text: String) -> Result<u64, ParseConfigError> {
    u64::from_str_radix(&text, SEED_RADIX).map_err(|_| ParseConfigError::InvalidSeed(text))
}

/// Decodes the settings, overrides those that hold only in the simulator, and checks the ranges.
fn decode_valid_settings(raw: &RawSettings) -> Result<Settings, ParseConfigError> {
    let mut settings = raw.decode()?;
    // `registryMode` is ignored: service discovery sends updates only while the list is watched.
    settings.list_delivery = ListDelivery::LocalAgent;
    // Pooler and endpoints share a clock only in the simulator. The clock of a real machine may be wrong.
    settings.shares_endpoint_clock = false;
    crate::settings::validate(&settings)?;
    Ok(settings)
}

fn decode_keepalive_timeout(raw: &RawSettings) -> Result<f64, ParseConfigError> {
    let timeout = raw.keepalive_timeout()?;
    if timeout > 0.0 && timeout.is_finite() {
        return Ok(timeout);
    }
    Err(ParseConfigError::KeepaliveOutOfRange)
}

#[cfg(test)]
mod tests;

//! The configuration file of the pooler: its JSON form, its defaults and its errors.

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
use crate::settings::Settings;

pub use crate::json::lenient::NotANumber;
pub use crate::json::JsonError;
pub(crate) use error::{ConfigError, ParseConfigError};
use names::RawNames;
use settings::RawSettings;
pub use settings::{decode_settings, DecodeSettingsError};

/// The name of a pooler whose configuration has none.
const DEFAULT_NAME: &str = "pg-pooler";
/// The default of `limits.sockets` (file descriptors).
const DEFAULT_MAX_DESCRIPTORS: f64 = 1024.0;
/// The default of `limits.memory_mb` (megabytes).
const DEFAULT_MAX_MEMORY_MB: f64 = 192.0;
const BYTES_PER_MB: f64 = 1e6;
/// The seed is a hexadecimal number.
const SEED_RADIX: u32 = 16;

/// The configuration of one pooler.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    /// The pooler's name, for the log.
    pub name: String,
    /// The address on which the pooler accepts clients.
    pub listen: SocketAddr,
    /// The address of service discovery.
    pub discovery: SocketAddr,
    /// Seed for random numbers; new with each start.
    pub seed: u64,
    /// Most file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Most memory that the process may take (bytes).
    pub max_memory: usize,
    /// The settings of the policy.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// After what time an endpoint closes an idle connection (seconds).
    pub keepalive_timeout: f64,
    /// The endpoint list as the file caches it, for the time until discovery answers.
    pub cached_list: EndpointList,
}

/// The configuration file in its JSON form.
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
    /// Decoded twice: as settings and as lists of names.
    settings: Value,
    /// The cached list. One that cannot be read counts as empty: discovery has a new one.
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
    /// Fails if the file cannot be read, or as [`Config::parse`] does.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Read { path: path.to_path_buf(), source })?;
        Config::parse(&text).map_err(|source| ConfigError::Parse { path: path.to_path_buf(), source })
    }

    /// Decodes the text of a configuration file.
    ///
    /// Fails if it is not JSON, lacks a required field, or has a field of the wrong type or range.
    pub fn parse(text: &str) -> Result<Config, ParseConfigError> {
        lenient::or_default::<RawConfig>(json::parse(text)?).decode()
    }
}

impl RawConfig {
    fn decode(self) -> Result<Config, ParseConfigError> {
        let seed = require_text("seed", self.seed)?;
        let names: RawNames = lenient::or_default(self.settings.clone());
        let raw_settings: RawSettings = lenient::or_default(self.settings);
        let settings = decode_valid_settings(&raw_settings)?;
        Ok(Config {
            keepalive_timeout: decode_keepalive(&raw_settings)?,
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
    /// Most file descriptors that the process may have open.
    fn max_descriptors(&self) -> Result<usize, NotANumber> {
        Ok(self.sockets.or("sockets", DEFAULT_MAX_DESCRIPTORS)? as usize)
    }

    /// Most memory that the process may take (bytes).
    fn max_memory(&self) -> Result<usize, NotANumber> {
        Ok((self.memory_mb.or("memory_mb", DEFAULT_MAX_MEMORY_MB)? * BYTES_PER_MB) as usize)
    }
}

fn require_text(field: &'static str, text: Option<String>) -> Result<String, ParseConfigError> {
    text.ok_or(ParseConfigError::NotText { field })
}

fn decode_address(field: &'static str, text: Option<String>) -> Result<SocketAddr, ParseConfigError> {
    let text = require_text(field, text)?;
    text.parse().map_err(|_| ParseConfigError::NotAnAddress { field, text })
}

fn decode_seed(text: String) -> Result<u64, ParseConfigError> {
    u64::from_str_radix(&text, SEED_RADIX).map_err(|_| ParseConfigError::SeedNotHexadecimal(text))
}

/// Decodes the settings, checks their ranges and sets what differs from the simulator.
fn decode_valid_settings(raw: &RawSettings) -> Result<Settings, ParseConfigError> {
    let mut settings = raw.decode()?;
    // A real discovery service sends nothing that is not requested, whichever mode the settings name.
    settings.watch_endpoints = true;
    // Only the simulator has one clock for all. The clock of a real machine may be wrong.
    settings.shares_endpoint_clock = false;
    crate::settings::validate(&settings)?;
    Ok(settings)
}

fn decode_keepalive(raw: &RawSettings) -> Result<f64, ParseConfigError> {
    let keepalive = raw.keepalive()?;
    if keepalive > 0.0 && keepalive.is_finite() {
        return Ok(keepalive);
    }
    Err(ParseConfigError::KeepaliveOutOfRange)
}

#[cfg(test)]
mod tests;

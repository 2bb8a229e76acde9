//! The names of classes, tenants and zones in the settings object. Queries and endpoint lists refer to them
//! by name, the policy by index.

use serde::Deserialize;

use super::ParseConfigError;
use crate::json::lenient;

/// The arrays of the settings object whose entries have names.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct RawNames {
    #[serde(deserialize_with = "lenient::list")]
    classes: Option<Vec<RawName>>,
    #[serde(deserialize_with = "lenient::list")]
    customers: Option<Vec<RawName>>,
    #[serde(deserialize_with = "lenient::list")]
    zones: Option<Vec<RawName>>,
}

/// An entry; `None` if it has no name.
type RawName = Option<NamedEntry>;

#[derive(Deserialize)]
#[serde(untagged)]
enum NamedEntry {
    /// The entry is the name itself.
    Name(String),
    /// The entry is an object with the field `name`.
    Object { name: String },
}

impl RawNames {
    /// Returns the names of the request classes in their order.
    pub(super) fn classes(&self) -> Result<Vec<String>, ParseConfigError> {
        decode_names("classes", self.classes.as_deref())
    }

    /// Returns the names of the tenants in their order.
    pub(super) fn tenants(&self) -> Result<Vec<String>, ParseConfigError> {
        decode_names("customers", self.customers.as_deref())
    }

    /// Returns the names of the zones in their order.
    pub(super) fn zones(&self) -> Result<Vec<String>, ParseConfigError> {
        decode_names("zones", self.zones.as_deref())
    }
}

fn decode_names(list: &'static str, entries: Option<&[RawName]>) -> Result<Vec<String>, ParseConfigError> {
    let entries = entries.unwrap_or_default();
    entries
        .iter()
        .map(|entry| match entry {
            Some(NamedEntry::Name(name) | NamedEntry::Object { name }) => Ok(name.clone()),
            None => Err(ParseConfigError::MissingName { list }),
        })
        .collect()
}

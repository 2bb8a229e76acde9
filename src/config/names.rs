//! The names that the settings object gives to classes, tenants and zones. Queries and endpoint lists use
//! these names; the policy uses the numbers.

use serde::Deserialize;

use super::ParseConfigError;
use crate::json::lenient;

/// The lists of the settings object whose entries have names.
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

/// The name of an entry; `None` where the entry has none.
type RawName = Option<NamedEntry>;

/// An entry that has a name.
#[derive(Deserialize)]
#[serde(untagged)]
enum NamedEntry {
    /// The entry is only a name.
    Name(String),
    /// The entry is an object that has a name.
    Object { name: String },
}

impl RawNames {
    /// The names of the request classes, in their order.
    pub(super) fn classes(&self) -> Result<Vec<String>, ParseConfigError> {
        decode_names("classes", self.classes.as_deref())
    }

    /// The names of the tenants, in their order.
    pub(super) fn tenants(&self) -> Result<Vec<String>, ParseConfigError> {
        decode_names("customers", self.customers.as_deref())
    }

    /// The names of the zones, in their order.
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
            None => Err(ParseConfigError::Unnamed { list }),
        })
        .collect()
}

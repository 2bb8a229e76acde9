//! Deserializers for fields whose type is not enforced: a value of another type reads as the default.

use serde::de::{Deserialize, DeserializeOwned, Deserializer};
use serde_json::Value;

/// Deserializes a field of the type `T`, or its default where the value has another type.
///
/// Use [`list`] for arrays.
pub(crate) fn value<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned + Default,
{
    Value::deserialize(deserializer).map(or_default)
}

/// Deserializes an array, each of its items like [`value`] does; `None` where the value is not an array.
pub(crate) fn list<'de, D, T>(deserializer: D) -> Result<Option<Vec<T>>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned + Default,
{
    match Value::deserialize(deserializer)? {
        Value::Array(items) => Ok(Some(items.into_iter().map(or_default).collect())),
        _ => Ok(None),
    }
}

/// Converts a value to the type `T`, or returns the default of `T` where the value has another type.
pub(crate) fn or_default<T: DeserializeOwned + Default>(value: Value) -> T {
    // Serde would fill the fields of a struct from an array, in their order.
    if value.is_array() {
        return T::default();
    }
    T::deserialize(value).unwrap_or_default()
}

/// A number that may be absent. A value of another type is an error once the number is used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Number {
    /// The field is missing or null.
    #[default]
    Absent,
    /// The field is a number.
    Present(f64),
    /// The field is neither a number nor null.
    WrongType,
}

/// A field that must be a number is something else.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{field}' is not a number")]
pub struct NotANumber {
    /// The name of the field.
    pub field: &'static str,
}

impl Number {
    /// Returns the number, or `default` where it is absent. The error names the field.
    pub fn or(self, field: &'static str, default: f64) -> Result<f64, NotANumber> {
        match self {
            Number::Present(number) => Ok(number),
            Number::Absent => Ok(default),
            Number::WrongType => Err(NotANumber { field }),
        }
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        if value.is_null() {
            return Ok(Number::Absent);
        }
        Ok(value.as_f64().map_or(Number::WrongType, Number::Present))
    }
}

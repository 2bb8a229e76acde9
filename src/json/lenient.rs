//! Deserializers that replace a value of the wrong type by the default of the expected type.

use serde::de::{Deserialize, DeserializeOwned, Deserializer};
use serde_json::Value;

/// Deserializes a value of the type `T`, or returns the default of `T` if the value has another type.
///
/// For arrays, use [`list`].
pub(crate) fn value<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned + Default,
{
    Value::deserialize(deserializer).map(or_default)
}

/// Deserializes an array, each item as [`value`] does, or returns `None` if the value has another type.
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

/// Converts a value to the type `T`, or returns the default of `T` if the value has another type.
pub(crate) fn or_default<T: DeserializeOwned + Default>(value: Value) -> T {
    // Serde accepts an array in place of an object and assigns its items to the fields in order.
    if value.is_array() {
        return T::default();
    }
    T::deserialize(value).unwrap_or_default()
}

/// An optional number. A value of another type is only an error once the number is used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Number {
    /// The value is missing or null.
    #[default]
    Absent,
    /// The value is a number.
    Present(f64),
    /// The value is neither a number nor null.
    WrongType,
}

/// A field that must be a number has another type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{field}' is not a number")]
pub struct NotANumber {
    /// The key of the field.
    pub field: &'static str,
}

impl Number {
    /// Returns the number, or `default` if it is absent. Fails if the value has another type; the error names
    /// `field`.
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

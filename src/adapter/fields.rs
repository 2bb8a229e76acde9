//! Typed access to the fields of a line. A field that the line is too short for reads as null.

use serde_json::Value;

use crate::error::WireError;

/// The fields of a message or of an entry, by position. The names of the fields are used in errors.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [Value]);

impl<'a> Fields<'a> {
    /// The field as it is.
    pub fn value(self, position: usize) -> &'a Value {
        self.0.get(position).unwrap_or(&Value::Null)
    }

    /// A required number.
    pub fn number(self, position: usize, name: &'static str) -> Result<f64, WireError> {
        self.value(position).as_f64().ok_or(WireError::NotANumber(name))
    }

    /// A number that is 0 where the field is null.
    pub fn number_or_zero(self, position: usize, name: &'static str) -> Result<f64, WireError> {
        if self.value(position).is_null() {
            return Ok(0.0);
        }
        self.number(position, name)
    }

    /// A whole number that is 0 where the field is null. A fraction is truncated.
    pub fn integer_or_zero(self, position: usize, name: &'static str) -> Result<i64, WireError> {
        let value = self.value(position);
        if value.is_null() {
            return Ok(0);
        }
        let truncated = || value.as_f64().map(|number| number as i64);
        value.as_i64().or_else(truncated).ok_or(WireError::NotAWholeNumber(name))
    }

    /// A required text.
    pub fn text(self, position: usize, name: &'static str) -> Result<&'a str, WireError> {
        self.value(position).as_str().ok_or(WireError::NotAText(name))
    }

    /// A required array.
    pub fn array(self, position: usize, name: &'static str) -> Result<&'a [Value], WireError> {
        self.value(position).as_array().map(Vec::as_slice).ok_or(WireError::NotAnArray(name))
    }

    /// A flag; false where the field is something else.
    pub fn flag(self, position: usize) -> bool {
        self.value(position).as_bool().unwrap_or(false)
    }
}

//! Typed access to the fields of a line. A field that the line is too short for reads as null; a value of a
//! wrong type is an error that names the field.

use serde_json::Value;

use super::WireError;

/// Where a field stands, and what the wire calls it.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The position among the fields, from 0.
    position: usize,
    /// The name that errors show.
    name: &'static str,
}

impl Field {
    /// The field at a position, and its name on the wire.
    pub const fn new(position: usize, name: &'static str) -> Field {
        Field { position, name }
    }
}

/// The fields of a message or of an entry.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [Value]);

impl<'a> Fields<'a> {
    /// The value at a position as it is.
    pub fn value(self, position: usize) -> &'a Value {
        self.0.get(position).unwrap_or(&Value::Null)
    }

    /// A required number.
    pub fn number(self, field: Field) -> Result<f64, WireError> {
        self.value(field.position).as_f64().ok_or(WireError::NotANumber(field.name))
    }

    /// A number that is 0 where the field is null.
    pub fn number_or_zero(self, field: Field) -> Result<f64, WireError> {
        if self.value(field.position).is_null() {
            return Ok(0.0);
        }
        self.number(field)
    }

    /// A required whole number. A fraction is an error.
    pub fn integer(self, field: Field) -> Result<i64, WireError> {
        self.value(field.position).as_i64().ok_or(WireError::NotAWholeNumber(field.name))
    }

    /// A whole number that is 0 where the field is null. A fraction is truncated.
    pub fn integer_or_zero(self, field: Field) -> Result<i64, WireError> {
        let value = self.value(field.position);
        if value.is_null() {
            return Ok(0);
        }
        let truncated = || value.as_f64().map(|number| number as i64);
        value.as_i64().or_else(truncated).ok_or(WireError::NotAWholeNumber(field.name))
    }

    /// A required unsigned number. A negative one stands for the unsigned number with the same bits.
    pub fn unsigned_bits(self, field: Field) -> Result<u64, WireError> {
        let value = self.value(field.position);
        let signed = || value.as_i64().map(|number| number as u64);
        value.as_u64().or_else(signed).ok_or(WireError::NotANumber(field.name))
    }

    /// A required text.
    pub fn text(self, field: Field) -> Result<&'a str, WireError> {
        self.value(field.position).as_str().ok_or(WireError::NotAText(field.name))
    }

    /// A required array.
    pub fn array(self, field: Field) -> Result<&'a [Value], WireError> {
        let array = self.value(field.position).as_array();
        array.map(Vec::as_slice).ok_or(WireError::NotAnArray(field.name))
    }

    /// A flag at a position; false where the value is something else.
    pub fn flag(self, position: usize) -> bool {
        self.value(position).as_bool().unwrap_or(false)
    }
}

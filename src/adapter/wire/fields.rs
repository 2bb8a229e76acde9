//! Typed access to the fields of a line. A field beyond the end of the line is null; a value of the wrong
//! type is an error that names the field.

use serde_json::Value;

use super::WireError;

/// The position and the wire name of a field.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The zero-based position among the fields.
    position: usize,
    /// The name on the wire, which errors show.
    name: &'static str,
}

impl Field {
    /// Creates a field from its position and its name on the wire.
    pub const fn new(position: usize, name: &'static str) -> Field {
        Field { position, name }
    }
}

/// The fields of a message or of an inventory entry.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [Value]);

impl<'a> Fields<'a> {
    /// Returns the value at a position.
    pub fn value(self, position: usize) -> &'a Value {
        self.0.get(position).unwrap_or(&Value::Null)
    }

    /// Returns a required number.
    pub fn number(self, field: Field) -> Result<f64, WireError> {
        self.value(field.position).as_f64().ok_or(WireError::NotANumber(field.name))
    }

    /// Returns a number, or 0 if the field is null.
    pub fn number_or_zero(self, field: Field) -> Result<f64, WireError> {
        if self.value(field.position).is_null() {
            return Ok(0.0);
        }
        self.number(field)
    }

    /// Returns a required integer. A fraction is an error.
    pub fn integer(self, field: Field) -> Result<i64, WireError> {
        self.value(field.position).as_i64().ok_or(WireError::NotAnInteger(field.name))
    }

    /// Returns an integer, or 0 if the field is null. A fraction is truncated.
    pub fn integer_or_zero(self, field: Field) -> Result<i64, WireError> {
        let value = self.value(field.position);
        if value.is_null() {
            return Ok(0);
        }
        let truncated = || value.as_f64().map(|number| number as i64);
        value.as_i64().or_else(truncated).ok_or(WireError::NotAnInteger(field.name))
    }

    /// Returns a required unsigned integer. A negative integer is reinterpreted as unsigned.
    pub fn unsigned_bits(self, field: Field) -> Result<u64, WireError> {
        let value = self.value(field.position);
        let signed = || value.as_i64().map(|number| number as u64);
        value.as_u64().or_else(signed).ok_or(WireError::NotANumber(field.name))
    }

    /// Returns a required string.
    pub fn string(self, field: Field) -> Result<&'a str, WireError> {
        self.value(field.position).as_str().ok_or(WireError::NotAString(field.name))
    }

    /// Returns a required array.
    pub fn array(self, field: Field) -> Result<&'a [Value], WireError> {
        let array = self.value(field.position).as_array();
        array.map(Vec::as_slice).ok_or(WireError::NotAnArray(field.name))
    }

    /// Returns the Boolean at a position, or `false` if the value has another type.
    pub fn flag(self, position: usize) -> bool {
        self.value(position).as_bool().unwrap_or(false)
    }
}

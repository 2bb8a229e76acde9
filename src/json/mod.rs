//! Parsing of JSON text from the configuration file and from service discovery.

pub(crate) mod lenient;

use serde_json::Value;

/// Deepest nesting of arrays and objects that is accepted.
pub(crate) const MAX_DEPTH: usize = 32;

/// Why a text was not accepted as JSON.
#[derive(Debug, thiserror::Error)]
pub enum JsonError {
    /// The text does not follow the grammar of JSON.
    #[error("not JSON: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The arrays and objects are nested too deeply.
    #[error("JSON nested deeper than {MAX_DEPTH} levels")]
    TooDeep,
}

/// Parses a JSON text that is nested at most [`MAX_DEPTH`] levels deep.
pub(crate) fn parse(text: &str) -> Result<Value, JsonError> {
    let value = serde_json::from_str(text)?;
    check_depth(&value)?;
    Ok(value)
}

/// Rejects a value that is nested deeper than [`MAX_DEPTH`] levels.
pub(crate) fn check_depth(value: &Value) -> Result<(), JsonError> {
    if exceeds_depth(value, MAX_DEPTH) {
        return Err(JsonError::TooDeep);
    }
    Ok(())
}

/// Whether a value has more than `levels` levels. The recursion ends because `levels` counts down.
fn exceeds_depth(value: &Value, levels: usize) -> bool {
    let child_exceeds = |child: &Value| exceeds_depth(child, levels - 1);
    match value {
        Value::Array(items) => levels == 0 || items.iter().any(child_exceeds),
        Value::Object(fields) => levels == 0 || fields.values().any(child_exceeds),
        _ => false,
    }
}

#[cfg(test)]
mod tests;

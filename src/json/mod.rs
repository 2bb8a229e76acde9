//! Parsing of JSON text from the configuration file and from service discovery.

pub(crate) mod lenient;

use serde_json::Value;

/// Maximum nesting depth of arrays and objects.
pub(crate) const MAX_DEPTH: usize = 32;

/// A text is not valid JSON or is nested too deeply.
#[derive(Debug, thiserror::Error)]
pub enum JsonError {
    /// The text is not valid JSON.
    #[error("not JSON: {0}")]
    Syntax(#[from] serde_json::Error),
    /// Arrays and objects are nested too deeply.
    #[error("JSON nested deeper than {MAX_DEPTH} levels")]
    TooDeep,
}

/// Parses a JSON text. Fails if it is nested deeper than [`MAX_DEPTH`] levels.
pub(crate) fn parse(text: &str) -> Result<Value, JsonError> {
    let value = serde_json::from_str(text)?;
    check_depth(&value)?;
    Ok(value)
}

/// Fails if a value is nested deeper than [`MAX_DEPTH`] levels.
pub(crate) fn check_depth(value: &Value) -> Result<(), JsonError> {
    if exceeds_depth(value, MAX_DEPTH) {
        return Err(JsonError::TooDeep);
    }
    Ok(())
}

/// Whether a value is nested deeper than `levels` levels. The recursion is bounded because `levels` decreases
/// with each call.
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

use super::*;

fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

#[test]
fn nesting_is_accepted_up_to_the_maximum_depth() {
    assert!(parse(&nested(MAX_DEPTH)).is_ok());
    assert!(matches!(parse(&nested(MAX_DEPTH + 1)), Err(JsonError::TooDeep)));
    let objects = r#"{"a":"#.repeat(MAX_DEPTH) + "1" + &"}".repeat(MAX_DEPTH);
    assert!(parse(&objects).is_ok());
    assert!(matches!(parse(&format!("[{objects}]")), Err(JsonError::TooDeep)));
}

#[test]
fn excessive_nesting_is_rejected_without_a_stack_overflow() {
    assert!(parse(&nested(1_000_000)).is_err());
    assert!(parse(&"[".repeat(1_000_000)).is_err());
}

#[test]
fn brackets_in_strings_do_not_count() {
    assert!(parse(&format!(r#"["\"{}"]"#, "[{".repeat(100))).is_ok());
}

#[test]
fn the_message_of_a_syntax_error_names_json() {
    assert!(parse("{").unwrap_err().to_string().starts_with("not JSON: "));
}

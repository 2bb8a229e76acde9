//! Tests of messages that PostgreSQL servers send.

use super::*;

#[test]
fn messages_without_parameters_are_encoded() {
    assert_eq!(ready_for_query(), b"Z\0\0\0\x05I");
    assert_eq!(empty_query_response(), b"I\0\0\0\x04");
}

#[test]
fn parameter_status_is_parsed() {
    assert_eq!(
        parse_parameter_status(b"role\0primary\0"),
        Some(ParameterStatus { name: "role", value: "primary" })
    );
    assert_eq!(parse_parameter_status(b"role\0\0"), Some(ParameterStatus { name: "role", value: "" }));
    assert_eq!(parse_parameter_status(b"role"), None);
    assert_eq!(parse_parameter_status(b""), None);
}

#[test]
fn single_column_must_fill_the_row() {
    assert_eq!(single_column_value(b"\0\x01\0\0\0\x02ab"), Some(&b"ab"[..]));
    assert_eq!(single_column_value(b"\0\x01\0\0\0\x02abc"), None);
    assert_eq!(single_column_value(b"\0\x01\0\0\0"), None);
    assert_eq!(single_column_value(b"\0"), None);
}

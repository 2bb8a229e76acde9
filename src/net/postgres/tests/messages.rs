//! Tests of writing messages, and of parsing what endpoints send.

use rstest::rstest;

use super::*;

#[test]
fn messages_without_parameters_are_written() {
    assert_eq!(ready_for_query(), b"Z\0\0\0\x05I");
    assert_eq!(empty_query_response(), b"I\0\0\0\x04");
}

#[test]
fn query_message_ends_with_a_zero() {
    assert_eq!(query_message(b"SELECT 1"), b"Q\0\0\0\x0dSELECT 1\0");
}

#[test]
fn appended_message_follows_the_bytes_before_it() {
    let mut out = b"before".to_vec();
    append_message(&mut out, &Message { kind: BackendMessageKind::DataRow, body: b"abc".to_vec() });
    assert_eq!(out, b"beforeD\0\0\0\x07abc");
}

#[test]
fn error_response_has_its_fields_in_order() {
    let without_detail = error_response(Severity::Error, "42601", "bad", None);
    assert_eq!(without_detail, b"E\0\0\0\x1fSERROR\0VERROR\0C42601\0Mbad\0\0");
    let with_detail = error_response(Severity::Fatal, "53300", "full", Some("5"));
    assert_eq!(with_detail, b"E\0\0\0\x23SFATAL\0VFATAL\0C53300\0Mfull\0D5\0\0");
}

#[rstest]
#[case::error(b"SERROR\0VERROR\0C42601\0Mbad\0\0", "42601", Severity::Error)]
#[case::fatal(b"SFATAL\0C57P01\0Mbye\0\0", "57P01", Severity::Fatal)]
#[case::panic(b"SX\0VPANIC\0CXX000\0\0", "XX000", Severity::Fatal)]
#[case::fatal_only_in_the_message(b"SERROR\0C22000\0MFATAL\0\0", "22000", Severity::Error)]
#[case::last_code_counts(b"C11111\0C22222\0\0", "22222", Severity::Error)]
#[case::code_not_utf8(b"C\xff\0\0", "\u{fffd}", Severity::Error)]
#[case::empty(b"", "", Severity::Error)]
fn error_response_is_parsed(#[case] body: &[u8], #[case] sqlstate: &str, #[case] severity: Severity) {
    assert_eq!(parse_error_response(body), ErrorResponse { sqlstate: sqlstate.into(), severity });
}

#[rstest]
#[case::unsupported_feature("0A000", true)]
#[case::data_exception("22023", true)]
#[case::constraint("23505", true)]
#[case::syntax("42601", true)]
#[case::protocol_violation("08P01", true)]
#[case::connection_failure("08006", false)]
#[case::too_many_connections("53300", false)]
#[case::read_only_transaction("25006", false)]
#[case::empty("", false)]
#[case::one_character("4", false)]
#[case::not_ascii("é", false)]
fn codes_of_statement_errors_are_known(#[case] code: &str, #[case] expected: bool) {
    assert_eq!(is_statement_error(code), expected);
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
fn single_column_is_the_whole_row() {
    assert_eq!(single_column(b"\0\x01\0\0\0\x02ab"), Some(&b"ab"[..]));
    assert_eq!(single_column(b"\0\x01\0\0\0\x02abc"), None);
    assert_eq!(single_column(b"\0\x01\0\0\0"), None);
    assert_eq!(single_column(b"\0"), None);
}

//! Tests of encoding and parsing ErrorResponse messages.

use rstest::rstest;

use super::super::error_response::ErrorResponse;
use super::*;

#[test]
fn error_response_fields_are_encoded_in_order() {
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
#[case::last_code_is_used(b"C11111\0C22222\0\0", "22222", Severity::Error)]
#[case::code_not_utf8(b"C\xff\0\0", "\u{fffd}", Severity::Error)]
#[case::empty(b"", "", Severity::Error)]
fn error_response_is_parsed(#[case] body: &[u8], #[case] sqlstate: &str, #[case] severity: Severity) {
    assert_eq!(parse_error_response(body), ErrorResponse { sqlstate: sqlstate.into(), severity });
}

//! Tests of SQLSTATE codes.

use rstest::rstest;

use super::*;

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
fn statement_errors_are_recognized(#[case] code: &str, #[case] expected: bool) {
    assert_eq!(is_statement_error(code), expected);
}

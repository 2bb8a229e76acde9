use rstest::rstest;

use super::*;

#[rstest]
#[case::both_fields(b"x0=1767225600.125,x1=1", Some(1767225600.125), Some(Role::Primary))]
#[case::replica(b"x1=0", None, Some(Role::Replica))]
#[case::other_role(b"x1=2", None, Some(Role::Replica))]
#[case::unknown_fields(b"queue=0,x0=1.5,inflight=1", Some(1.5), None)]
#[case::blanks(b" x0 = 1.5 , x1 = 1 ", Some(1.5), Some(Role::Primary))]
#[case::last_value_counts(b"x0=1.5,x0=2.5", Some(2.5), None)]
fn a_report_is_parsed(#[case] text: &[u8], #[case] log_position: Option<f64>, #[case] role: Option<Role>) {
    let report = parse(text).unwrap();
    assert_eq!((report.log_position.map(LogPosition::as_secs), report.role), (log_position, role));
}

/// Guards against the use of a report that was damaged in transit.
#[rstest]
#[case::empty(b"")]
#[case::no_value(b"x0=1.5,x1")]
#[case::not_a_number(b"x0=1.5,x1=0x")]
#[case::infinite(b"x0=inf,x1=1")]
#[case::nan(b"x0=NaN,x1=1")]
#[case::unknown_field(b"x0=1.5,queue=")]
#[case::not_utf8(b"x0=1.5,\xff=1")]
fn a_report_with_an_invalid_field_is_ignored(#[case] text: &[u8]) {
    assert!(parse(text).is_none());
}

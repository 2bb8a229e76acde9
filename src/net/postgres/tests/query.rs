//! Tests of Query messages and of the leading comment of a client's query.

use std::time::Duration;

use rstest::rstest;

use super::super::query::QueryError;
use super::super::query_comment::CommentError;
use super::*;
use crate::net::Query;
use crate::time::ClusterInstant;

const MINIMAL: &str = "/*id=a1,c=read,cluster=2,d=500*/ SELECT 1";

fn parse(sql: &str) -> Result<ParsedQuery, QueryError> {
    parse_query(&[sql.as_bytes(), b"\0"].concat())
}

fn parse_valid(sql: &str) -> Query {
    match parse(sql) {
        Ok(ParsedQuery::Query(query)) => *query,
        other => panic!("{sql}: {other:?}"),
    }
}

fn timeout_text(query: &Query) -> &str {
    &query.statement.text[query.statement.timeout_range.clone()]
}

#[test]
fn required_fields_suffice() {
    let query = parse_valid(MINIMAL);
    assert_eq!((query.id.as_str(), query.class.as_str(), query.group), ("a1", "read", 2));
    assert_eq!(query.timeout, Duration::from_millis(500));
    assert_eq!(query.tenant, "");
    assert_eq!(query.session_token, None);
    assert!(!query.has_idempotency_key);
    assert_eq!(query.session_key, None);
    assert_eq!(&*query.statement.text, MINIMAL);
    assert_eq!(timeout_text(&query), "500");
}

#[test]
fn optional_fields_are_parsed() {
    let query =
        parse_valid("/*id=a,c=w,t=shop,cluster=0,d=1,k=key,r=1,after=1700000000500,x=y*/ SELECT 'user 7'");
    assert_eq!(query.tenant, "shop");
    assert_eq!(query.session_token, Some(ClusterInstant::from_secs(1_700_000_000.5)));
    assert!(query.has_idempotency_key);
    assert_eq!(query.session_key.as_deref(), Some("user 7"));
}

#[test]
fn spaces_around_names_and_values_are_ignored() {
    let query = parse_valid(" \n/* id = é 1 ,\tc=read , cluster= 2, d =  500 ,é=1*/SELECT 1;");
    assert_eq!((query.id.as_str(), query.class.as_str()), ("é 1", "read"));
    assert_eq!(timeout_text(&query), "500");
}

#[test]
fn value_may_contain_an_equals_sign() {
    assert_eq!(parse_valid("/*id=a=b,c=read,cluster=2,d=500*/ SELECT 1").id, "a=b");
}

#[test]
fn timeout_is_replaced_in_the_statement() {
    let query = parse_valid("/*d= 500 ,id=a,c=d=500,cluster=2*/ SELECT 500");
    let timeout = Duration::from_micros(7100);
    assert_eq!(query.statement.with_timeout(timeout), b"/*d= 7 ,id=a,c=d=500,cluster=2*/ SELECT 500");
}

#[rstest]
#[case::zero("0", None)]
#[case::one("1", Some(0.001))]
#[case::fifteen_digits("999999999999999", Some(999_999_999_999.999))]
fn session_token_is_parsed_as_milliseconds(#[case] value: &str, #[case] expected: Option<f64>) {
    let query = parse_valid(&format!("/*id=a,c=r,cluster=2,d=5,after={value}*/ SELECT 1"));
    assert_eq!(query.session_token, expected.map(ClusterInstant::from_secs));
}

#[rstest]
#[case::retry("1")]
#[case::no_retry("0")]
#[case::other_text("01")]
fn client_retry_is_accepted_with_any_value(#[case] value: &str) {
    let query = parse_valid(&format!("/*id=a,c=r,cluster=2,d=5,r={value}*/ SELECT 1"));
    assert_eq!((query.id.as_str(), query.class.as_str(), query.group), ("a", "r", 2));
    assert_eq!(timeout_text(&query), "5");
}

#[rstest]
#[case::no_quotes("SELECT 1", None)]
#[case::one_quote("SELECT 'a", None)]
#[case::empty("SELECT ''", Some(""))]
#[case::first_of_two("SELECT 'a', 'b'", Some("a"))]
fn session_key_is_the_first_quoted_string(#[case] statement: &str, #[case] expected: Option<&str>) {
    let query = parse_valid(&format!("/*id='x',c=r,cluster=2,d=5*/ {statement}"));
    assert_eq!(query.session_key.as_deref(), expected);
}

#[rstest]
#[case::empty("")]
#[case::spaces(" \t\r\n")]
#[case::semicolons(" ; ;")]
fn query_without_statement_is_empty(#[case] sql: &str) {
    assert!(matches!(parse(sql), Ok(ParsedQuery::Empty)));
}

#[rstest]
#[case::empty(b"")]
#[case::no_zero(b"SELECT 1")]
#[case::two_zeros(b"SELECT 1\0\0")]
#[case::zero_inside(b"SELECT\x001\0")]
#[case::not_utf8(b"SELECT \xff\0")]
fn body_that_is_not_a_single_string_is_rejected(#[case] body: &[u8]) {
    assert_eq!(parse_query(body).unwrap_err(), QueryError::InvalidText);
}

#[rstest]
#[case::no_comment("SELECT 1", QueryError::MissingComment)]
#[case::comment_after_the_statement("SELECT 1 /*id=a,c=r,cluster=2,d=5*/", QueryError::MissingComment)]
#[case::unterminated_comment("/*id=a,c=r,cluster=2,d=5 SELECT 1", QueryError::UnterminatedComment)]
#[case::end_overlaps_start("/*/id=a,c=r,cluster=2,d=5*/ SELECT 1", QueryError::UnterminatedComment)]
#[case::no_statement("/*id=a,c=r,cluster=2,d=5*/ ;", QueryError::MissingStatement)]
#[case::empty_comment("/**/ SELECT 1", CommentError::MalformedPair)]
#[case::comma_at_the_end("/*id=a,c=r,cluster=2,d=5,*/ SELECT 1", CommentError::MalformedPair)]
#[case::empty_value("/*id= ,c=r,cluster=2,d=5*/ SELECT 1", CommentError::EmptyOrRepeatedValue)]
#[case::repeated("/*id=a,c=r,cluster=2,d=5,id=a*/ SELECT 1", CommentError::EmptyOrRepeatedValue)]
#[case::empty_client_retry("/*id=a,c=r,cluster=2,d=5,r=*/ SELECT 1", CommentError::EmptyOrRepeatedValue)]
#[case::repeated_client_retry(
    "/*id=a,c=r,cluster=2,d=5,r=1,r=1*/ SELECT 1",
    CommentError::EmptyOrRepeatedValue
)]
#[case::no_id("/*c=r,cluster=2,d=5*/ SELECT 1", CommentError::MissingId)]
#[case::no_class("/*id=a,cluster=2,d=5*/ SELECT 1", CommentError::MissingClass)]
#[case::no_group("/*id=a,c=r,d=5*/ SELECT 1", CommentError::InvalidGroup)]
#[case::negative_group("/*id=a,c=r,cluster=-1,d=5*/ SELECT 1", CommentError::InvalidGroup)]
#[case::no_timeout("/*id=a,c=r,cluster=2*/ SELECT 1", CommentError::MissingTimeout)]
#[case::zero_timeout("/*id=a,c=r,cluster=2,d=0*/ SELECT 1", CommentError::InvalidTimeout)]
#[case::signed_timeout("/*id=a,c=r,cluster=2,d=+5*/ SELECT 1", CommentError::InvalidTimeout)]
#[case::long_timeout("/*id=a,c=r,cluster=2,d=0000000000000005*/ SELECT 1", CommentError::InvalidTimeout)]
#[case::token("/*id=a,c=r,cluster=2,d=5,after=x*/ SELECT 1", CommentError::InvalidSessionToken)]
fn invalid_query_is_rejected(#[case] sql: &str, #[case] expected: impl Into<QueryError>) {
    assert_eq!(parse(sql).unwrap_err(), expected.into());
}

/// If a comment has several errors, the first in this order is reported.
#[rstest]
#[case::missing_timeout_first("/*after=x*/ SELECT 1", CommentError::MissingTimeout)]
#[case::then_the_token("/*d=0,after=x*/ SELECT 1", CommentError::InvalidSessionToken)]
#[case::then_the_group("/*d=0,cluster=x*/ SELECT 1", CommentError::InvalidGroup)]
#[case::then_the_id("/*d=0,cluster=2*/ SELECT 1", CommentError::MissingId)]
#[case::then_the_class("/*d=0,cluster=2,id=a*/ SELECT 1", CommentError::MissingClass)]
#[case::then_the_value_of_the_timeout("/*d=0,cluster=2,id=a,c=r*/ SELECT 1", CommentError::InvalidTimeout)]
fn errors_are_reported_in_a_fixed_order(#[case] sql: &str, #[case] expected: CommentError) {
    assert_eq!(parse(sql).unwrap_err(), QueryError::Comment(expected));
}

#[rstest]
#[case(QueryError::InvalidText, "a query must be UTF-8 and end with its only zero")]
#[case(QueryError::MissingComment, "no leading comment")]
#[case(QueryError::UnterminatedComment, "the comment does not end")]
#[case(QueryError::MissingStatement, "no statement behind the comment")]
#[case(CommentError::MalformedPair, "the comment is not made of names and values")]
#[case(CommentError::EmptyOrRepeatedValue, "a value of the comment is empty or there twice")]
#[case(CommentError::MissingId, "no id in the comment")]
#[case(CommentError::MissingClass, "no class in the comment")]
#[case(CommentError::InvalidGroup, "no group number in the comment")]
#[case(CommentError::MissingTimeout, "no d in the comment")]
#[case(CommentError::InvalidTimeout, "d is not a number of milliseconds above 0")]
#[case(CommentError::InvalidSessionToken, "after is not a time in milliseconds")]
fn error_texts_sent_to_clients_are_stable(#[case] error: impl Into<QueryError>, #[case] expected: &str) {
    assert_eq!(error.into().to_string(), expected);
}

#[test]
fn query_message_ends_with_a_zero() {
    assert_eq!(query_message(b"SELECT 1"), b"Q\0\0\0\x0dSELECT 1\0");
}

#[test]
fn random_bytes_never_panic() {
    let mut rng = fastrand::Rng::with_seed(SEED);
    for _ in 0..5000 {
        let body = random_bytes(&mut rng, 60);
        let _ = parse_query(&body);
        let _ = parse_query(&[&body[..], b"\0"].concat());
    }
}

/// Concatenates parts of queries at random, which reaches further into the parser than random bytes.
#[test]
fn random_parts_never_panic_and_the_timeout_stays_a_number() {
    const PARTS: [&str; 24] = [
        "/*", "*/", "id", "c", "t", "cluster", "d", "k", "r", "after", "=", "=", ",", ",", " ", "é", "'",
        ";", "1", "0", "500", "x", "\0", "\u{3000}",
    ];
    let mut rng = fastrand::Rng::with_seed(SEED);
    for _ in 0..5000 {
        let count = rng.usize(..12);
        let fields: String = (0..count).map(|_| PARTS[rng.usize(..PARTS.len())]).collect();
        let _ = parse(&fields);
        let sql = format!("/*id=a,c=r,{fields},cluster=2,d= 500 */ SELECT 1");
        if let Ok(ParsedQuery::Query(query)) = parse(&sql) {
            assert!(timeout_text(&query).bytes().all(|byte| byte.is_ascii_digit()), "{sql}");
        }
    }
}

//! Query messages: parsing of those that clients send, which are a leading comment with the fields of the
//! request and a statement, and writing of those for endpoints.

use std::ops::Range;

use thiserror::Error;

use super::message::{write_message, HEADER_SIZE};
use super::message_kind::client;
use super::query_comment::{CommentFields, RawFields};
use super::strings::parse_string;
use crate::net::{Query, Statement};

const COMMENT_START: &str = "/*";
const COMMENT_END: &str = "*/";
const QUOTE: char = '\'';

/// A query of a client.
#[derive(Debug)]
pub(crate) enum ParsedQuery {
    /// The query has no statement.
    Empty,
    Query(Box<Query>),
}

/// Why a client's query is rejected. The texts are sent to the client.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum QueryError {
    #[error("a query must be UTF-8 and end with its only zero")]
    InvalidText,
    #[error("no leading comment")]
    NoComment,
    #[error("the comment does not end")]
    UnterminatedComment,
    #[error("no statement behind the comment")]
    NoStatement,
    #[error("the comment is not made of names and values")]
    NotNameAndValue,
    #[error("a value of the comment is empty or there twice")]
    EmptyOrRepeatedValue,
    #[error("no id in the comment")]
    NoId,
    #[error("no class in the comment")]
    NoClass,
    #[error("no group number in the comment")]
    NoGroup,
    #[error("no d in the comment")]
    NoTimeout,
    #[error("d is not a number of milliseconds above 0")]
    InvalidTimeout,
    #[error("after is not a time in milliseconds")]
    InvalidSessionToken,
}

/// Parses the body of a client's query message.
pub(crate) fn parse_query(body: &[u8]) -> Result<ParsedQuery, QueryError> {
    let sql = parse_string(body).ok_or(QueryError::InvalidText)?;
    if is_blank(sql) {
        return Ok(ParsedQuery::Empty);
    }
    let comment = find_leading_comment(sql)?;
    let statement = &sql[comment.end + COMMENT_END.len()..];
    if is_blank(statement) {
        return Err(QueryError::NoStatement);
    }
    let raw_fields = RawFields::parse(&sql[comment.clone()], comment.start)?;
    let fields = raw_fields.check()?;
    Ok(ParsedQuery::Query(Box::new(build_query(sql, statement, fields))))
}

/// Returns a Query message for an endpoint.
pub(crate) fn query_message(sql: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_SIZE + sql.len() + 1);
    write_message(&mut out, client::QUERY, |out| {
        out.extend(sql);
        out.push(0);
    });
    out
}

fn build_query(sql: &str, statement: &str, fields: CommentFields) -> Query {
    Query {
        id: fields.id,
        class: fields.class,
        tenant: fields.tenant,
        group: fields.group,
        timeout: fields.timeout,
        received_at: 0.0,
        session_token: fields.session_token,
        has_idempotency_key: fields.has_idempotency_key,
        client_retry: fields.client_retry,
        session: find_quoted_key(statement).map(String::from),
        statement: Statement { text: sql.into(), timeout: fields.timeout_position, memory: None },
    }
}

/// Returns whether `sql` contains no statement.
fn is_blank(sql: &str) -> bool {
    sql.trim_matches([' ', '\t', '\r', '\n', ';']).is_empty()
}

/// Returns where the text inside the leading comment is.
fn find_leading_comment(sql: &str) -> Result<Range<usize>, QueryError> {
    let (before, _) = sql.split_once(COMMENT_START).ok_or(QueryError::NoComment)?;
    if !before.trim().is_empty() {
        return Err(QueryError::NoComment);
    }
    let start = before.len() + COMMENT_START.len();
    let end = sql.find(COMMENT_END).filter(|end| *end >= start);
    Ok(start..end.ok_or(QueryError::UnterminatedComment)?)
}

/// Returns the first quoted string of the statement.
fn find_quoted_key(statement: &str) -> Option<&str> {
    let (_, after_quote) = statement.split_once(QUOTE)?;
    let (key, _) = after_quote.split_once(QUOTE)?;
    Some(key)
}

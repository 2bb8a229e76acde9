//! Query messages. Parses queries from clients, which consist of a leading comment with the fields of the
//! request and a statement, and encodes queries for endpoints.

use std::ops::Range;

use thiserror::Error;

use super::message::{write_message, HEADER_SIZE};
use super::message_kind::ClientMessageKind;
use super::query_comment::{CommentError, CommentFields, UnparsedFields};
use super::strings::{parse_string, push_string, TERMINATOR};
use crate::net::{Query, Statement};

const COMMENT_START: &str = "/*";
const COMMENT_END: &str = "*/";
const QUOTE: char = '\'';
/// The characters that a query without a statement may contain.
const BLANK_CHARACTERS: [char; 5] = [' ', '\t', '\r', '\n', ';'];

/// The content of a client's Query message.
#[derive(Debug)]
pub(crate) enum ParsedQuery {
    /// The query has neither a statement nor a comment.
    Empty,
    /// The query has a comment with valid fields and a statement.
    Query(Box<Query>),
}

/// Why a client's query is invalid. The texts are sent to the client.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum QueryError {
    /// The body of the message is not a single zero-terminated UTF-8 string.
    #[error("a query must be UTF-8 and end with its only zero")]
    InvalidText,
    /// The query does not start with a comment.
    #[error("no leading comment")]
    MissingComment,
    /// The leading comment is not terminated.
    #[error("the comment does not end")]
    UnterminatedComment,
    /// No statement follows the comment.
    #[error("no statement behind the comment")]
    MissingStatement,
    /// The fields in the comment are invalid.
    #[error(transparent)]
    Comment(#[from] CommentError),
}

/// Parses the body of a client's Query message.
pub(crate) fn parse_query(body: &[u8]) -> Result<ParsedQuery, QueryError> {
    let sql = parse_string(body).ok_or(QueryError::InvalidText)?;
    if is_blank(sql) {
        return Ok(ParsedQuery::Empty);
    }
    let comment = find_leading_comment(sql)?;
    let statement = &sql[comment.end + COMMENT_END.len()..];
    if is_blank(statement) {
        return Err(QueryError::MissingStatement);
    }
    let fields = UnparsedFields::split(&sql[comment.clone()], comment.start)?.validate()?;
    Ok(ParsedQuery::Query(Box::new(build_query(sql, statement, fields))))
}

/// Returns a Query message for an endpoint.
pub(crate) fn query_message(sql: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_SIZE + sql.len() + [TERMINATOR].len());
    write_message(&mut out, ClientMessageKind::Query, |out| push_string(out, sql));
    out
}

fn build_query(sql: &str, statement: &str, fields: CommentFields) -> Query {
    Query {
        id: fields.id,
        id_claim: None,
        class: fields.class,
        tenant: fields.tenant,
        group: fields.group,
        timeout: fields.timeout,
        session_token: fields.session_token,
        has_idempotency_key: fields.has_idempotency_key,
        session_key: first_quoted_string(statement).map(String::from),
        statement: Statement { text: sql.into(), timeout_range: fields.timeout_range, memory: None },
    }
}

/// Returns `true` if `sql` contains no statement.
fn is_blank(sql: &str) -> bool {
    sql.trim_matches(BLANK_CHARACTERS).is_empty()
}

/// Returns the byte range of the text inside the leading comment.
fn find_leading_comment(sql: &str) -> Result<Range<usize>, QueryError> {
    let (before, _) = sql.split_once(COMMENT_START).ok_or(QueryError::MissingComment)?;
    if !before.trim().is_empty() {
        return Err(QueryError::MissingComment);
    }
    let start = before.len() + COMMENT_START.len();
    let end = sql.find(COMMENT_END).filter(|end| *end >= start);
    Ok(start..end.ok_or(QueryError::UnterminatedComment)?)
}

/// Returns the first quoted string of the statement, which is the session key. Escaped quotes are not
/// handled.
fn first_quoted_string(statement: &str) -> Option<&str> {
    let (_, after_quote) = statement.split_once(QUOTE)?;
    let (quoted, _) = after_quote.split_once(QUOTE)?;
    Some(quoted)
}

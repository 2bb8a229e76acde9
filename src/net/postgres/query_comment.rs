//! The comment that precedes a client's statement: comma-separated pairs of names and values, such as
//! `id=a1, c=read, cluster=2, d=500`.
//!
//! | Field | Meaning | Unit or format | Required | Name in the code |
//! | --- | --- | --- | --- | --- |
//! | `id` | identifier of the request | text | yes | `id` |
//! | `c` | name of the request class | text | yes | `class` |
//! | `t` | name of the tenant | text; empty if missing | no | `tenant` |
//! | `cluster` | group that holds the data | non-negative integer | yes | `group` |
//! | `d` | how long the client waits | milliseconds, positive integer | yes | `timeout` |
//! | `k` | idempotency key for the endpoint | text | if the class requires it | `has_idempotency_key` |
//! | `r` | marks a retry by the client | any non-empty text; not used | no | `client_retry` |
//! | `after` | commit time that the query must see | Unix time (ms); 0 for none | no | `session_token` |

use std::ops::Range;
use std::time::Duration;

use thiserror::Error;

use crate::time::ClusterInstant;

/// The field names.
const ID: &str = "id";
const CLASS: &str = "c";
const TENANT: &str = "t";
const GROUP: &str = "cluster";
const TIMEOUT: &str = "d";
const IDEMPOTENCY_KEY: &str = "k";
const CLIENT_RETRY: &str = "r";
const SESSION_TOKEN: &str = "after";

/// Separates the pairs.
const PAIR_SEPARATOR: char = ',';
/// Separates the name from the value of a pair.
const NAME_SEPARATOR: char = '=';

/// Maximum number of digits in a number. An `f64` represents all such numbers exactly, and a Unix time in
/// milliseconds has 13 digits.
const MAX_DIGITS: usize = 15;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Why a comment is invalid. The texts are sent to the client.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum CommentError {
    /// A pair has no equals sign.
    #[error("the comment is not made of names and values")]
    MalformedPair,
    /// A known field has an empty value or occurs twice.
    #[error("a value of the comment is empty or there twice")]
    EmptyOrRepeatedValue,
    /// The identifier of the request is missing.
    #[error("no id in the comment")]
    MissingId,
    /// The class of the request is missing.
    #[error("no class in the comment")]
    MissingClass,
    /// The group is missing or is not a valid number.
    #[error("no group number in the comment")]
    InvalidGroup,
    /// The timeout is missing.
    #[error("no d in the comment")]
    MissingTimeout,
    /// The timeout is zero or is not a valid number.
    #[error("d is not a number of milliseconds above 0")]
    InvalidTimeout,
    /// The session token is not a valid number.
    #[error("after is not a time in milliseconds")]
    InvalidSessionToken,
}

/// The validated fields of a comment.
#[derive(Debug, PartialEq)]
pub(super) struct CommentFields {
    /// The request identifier that the client chose.
    pub id: String,
    /// The name of the request class.
    pub class: String,
    /// The name of the tenant; empty if the comment names none.
    pub tenant: String,
    /// The number of the group that holds the data.
    pub group: u32,
    /// How long the client waits; greater than zero.
    pub timeout: Duration,
    /// The byte range of the timeout's digits in the query.
    pub timeout_range: Range<usize>,
    /// The time of the commit that the query must see, if any.
    pub session_token: Option<ClusterInstant>,
    /// Whether the request has an idempotency key. Only the endpoint uses its value.
    pub has_idempotency_key: bool,
}

/// An unparsed value and its position in the query.
struct UnparsedValue<'a> {
    text: &'a str,
    /// The byte offset in the query.
    start: usize,
}

impl<'a> UnparsedValue<'a> {
    /// Returns the value without surrounding whitespace; `start` is the byte offset of `padded` in the query.
    fn trimmed(padded: &'a str, start: usize) -> Self {
        let without_leading = padded.trim_start();
        let leading = padded.len() - without_leading.len();
        UnparsedValue { text: without_leading.trim_end(), start: start + leading }
    }

    fn range(&self) -> Range<usize> {
        self.start..self.start + self.text.len()
    }
}

/// The unparsed fields of a comment. Unknown fields are ignored.
#[derive(Default)]
pub(super) struct UnparsedFields<'a> {
    id: Option<UnparsedValue<'a>>,
    class: Option<UnparsedValue<'a>>,
    tenant: Option<UnparsedValue<'a>>,
    group: Option<UnparsedValue<'a>>,
    timeout: Option<UnparsedValue<'a>>,
    idempotency_key: Option<UnparsedValue<'a>>,
    /// Marks a retry by the client. Any non-empty value is accepted, and the value is not used.
    client_retry: Option<UnparsedValue<'a>>,
    session_token: Option<UnparsedValue<'a>>,
}

impl<'a> UnparsedFields<'a> {
    /// Splits the text inside a comment into fields; `start` is its byte offset in the query.
    ///
    /// Fails if a pair has no equals sign, or if a known field is empty or occurs twice.
    pub fn split(comment: &'a str, start: usize) -> Result<Self, CommentError> {
        let mut fields = UnparsedFields::default();
        let mut pair_start = start;
        for pair in comment.split(PAIR_SEPARATOR) {
            let (name, value) = pair.split_once(NAME_SEPARATOR).ok_or(CommentError::MalformedPair)?;
            let value_start = pair_start + name.len() + NAME_SEPARATOR.len_utf8();
            fields.set(name.trim(), UnparsedValue::trimmed(value, value_start))?;
            pair_start += pair.len() + PAIR_SEPARATOR.len_utf8();
        }
        Ok(fields)
    }

    /// Sets the field with this name; an unknown name is ignored.
    fn set(&mut self, name: &str, value: UnparsedValue<'a>) -> Result<(), CommentError> {
        let Some(field) = self.field_mut(name) else { return Ok(()) };
        if value.text.is_empty() || field.is_some() {
            return Err(CommentError::EmptyOrRepeatedValue);
        }
        *field = Some(value);
        Ok(())
    }

    fn field_mut(&mut self, name: &str) -> Option<&mut Option<UnparsedValue<'a>>> {
        match name {
            ID => Some(&mut self.id),
            CLASS => Some(&mut self.class),
            TENANT => Some(&mut self.tenant),
            GROUP => Some(&mut self.group),
            TIMEOUT => Some(&mut self.timeout),
            IDEMPOTENCY_KEY => Some(&mut self.idempotency_key),
            CLIENT_RETRY => Some(&mut self.client_retry),
            SESSION_TOKEN => Some(&mut self.session_token),
            _ => None,
        }
    }

    /// Validates the fields. The order of the checks determines which of several errors is reported.
    pub fn validate(self) -> Result<CommentFields, CommentError> {
        let timeout = self.timeout.ok_or(CommentError::MissingTimeout)?;
        let session_token = parse_session_token(self.session_token)?;
        let group = parse_group(self.group).ok_or(CommentError::InvalidGroup)?;
        let id = self.id.ok_or(CommentError::MissingId)?;
        let class = self.class.ok_or(CommentError::MissingClass)?;
        let duration = parse_timeout(&timeout).ok_or(CommentError::InvalidTimeout)?;
        Ok(CommentFields {
            id: id.text.into(),
            class: class.text.into(),
            tenant: self.tenant.map(|tenant| tenant.text.into()).unwrap_or_default(),
            group,
            timeout: duration,
            timeout_range: timeout.range(),
            session_token,
            has_idempotency_key: self.idempotency_key.is_some(),
        })
    }
}

/// Parses the optional session token. A token of 0 means that no particular commit has to be visible.
fn parse_session_token(value: Option<UnparsedValue>) -> Result<Option<ClusterInstant>, CommentError> {
    let Some(value) = value else { return Ok(None) };
    let millis = parse_millis(value.text).ok_or(CommentError::InvalidSessionToken)?;
    Ok((millis > 0).then(|| ClusterInstant::from_secs(millis as f64 / MILLIS_PER_SECOND)))
}

fn parse_group(value: Option<UnparsedValue>) -> Option<u32> {
    value?.text.parse().ok()
}

/// Parses the timeout, or returns `None` if it is zero or not a valid number.
fn parse_timeout(value: &UnparsedValue) -> Option<Duration> {
    let millis = parse_millis(value.text)?;
    (millis > 0).then(|| Duration::from_millis(millis))
}

/// Parses a number of milliseconds, or returns `None` if the text is not all digits or has more than
/// [`MAX_DIGITS`].
fn parse_millis(text: &str) -> Option<u64> {
    let is_number = text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return None;
    }
    text.parse().ok()
}

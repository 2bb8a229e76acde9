//! The comment before a client's statement: pairs of names and values with commas between them, such as
//! `id=a1, c=read, cluster=2, d=500`.
//!
//! | Field | Meaning | Unit or form | Required | Term in the code |
//! | --- | --- | --- | --- | --- |
//! | `id` | identifier of the request | text | yes | `id` |
//! | `c` | name of the request class | text | yes | `class` |
//! | `t` | name of the tenant | text; empty if missing | no | `tenant` |
//! | `cluster` | group that holds the data | integer from 0 | yes | `group` |
//! | `d` | how long the client waits | milliseconds, integer above 0 | yes | `timeout` |
//! | `k` | idempotency key, for the endpoint | text | where the class needs it | `has_idempotency_key` |
//! | `r` | marks a retry by the client | any text; accepted and only checked | no | `client_retry` |
//! | `after` | time of the commit that must be seen | Unix time (ms); 0 for none | no | `session_token` |

use std::ops::Range;
use std::time::Duration;

use thiserror::Error;

use crate::time::ClusterInstant;

/// The names of the fields.
const ID: &str = "id";
const CLASS: &str = "c";
const TENANT: &str = "t";
const GROUP: &str = "cluster";
const TIMEOUT: &str = "d";
const IDEMPOTENCY_KEY: &str = "k";
const CLIENT_RETRY: &str = "r";
const SESSION_TOKEN: &str = "after";

/// Stands between the pairs.
const PAIR_SEPARATOR: char = ',';
/// Stands between the name and the value of a pair.
const NAME_SEPARATOR: char = '=';

/// The most digits of a number: an `f64` holds all such numbers exactly. A Unix time in milliseconds has 13.
const MAX_DIGITS: usize = 15;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Why a comment is rejected. The texts are sent to the client.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum CommentError {
    /// A pair has no equals sign.
    #[error("the comment is not made of names and values")]
    NotNameAndValue,
    /// A known field has an empty value or is there twice.
    #[error("a value of the comment is empty or there twice")]
    EmptyOrRepeatedValue,
    /// The identifier of the request is missing.
    #[error("no id in the comment")]
    NoId,
    /// The class of the request is missing.
    #[error("no class in the comment")]
    NoClass,
    /// The group is missing or not a number.
    #[error("no group number in the comment")]
    NoGroup,
    /// The timeout is missing.
    #[error("no d in the comment")]
    NoTimeout,
    /// The timeout is zero or not a number.
    #[error("d is not a number of milliseconds above 0")]
    InvalidTimeout,
    /// The session token is not a number.
    #[error("after is not a time in milliseconds")]
    InvalidSessionToken,
}

/// The valid fields of a comment.
#[derive(Debug, PartialEq)]
pub(super) struct CommentFields {
    /// The identifier that the client gave the request.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant; empty without one.
    pub tenant: String,
    /// The number of the group that holds its data.
    pub group: u32,
    /// How long the client waits, above 0.
    pub timeout: Duration,
    /// Where in the query the digits of the timeout are (bytes).
    pub timeout_position: Range<usize>,
    /// The time of the commit that the query must see.
    pub session_token: Option<ClusterInstant>,
    /// Whether the request carries an idempotency key. Its value is for the endpoint.
    pub has_idempotency_key: bool,
}

/// The text of a value and its place in the query.
struct RawValue<'a> {
    text: &'a str,
    /// In bytes.
    start: usize,
}

impl<'a> RawValue<'a> {
    /// Returns the value without the spaces around it; `start` is the place of `padded` in the query (bytes).
    fn trimmed(padded: &'a str, start: usize) -> Self {
        let without_leading = padded.trim_start();
        let leading = padded.len() - without_leading.len();
        RawValue { text: without_leading.trim_end(), start: start + leading }
    }

    fn position(&self) -> Range<usize> {
        self.start..self.start + self.text.len()
    }
}

/// The fields of a comment as text. Fields of other names are ignored.
#[derive(Default)]
pub(super) struct RawFields<'a> {
    id: Option<RawValue<'a>>,
    class: Option<RawValue<'a>>,
    tenant: Option<RawValue<'a>>,
    group: Option<RawValue<'a>>,
    timeout: Option<RawValue<'a>>,
    idempotency_key: Option<RawValue<'a>>,
    /// Marks a retry by the client. It may have any value, which nothing reads.
    client_retry: Option<RawValue<'a>>,
    session_token: Option<RawValue<'a>>,
}

impl<'a> RawFields<'a> {
    /// Parses the text inside a comment; `start` is its place in the query (bytes).
    ///
    /// Fails if a pair has no equals sign, or if a known field is empty or there twice.
    pub fn parse(comment: &'a str, start: usize) -> Result<Self, CommentError> {
        let mut fields = RawFields::default();
        let mut pair_start = start;
        for pair in comment.split(PAIR_SEPARATOR) {
            let (name, value) = pair.split_once(NAME_SEPARATOR).ok_or(CommentError::NotNameAndValue)?;
            let value_start = pair_start + name.len() + NAME_SEPARATOR.len_utf8();
            fields.set(name.trim(), RawValue::trimmed(value, value_start))?;
            pair_start += pair.len() + PAIR_SEPARATOR.len_utf8();
        }
        Ok(fields)
    }

    /// Sets the field of this name, if there is one.
    fn set(&mut self, name: &str, value: RawValue<'a>) -> Result<(), CommentError> {
        let Some(field) = self.field_mut(name) else { return Ok(()) };
        if value.text.is_empty() || field.is_some() {
            return Err(CommentError::EmptyOrRepeatedValue);
        }
        *field = Some(value);
        Ok(())
    }

    fn field_mut(&mut self, name: &str) -> Option<&mut Option<RawValue<'a>>> {
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

    /// Validates the fields. The order of the checks decides which of several errors is reported.
    pub fn validate(self) -> Result<CommentFields, CommentError> {
        let timeout = self.timeout.ok_or(CommentError::NoTimeout)?;
        let session_token = parse_session_token(self.session_token)?;
        let group = parse_group(self.group).ok_or(CommentError::NoGroup)?;
        let id = self.id.ok_or(CommentError::NoId)?;
        let class = self.class.ok_or(CommentError::NoClass)?;
        let duration = parse_timeout(&timeout).ok_or(CommentError::InvalidTimeout)?;
        Ok(CommentFields {
            id: id.text.into(),
            class: class.text.into(),
            tenant: self.tenant.map(|tenant| tenant.text.into()).unwrap_or_default(),
            group,
            timeout: duration,
            timeout_position: timeout.position(),
            session_token,
            has_idempotency_key: self.idempotency_key.is_some(),
        })
    }
}

/// Parses the optional session token. A token of 0 requires no commit to be seen.
fn parse_session_token(value: Option<RawValue>) -> Result<Option<ClusterInstant>, CommentError> {
    let Some(value) = value else { return Ok(None) };
    let millis = parse_millis(value.text).ok_or(CommentError::InvalidSessionToken)?;
    Ok((millis > 0).then(|| ClusterInstant::from_secs(millis as f64 / MILLIS_PER_SECOND)))
}

fn parse_group(value: Option<RawValue>) -> Option<u32> {
    value?.text.parse().ok()
}

/// Returns the timeout, or `None` if it is 0 or not a number.
fn parse_timeout(value: &RawValue) -> Option<Duration> {
    let millis = parse_millis(value.text)?;
    (millis > 0).then(|| Duration::from_millis(millis))
}

/// Returns a number of milliseconds, or `None` if the text is anything but digits or too long.
fn parse_millis(text: &str) -> Option<u64> {
    let is_number = text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return None;
    }
    text.parse().ok()
}

//! Queries with the comment that describes the request to the pooler.

use super::wire::query_message;

/// The default deadline of a request, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 8500;

/// A query whose leading comment holds the fields that the pooler reads.
pub struct Request {
    id: String,
    class: &'static str,
    deadline_ms: u64,
    group: u32,
    after: Option<i64>,
    condition: String,
}

impl Request {
    /// Creates a request of a class that the configuration defines.
    pub fn new(id: impl ToString, class: &'static str) -> Request {
        Request {
            id: id.to_string(),
            class,
            deadline_ms: DEFAULT_DEADLINE_MS,
            group: 2,
            after: None,
            condition: String::new(),
        }
    }

    /// Sets the deadline: the longest time that the client waits, in milliseconds.
    pub fn deadline_ms(self, deadline_ms: u64) -> Request {
        Request { deadline_ms, ..self }
    }

    /// Sets the group of database hosts that the request is for.
    pub fn group(self, group: u32) -> Request {
        Request { group, ..self }
    }

    /// Requires a host that has replayed the log up to `position`.
    pub fn after(self, position: i64) -> Request {
        Request { after: Some(position), ..self }
    }

    /// Adds a literal of 64 KiB in hexadecimal, which makes the statement about as long as the limit allows.
    pub fn with_large_literal(self) -> Request {
        Request { condition: format!(" AND doc = '\\x{}'", "9f".repeat(64 * 1024)), ..self }
    }

    /// Returns the comment and the statement.
    pub fn sql(&self) -> String {
        let Request { id, class, deadline_ms, group, condition, .. } = self;
        let after = self.after.map(|position| format!(",after={position}")).unwrap_or_default();
        format!(
            "/* id={id},c={class},t=acme,d={deadline_ms},k=5c0f,cluster={group}{after} */ \
             SELECT doc FROM items WHERE id = '7f3a'{condition}"
        )
    }

    /// Returns the request as a Query message.
    pub fn message(&self) -> Vec<u8> {
        query_message(&self.sql())
    }
}

/// Returns the deadline in the comment of a forwarded query, in milliseconds.
pub fn deadline_field(sql: &str) -> u64 {
    let after_name = sql.split_once(",d=").unwrap().1;
    after_name.split(',').next().unwrap().parse().unwrap()
}

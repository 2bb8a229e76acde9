//! Statements with the comment in which clients describe their request.

use super::wire::query_message;

/// The time that a request has by default, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 8500;

/// A statement whose comment holds the fields that the pooler reads.
pub struct Request {
    id: String,
    class: &'static str,
    deadline_ms: u64,
    group: u32,
    after: Option<i64>,
    condition: String,
}

impl Request {
    /// A request of one of the classes of the configuration.
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

    /// Sets the time that the client waits at most.
    pub fn deadline_ms(self, deadline_ms: u64) -> Request {
        Request { deadline_ms, ..self }
    }

    /// Sets the group of database hosts that holds the data.
    pub fn group(self, group: u32) -> Request {
        Request { group, ..self }
    }

    /// Asks for a host that has replayed commits up to `position`.
    pub fn after(self, position: i64) -> Request {
        Request { after: Some(position), ..self }
    }

    /// Makes the statement about as long as the limit allows, by a literal of 64 KiB in hexadecimal.
    pub fn with_large_literal(self) -> Request {
        Request { condition: format!(" AND doc = '\\x{}'", "9f".repeat(64 * 1024)), ..self }
    }

    /// The comment and the statement.
    pub fn sql(&self) -> String {
        let Request { id, class, deadline_ms, group, condition, .. } = self;
        let after = self.after.map(|position| format!(",after={position}")).unwrap_or_default();
        format!(
            "/* id={id},c={class},t=acme,d={deadline_ms},k=5c0f,cluster={group}{after} */ \
             SELECT doc FROM items WHERE id = '7f3a'{condition}"
        )
    }

    /// The Query message.
    pub fn message(&self) -> Vec<u8> {
        query_message(&self.sql())
    }
}

/// The deadline in the comment of a forwarded statement.
pub fn deadline_field(sql: &str) -> u64 {
    let after_name = sql.split_once(",d=").unwrap().1;
    after_name.split(',').next().unwrap().parse().unwrap()
}

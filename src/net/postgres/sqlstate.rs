//! SQLSTATE codes that the pooler sends to clients or interprets in errors from endpoints. The names are
//! those in PostgreSQL's list of error codes.

/// From an endpoint: it is overloaded. To a client: the request is rejected and is safe to retry.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// From an endpoint: it is a replica and cannot execute writes.
pub const READ_ONLY_TRANSACTION: &str = "25006";
/// From an endpoint: it has not replayed the commit that the read requires.
pub const SNAPSHOT_TOO_OLD: &str = "72000";
/// To a client: the request failed and may have been executed.
pub const SYSTEM_ERROR: &str = "58000";
/// To a client: the query or its comment cannot be parsed.
pub const SYNTAX_ERROR: &str = "42601";
/// To a client: the query cannot be executed with the fields in its comment, or an endpoint rejected the
/// statement.
pub const INVALID_PARAMETER_VALUE: &str = "22023";
/// To a client: the pooler does not support this protocol feature.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// To a client: the received bytes violate the protocol. From an endpoint: the statement is at fault.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// To a client: the message is too long.
pub const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
/// To a client: the pooler has no memory left for the connection.
pub const OUT_OF_MEMORY: &str = "53200";
/// To a client: the query was cancelled at the client's request.
pub const QUERY_CANCELED: &str = "57014";
/// To a client: the pooler is shutting down.
pub const CANNOT_CONNECT_NOW: &str = "57P03";

/// The number of leading characters of a code that identify its class.
const CLASS_LENGTH: usize = 2;
const CLASS_FEATURE_NOT_SUPPORTED: &str = "0A";
const CLASS_DATA_EXCEPTION: &str = "22";
const CLASS_INTEGRITY_CONSTRAINT_VIOLATION: &str = "23";
const CLASS_SYNTAX_ERROR_OR_ACCESS_RULE_VIOLATION: &str = "42";

/// Returns `true` if a code means that the statement itself is at fault, so every endpoint would reject it.
pub(crate) fn is_statement_error(code: &str) -> bool {
    let class = code.get(..CLASS_LENGTH).unwrap_or_default();
    let statement_class = matches!(
        class,
        CLASS_FEATURE_NOT_SUPPORTED
            | CLASS_DATA_EXCEPTION
            | CLASS_INTEGRITY_CONSTRAINT_VIOLATION
            | CLASS_SYNTAX_ERROR_OR_ACCESS_RULE_VIOLATION
    );
    statement_class || code == PROTOCOL_VIOLATION
}

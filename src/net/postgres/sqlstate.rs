//! SQLSTATE codes that the pooler sends or understands, by their names in PostgreSQL's list of error codes.

pub const TOO_MANY_CONNECTIONS: &str = "53300";
pub const READ_ONLY_TRANSACTION: &str = "25006";
pub const SNAPSHOT_TOO_OLD: &str = "72000";
pub const SYSTEM_ERROR: &str = "58000";
pub const SYNTAX_ERROR: &str = "42601";
pub const INVALID_PARAMETER_VALUE: &str = "22023";
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
pub const PROTOCOL_VIOLATION: &str = "08P01";
pub const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
pub const OUT_OF_MEMORY: &str = "53200";
pub const QUERY_CANCELED: &str = "57014";
pub const CANNOT_CONNECT_NOW: &str = "57P03";

/// The first characters of a code name its class.
const CLASS_LENGTH: usize = 2;
const CLASS_FEATURE_NOT_SUPPORTED: &str = "0A";
const CLASS_DATA_EXCEPTION: &str = "22";
const CLASS_INTEGRITY_CONSTRAINT_VIOLATION: &str = "23";
const CLASS_SYNTAX_ERROR_OR_ACCESS_RULE_VIOLATION: &str = "42";

/// Returns whether a code blames the statement itself, so that every database host would reject it.
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

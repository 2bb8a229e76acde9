//! The kinds of messages that a PostgreSQL server sends, by the first byte of each message.

/// Requests authentication, or says that none is needed any more.
pub(super) const AUTHENTICATION: u8 = b'R';
/// Holds the key for a cancel request.
pub(super) const BACKEND_KEY_DATA: u8 = b'K';
/// Ends a result set.
pub(super) const COMMAND_COMPLETE: u8 = b'C';
/// Holds one row of a result set.
pub(super) const DATA_ROW: u8 = b'D';
/// Reports an error.
pub(super) const ERROR_RESPONSE: u8 = b'E';
/// Holds a warning or other information.
pub(super) const NOTICE_RESPONSE: u8 = b'N';
/// Reports the value of a parameter of the session.
pub(super) const PARAMETER_STATUS: u8 = b'S';
/// Ends the session start or a reply.
pub(super) const READY_FOR_QUERY: u8 = b'Z';
/// Begins a result set and describes its columns.
pub(super) const ROW_DESCRIPTION: u8 = b'T';

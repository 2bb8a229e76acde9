//! The kinds of messages: the byte that each message starts with. Clients and servers use some of these bytes
//! for different messages.

/// Messages that clients send.
pub(crate) mod client {
    pub const BIND: u8 = b'B';
    pub const CLOSE: u8 = b'C';
    pub const COPY_DATA: u8 = b'd';
    pub const COPY_DONE: u8 = b'c';
    pub const COPY_FAIL: u8 = b'f';
    pub const DESCRIBE: u8 = b'D';
    pub const EXECUTE: u8 = b'E';
    pub const FLUSH: u8 = b'H';
    pub const FUNCTION_CALL: u8 = b'F';
    pub const PARSE: u8 = b'P';
    pub const PASSWORD: u8 = b'p';
    pub const QUERY: u8 = b'Q';
    pub const SYNC: u8 = b'S';
    pub const TERMINATE: u8 = b'X';
}

/// Messages that servers send.
pub(crate) mod server {
    pub const AUTHENTICATION: u8 = b'R';
    pub const BACKEND_KEY_DATA: u8 = b'K';
    pub const COMMAND_COMPLETE: u8 = b'C';
    pub const DATA_ROW: u8 = b'D';
    pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
    pub const ERROR_RESPONSE: u8 = b'E';
    pub const NOTICE_RESPONSE: u8 = b'N';
    pub const PARAMETER_STATUS: u8 = b'S';
    pub const READY_FOR_QUERY: u8 = b'Z';
    pub const ROW_DESCRIPTION: u8 = b'T';
}

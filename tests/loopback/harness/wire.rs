//! Encoding of messages of the PostgreSQL protocol, version 3.

/// The type bytes of the messages that the tests send or expect.
pub mod message_type {
    pub const AUTHENTICATION: u8 = b'R';
    pub const BACKEND_KEY_DATA: u8 = b'K';
    pub const COMMAND_COMPLETE: u8 = b'C';
    pub const DATA_ROW: u8 = b'D';
    pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
    pub const ERROR_RESPONSE: u8 = b'E';
    pub const FLUSH: u8 = b'H';
    pub const NOTICE_RESPONSE: u8 = b'N';
    pub const PARAMETER_STATUS: u8 = b'S';
    pub const QUERY: u8 = b'Q';
    pub const READY_FOR_QUERY: u8 = b'Z';
    pub const ROW_DESCRIPTION: u8 = b'T';
    pub const SYNC: u8 = b'S';
}

/// SSLRequest: asks for an encrypted connection. The server answers with [`ENCRYPTION_DECLINED`] or `S`.
pub const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// The answer to [`SSL_REQUEST`] of a server without encryption.
pub const ENCRYPTION_DECLINED: u8 = b'N';

/// The start of a CancelRequest, which its key follows: the length and the request code.
const CANCEL_REQUEST_HEADER: [u8; 8] = [0, 0, 0, 16, 4, 210, 22, 46];

/// The header of a Query message whose length is far above the limit.
pub const OVERSIZED_QUERY_HEADER: [u8; 5] = [b'Q', 0x7f, 0xff, 0xff, 0xff];

/// The header of a Query message whose length is less than that of the length field itself.
pub const TOO_SHORT_QUERY_HEADER: [u8; 5] = [b'Q', 0, 0, 0, 3];

/// A message of either side after the startup message.
#[derive(Debug, PartialEq)]
pub struct Message {
    /// The type byte, see [`message_type`].
    pub kind: u8,
    /// The bytes after the length.
    pub body: Vec<u8>,
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        encode_message(self.kind, &self.body)
    }
}

/// Encodes the messages one after another.
pub fn encode_all(messages: &[Message]) -> Vec<u8> {
    messages.iter().flat_map(Message::encode).collect()
}

/// Encodes a message: its type, its length and its body.
pub fn encode_message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = body.len() as u32 + 4;
    [&[kind], &length.to_be_bytes()[..], body].concat()
}

/// Encodes a Query message.
pub fn query_message(sql: &str) -> Vec<u8> {
    encode_message(message_type::QUERY, &[sql.as_bytes(), b"\0"].concat())
}

/// Encodes the startup message of a client.
pub fn startup_message() -> Vec<u8> {
    let version_and_parameters = b"\0\x03\0\0user\0app\0database\0shop\0\0";
    let length = version_and_parameters.len() as u32 + 4;
    [&length.to_be_bytes()[..], version_and_parameters].concat()
}

/// Encodes the CancelRequest for the session whose BackendKeyData has the body `key`.
pub fn cancel_request(key: &[u8]) -> Vec<u8> {
    [&CANCEL_REQUEST_HEADER[..], key].concat()
}

/// Encodes the RowDescription of one binary column named `doc`, of type `bytea`.
pub fn row_description() -> Vec<u8> {
    let one_column = b"\0\x01";
    let name = b"doc\0";
    let table_and_attribute = [0; 6];
    let type_oid = [0, 0, 0, 0x11];
    let type_size_and_modifier = [0xff; 6];
    let binary_format = b"\0\x01";
    let body =
        [&one_column[..], name, &table_and_attribute, &type_oid, &type_size_and_modifier, binary_format]
            .concat();
    encode_message(message_type::ROW_DESCRIPTION, &body)
}

/// Encodes a DataRow with one column.
fn data_row(value: &[u8]) -> Vec<u8> {
    let one_column = b"\0\x01";
    let length = value.len() as u32;
    encode_message(message_type::DATA_ROW, &[one_column, &length.to_be_bytes()[..], value].concat())
}

/// Encodes a result of one row: RowDescription, DataRow and CommandComplete, without ReadyForQuery.
pub fn result_set(value: &[u8]) -> Vec<u8> {
    let command_complete = encode_message(message_type::COMMAND_COMPLETE, b"SELECT 1\0");
    [row_description(), data_row(value), command_complete].concat()
}

/// Encodes the start of a result set, up to and including the type byte of its DataRow.
pub fn partial_result_set(value: &[u8]) -> Vec<u8> {
    result_set(value)[..row_description().len() + 1].to_vec()
}

/// Encodes a ParameterStatus message.
pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    encode_message(message_type::PARAMETER_STATUS, format!("{name}\0{value}\0").as_bytes())
}

/// Encodes a ReadyForQuery message outside of a transaction.
pub fn ready_for_query() -> Vec<u8> {
    encode_message(message_type::READY_FOR_QUERY, b"I")
}

/// Encodes the complete response to an empty query.
pub fn empty_query_response() -> Vec<u8> {
    [encode_message(message_type::EMPTY_QUERY_RESPONSE, b""), ready_for_query()].concat()
}

/// The role that a database host reports with each response.
#[derive(Clone, Copy)]
pub enum Role {
    /// The host is the primary.
    Writer,
    /// The host is a replica.
    Reader,
}

impl Role {
    fn status(self) -> Vec<u8> {
        let role = match self {
            Role::Writer => "writer",
            Role::Reader => "reader",
        };
        parameter_status("server_role", role)
    }
}

/// Encodes the complete response to a query: the result, the role and ReadyForQuery.
pub fn result_response(value: &[u8], role: Role) -> Vec<u8> {
    [result_set(value), role.status(), ready_for_query()].concat()
}

/// Encodes the same response with the log position that the host has replayed, in milliseconds since the
/// Unix epoch.
pub fn result_response_with_position(value: &[u8], role: Role, position: i64) -> Vec<u8> {
    let commit_clock = parameter_status("commit_clock", &position.to_string());
    [result_set(value), commit_clock, role.status(), ready_for_query()].concat()
}

/// Encodes the complete response to a query that fails with this SQLSTATE.
pub fn error_response(sqlstate: &str) -> Vec<u8> {
    let fields = format!("SERROR\0C{sqlstate}\0\0");
    [encode_message(message_type::ERROR_RESPONSE, fields.as_bytes()), ready_for_query()].concat()
}

//! The message kinds and the type bytes that identify them. Some bytes identify different kinds in messages
//! from clients and from servers.

/// Defines an enum of message kinds with conversions from and to the type byte.
macro_rules! message_kinds {
    ($(#[$attribute:meta])* $name:ident { $($kind:ident = $byte:literal,)* }) => {
        $(#[$attribute])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u8)]
        pub(crate) enum $name {
            $($kind = $byte,)*
        }

        impl $name {
            /// Returns the kind that this byte identifies, or `None` if the byte is unknown.
            pub fn from_byte(byte: u8) -> Option<Self> {
                match byte {
                    $($byte => Some($name::$kind),)*
                    _ => None,
                }
            }
        }

        impl From<$name> for u8 {
            fn from(kind: $name) -> u8 {
                kind as u8
            }
        }
    };
}

message_kinds! {
    /// A kind of message that clients send to the pooler, and the pooler to endpoints.
    ClientMessageKind {
        Bind = b'B',
        Close = b'C',
        CopyData = b'd',
        CopyDone = b'c',
        CopyFail = b'f',
        Describe = b'D',
        Execute = b'E',
        Flush = b'H',
        FunctionCall = b'F',
        Parse = b'P',
        Password = b'p',
        Query = b'Q',
        Sync = b'S',
        Terminate = b'X',
    }
}

message_kinds! {
    /// A kind of message that PostgreSQL servers send: endpoints to the pooler, and the pooler to clients.
    BackendMessageKind {
        Authentication = b'R',
        BackendKeyData = b'K',
        CommandComplete = b'C',
        DataRow = b'D',
        EmptyQueryResponse = b'I',
        ErrorResponse = b'E',
        NoticeResponse = b'N',
        ParameterStatus = b'S',
        ReadyForQuery = b'Z',
        RowDescription = b'T',
    }
}

//! The kinds of messages, and the byte that each message starts with. Clients and servers use some of these
//! bytes for different kinds.

/// Defines an enum of kinds of messages, and its conversions from and to bytes.
macro_rules! message_kinds {
    ($(#[$attribute:meta])* $name:ident { $($kind:ident = $byte:literal,)* }) => {
        $(#[$attribute])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u8)]
        pub(crate) enum $name {
            $($kind = $byte,)*
        }

        impl $name {
            /// Returns the kind that this byte stands for, or `None` if it stands for none.
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
    /// A kind of message that clients send.
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
    /// A kind of message that PostgreSQL servers send: endpoints to the pooler, and the pooler to its
    /// clients.
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

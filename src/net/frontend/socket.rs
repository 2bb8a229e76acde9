//! The socket of a client connection, and its registration with the reactor.

use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::Duration;

use mio::net::TcpStream;
use mio::Interest;

use crate::net::reactor::{ConnectionId, EventSource, Reactor, TimerEvent};

/// Delay before registering the socket again after the system lacked the memory for it.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The connected socket of a client.
pub(super) struct ClientSocket {
    stream: TcpStream,
    is_registered: bool,
}

impl ClientSocket {
    /// Wraps the socket of a newly accepted client.
    pub(super) fn new(stream: TcpStream) -> ClientSocket {
        ClientSocket { stream, is_registered: false }
    }

    /// Returns `true` if the reactor announces events of the socket.
    pub(super) fn is_registered(&self) -> bool {
        self.is_registered
    }

    /// Registers the socket with the reactor, unless it is already registered. If that fails, sets a timer to
    /// retry, so that no connection is reset because the system is briefly short of memory.
    pub(super) fn ensure_registered(&mut self, id: ConnectionId, reactor: &mut Reactor) {
        if self.is_registered {
            return;
        }
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.is_registered = reactor.register(&mut self.stream, EventSource::Client(id), interest).is_ok();
        if !self.is_registered {
            reactor.set_timer(reactor.now() + REGISTER_RETRY_DELAY, TimerEvent::Client(id));
        }
    }

    /// Shuts down only the sending direction. Closing the socket with unread input would reset the
    /// connection, and the client might lose the last message.
    pub(super) fn shut_down_write(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

impl Read for ClientSocket {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.read(buffer)
    }
}

impl Write for ClientSocket {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

//! Transient errors: the operating system lacks something for a moment, and the same call may succeed later.

use std::io;
use std::thread;
use std::time::Duration;

/// The most retries of a call: with the delays between them they take five seconds.
const MAX_RETRIES: u32 = 50;
/// The time between two attempts of a call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

// The numbers of errors that the standard library has no kind for, as Linux has them on all architectures
// that this program is built for.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;

/// Whether the same call may succeed a moment later.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    let by_kind = matches!(
        error.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::OutOfMemory | io::ErrorKind::WouldBlock
    );
    by_kind || matches!(error.raw_os_error(), Some(ENFILE | EMFILE | EADDRNOTAVAIL | ENOBUFS))
}

/// Makes a call, and retries it while its error is transient. Returns the last error after [`MAX_RETRIES`].
///
/// The thread sleeps between two attempts, which only the start of the program can afford.
pub(crate) fn retry<T, E>(
    mut call: impl FnMut() -> Result<T, E>,
    is_transient: impl Fn(&E) -> bool,
) -> Result<T, E> {
    for _ in 0..MAX_RETRIES {
        match call() {
            Err(error) if is_transient(&error) => thread::sleep(RETRY_DELAY),
            result => return result,
        }
    }
    call()
}

#[cfg(test)]
mod tests;

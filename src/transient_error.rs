//! Errors of the operating system that pass by themselves.

use std::io;
use std::thread;
use std::time::Duration;

/// How often a call is tried again, and the time between two tries: five seconds in all.
const MAX_RETRIES: u32 = 50;
const RETRY_DELAY: Duration = Duration::from_millis(100);

// The numbers of errors that the standard library has no kind for, as Linux has them on all architectures
// that this program is built for.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;

/// Whether the system lacked something for a moment, so that the same call may succeed soon.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    let by_kind = matches!(
        error.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::OutOfMemory | io::ErrorKind::WouldBlock
    );
    by_kind || matches!(error.raw_os_error(), Some(ENFILE | EMFILE | EADDRNOTAVAIL | ENOBUFS))
}

/// Makes a call, and again while its error passes by itself. The thread waits in between: for the start of
/// the program only.
pub(crate) fn retry<T, E>(
    mut call: impl FnMut() -> Result<T, E>,
    passes_by_itself: impl Fn(&E) -> bool,
) -> Result<T, E> {
    for _ in 0..MAX_RETRIES {
        match call() {
            Err(error) if passes_by_itself(&error) => thread::sleep(RETRY_DELAY),
            result => return result,
        }
    }
    call()
}

#[cfg(test)]
mod tests;

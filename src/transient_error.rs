//! Transient errors of system calls: a resource is briefly unavailable, and the same call may succeed later.

use std::io;
use std::thread;
use std::time::Duration;

/// Maximum number of retries of a call: with the delays in between, they take five seconds.
const MAX_RETRIES: u32 = 50;
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(100);

// Linux error numbers for which the standard library has no `ErrorKind`. They are the same on all
// architectures that this program is built for.
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

/// Makes a call and retries it while its error is transient. Returns the last error after [`MAX_RETRIES`].
///
/// The thread sleeps between attempts, so this must only be used while the program starts.
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

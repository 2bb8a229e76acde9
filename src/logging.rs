//! The operator's log: one line per event on standard error. A dedicated thread writes the lines, so that a
//! slow reader never blocks the program. Lines that exceed the capacity of the queue are lost; a later line
//! reports their number.

use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::Duration;

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the queue (lines). A full queue takes less than a megabyte.
const MAX_QUEUED_LINES: usize = 1000;

/// How long the program waits at exit for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(1500);

/// Flushes the queued lines when it is dropped, waiting for at most [`FLUSH_TIMEOUT`].
#[must_use = "lines logged after the guard is dropped are lost"]
pub(crate) struct LogGuard {
    worker: Option<WorkerGuard>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let worker = self.worker.take();
        let (flush_sender, flush_receiver) = mpsc::channel();
        // Runs in a thread: dropping the worker guard prints a message if the queue is full, which may block
        // forever.
        let flush = move || {
            drop(worker);
            let _ = flush_sender.send(());
        };
        if thread::Builder::new().spawn(flush).is_ok() {
            let _ = flush_receiver.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Starts logging to standard error. Each line has the time, level, message and fields of an event, without
/// colour.
///
/// Events that cannot be written are lost, so that a closed standard error does not interrupt service.
pub(crate) fn init() -> LogGuard {
    let (writer, worker) = LogWriter::new(io::stderr(), MAX_QUEUED_LINES);
    // Fails only if a subscriber is already installed, which then remains in use.
    let _ = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_ansi(false)
        .with_target(false)
        .log_internal_errors(false)
        .try_init();
    LogGuard { worker: Some(worker) }
}

/// Queues lines for the writer thread and counts lost lines.
#[derive(Clone)]
struct LogWriter {
    queue: NonBlocking,
    /// The number of lost lines.
    lost: ErrorCounter,
    /// The number of lost lines that have been reported or were reports themselves.
    reported: Arc<AtomicUsize>,
}

impl LogWriter {
    fn new(output: impl Write + Send + 'static, max_queued_lines: usize) -> (LogWriter, WorkerGuard) {
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(max_queued_lines);
        let (queue, worker) = builder.finish(output);
        let lost = queue.error_counter();
        (LogWriter { queue, lost, reported: Arc::default() }, worker)
    }

    /// Queues a line. Returns `true` if the queue had capacity for it.
    fn queue_line(&mut self, line: &[u8]) -> bool {
        let lost_before = self.lost.dropped_lines();
        // Never fails: a line that exceeds the capacity is only counted as lost.
        let _ = self.queue.write_all(line);
        self.lost.dropped_lines() == lost_before
    }

    /// Queues a warning with the number of lines lost since the last such warning.
    fn report_lost_lines(&mut self) {
        let lost = self.lost.dropped_lines();
        let unreported = lost - self.reported.load(Ordering::Relaxed);
        if unreported == 0 {
            return;
        }
        let is_queued = self.queue_line(lost_lines_warning(unreported).as_bytes());
        // A warning that did not fit was itself counted as a lost line, which must not be reported.
        let newly_reported = if is_queued { unreported } else { 1 };
        self.reported.fetch_add(newly_reported, Ordering::Relaxed);
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.report_lost_lines();
        self.queue_line(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = LogWriter;

    fn make_writer(&'a self) -> LogWriter {
        self.clone()
    }
}

/// Formats a warning with the number of lost lines, in the format of other events.
fn lost_lines_warning(count: usize) -> String {
    let mut line = String::new();
    // The time is omitted if it cannot be formatted.
    let _ = SystemTime.format_time(&mut format::Writer::new(&mut line));
    line + &format!("  WARN log lines lost count={count}\n")
}

#[cfg(test)]
mod tests;

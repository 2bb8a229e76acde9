//! The operator's log: one line per event on standard error, written by a thread of its own, so that a slow
//! reader never stops the program. Lines beyond the capacity of its queue are lost; a later one counts them.

use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::Duration;

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::MakeWriter;

/// The capacity of the queue (lines). Together they take less than a megabyte.
const MAX_QUEUED_LINES: usize = 1000;

/// How long the program waits for the queued lines to be written before it ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(1500);

/// Writes the queued lines when it is dropped, for [`FLUSH_TIMEOUT`] at most.
#[must_use = "lines that are logged later are lost"]
pub(crate) struct LogGuard {
    worker: Option<WorkerGuard>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let worker = self.worker.take();
        let (flush_done, flush_result) = mpsc::channel();
        // If the queue is full, the worker's guard prints that, which may block for ever.
        let flush = move || {
            drop(worker);
            let _ = flush_done.send(());
        };
        if thread::Builder::new().spawn(flush).is_ok() {
            let _ = flush_result.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Starts to write all log events to standard error: time, level, message and fields, without colour.
///
/// An event that cannot be written is lost: a closed standard error is no reason to stop serving.
pub(crate) fn init() -> LogGuard {
    let (writer, worker) = LogWriter::new(io::stderr(), MAX_QUEUED_LINES);
    // Fails only where a subscriber is installed already, which then stays.
    let _ = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_ansi(false)
        .with_target(false)
        .log_internal_errors(false)
        .try_init();
    LogGuard { worker: Some(worker) }
}

/// Queues lines for the thread that writes them, and counts those that are lost.
#[derive(Clone)]
struct LogWriter {
    queue: NonBlocking,
    /// Counts the lost lines.
    lost: ErrorCounter,
    /// How many of the lost lines have been reported, or were reports themselves.
    reported: Arc<AtomicUsize>,
}

impl LogWriter {
    fn new(output: impl Write + Send + 'static, max_queued_lines: usize) -> (LogWriter, WorkerGuard) {
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(max_queued_lines);
        let (queue, worker) = builder.finish(output);
        let lost = queue.error_counter();
        (LogWriter { queue, lost, reported: Arc::default() }, worker)
    }

    /// Queues a line. Returns whether the queue had capacity for it.
    fn queue_line(&mut self, line: &[u8]) -> bool {
        let lost_before = self.lost.dropped_lines();
        // Never fails: a line that exceeds the capacity is counted as lost.
        let _ = self.queue.write_all(line);
        self.lost.dropped_lines() == lost_before
    }

    /// Queues a line with the number of lines that were lost since the last such line.
    fn report_lost_lines(&mut self) {
        let lost = self.lost.dropped_lines();
        let unreported = lost - self.reported.load(Ordering::Relaxed);
        if unreported == 0 {
            return;
        }
        let is_queued = self.queue_line(lost_lines_warning(unreported).as_bytes());
        // A report that was lost was counted as one more lost line, which needs no report.
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

/// A line in the form of the other events, with the number of lost lines.
fn lost_lines_warning(count: usize) -> String {
    let mut line = String::new();
    // The time is left out if it cannot be formatted.
    let _ = SystemTime.format_time(&mut format::Writer::new(&mut line));
    line + &format!("  WARN log lines lost count={count}\n")
}

#[cfg(test)]
mod tests;

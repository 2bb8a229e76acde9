use std::sync::mpsc::{channel, Receiver, Sender};

use super::*;

const QUEUE_LENGTH: usize = 4;

/// A log output that writes one line for each permit.
struct SlowOutput {
    /// Signals that a line is about to be written.
    offered: Sender<()>,
    permits: Receiver<()>,
    lines: Sender<String>,
}

impl Write for SlowOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(line).into_owned();
        let _ = self.offered.send(());
        let _ = self.permits.recv();
        let _ = self.lines.send(text);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A log that writes to a [`SlowOutput`], and the other ends of its channels.
struct SlowLog {
    writer: LogWriter,
    worker: WorkerGuard,
    offered: Receiver<()>,
    permit: Sender<()>,
    written: Receiver<String>,
}

impl SlowLog {
    fn new() -> SlowLog {
        let (offer, offered) = channel();
        let (permit, permits) = channel();
        let (lines, written) = channel();
        let output = SlowOutput { offered: offer, permits, lines };
        let (writer, worker) = LogWriter::new(output, QUEUE_LENGTH);
        SlowLog { writer, worker, offered, permit, written }
    }

    fn write(&mut self, line: &str) {
        self.writer.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// Fills the queue after the output has been offered the first line, which is then no longer queued.
    fn fill(&mut self) {
        self.write("first");
        self.offered.recv().unwrap();
        (0..QUEUE_LENGTH).for_each(|number| self.write(&number.to_string()));
    }

    fn permit(&self, lines: usize) {
        (0..lines).for_each(|_| self.permit.send(()).unwrap());
    }
}

#[test]
fn lines_that_exceed_the_queue_are_lost_and_reported_when_it_accepts_lines_again() {
    let mut log = SlowLog::new();
    log.fill();
    (0..15).for_each(|_| log.write("lost"));
    log.permit(100);
    for line in ["first", "0", "1", "2", "3"] {
        assert_eq!(log.written.recv().unwrap(), format!("{line}\n"));
    }
    log.write("after");
    log.write("last");
    let warning = log.written.recv().unwrap();
    assert!(warning.ends_with("  WARN log lines lost count=15\n"), "{warning}");
    assert_eq!(log.written.recv().unwrap(), "after\n");
    assert_eq!(log.written.recv().unwrap(), "last\n");
    drop(LogGuard { worker: Some(log.worker) });
    assert!(log.written.try_recv().is_err(), "the loss is reported once");
}

#[test]
fn queued_lines_are_written_before_exit() {
    let mut log = SlowLog::new();
    log.permit(2);
    log.write("first");
    log.write("last");
    drop(LogGuard { worker: Some(log.worker) });
    assert_eq!(log.written.try_iter().collect::<Vec<_>>(), ["first\n", "last\n"]);
}

#[test]
fn exit_is_not_blocked_by_an_unread_log() {
    let mut log = SlowLog::new();
    log.fill();
    log.write("lost");
    drop(LogGuard { worker: Some(log.worker) });
}

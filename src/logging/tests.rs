use std::sync::mpsc::{channel, Receiver, Sender};

use super::*;

const QUEUE_LENGTH: usize = 4;

/// A reader of the log that takes one line for each permit.
struct SlowOutput {
    permits: Receiver<()>,
    lines: Sender<String>,
}

impl Write for SlowOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(line).into_owned();
        let _ = self.permits.recv();
        let _ = self.lines.send(text);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_without_room_are_lost_and_counted_once_there_is_room_again() {
    let (permit, permits) = channel();
    let (lines, written) = channel();
    let (mut writer, worker) = LogWriter::new(SlowOutput { permits, lines }, QUEUE_LENGTH);
    // The queue and the line that is being written hold five at most, so that at least fifteen are lost.
    for number in 0..20 {
        writer.write_all(format!("{number}\n").as_bytes()).unwrap();
    }
    let lost = writer.lost.dropped_lines() - writer.reported.load(Ordering::Relaxed);
    assert!(lost >= 15, "{lost}");
    (0..100).for_each(|_| permit.send(()).unwrap());
    for number in 0..20 - lost {
        assert_eq!(written.recv().unwrap(), format!("{number}\n"));
    }
    writer.write_all(b"after\n").unwrap();
    writer.write_all(b"last\n").unwrap();
    let warning = written.recv().unwrap();
    assert!(warning.ends_with(&format!("  WARN log lines lost count={lost}\n")), "{warning}");
    assert_eq!(written.recv().unwrap(), "after\n");
    assert_eq!(written.recv().unwrap(), "last\n");
    drop(LogGuard { worker: Some(worker) });
    assert!(written.try_recv().is_err(), "the loss is reported once");
}

#[test]
fn queued_lines_are_written_before_the_program_ends() {
    let (permit, permits) = channel();
    let (lines, written) = channel();
    let (mut writer, worker) = LogWriter::new(SlowOutput { permits, lines }, QUEUE_LENGTH);
    (0..2).for_each(|_| permit.send(()).unwrap());
    writer.write_all(b"first\n").unwrap();
    writer.write_all(b"last\n").unwrap();
    drop(LogGuard { worker: Some(worker) });
    assert_eq!(written.try_iter().collect::<Vec<_>>(), ["first\n", "last\n"]);
}

#[test]
fn the_program_ends_although_its_log_is_not_read() {
    let (_permit, permits) = channel();
    let (lines, _written) = channel();
    let (mut writer, worker) = LogWriter::new(SlowOutput { permits, lines }, QUEUE_LENGTH);
    (0..2 * QUEUE_LENGTH).for_each(|_| writer.write_all(b"line\n").unwrap());
    drop(LogGuard { worker: Some(worker) });
}

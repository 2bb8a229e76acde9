use std::io;

use rstest::rstest;

use super::*;

const MEMORY: usize = 1_000_000;

fn output() -> Output {
    Output::new(&MemoryBudget::new(MEMORY))
}

/// A writer that accepts `capacity` bytes, after which writes fail with `WouldBlock`.
struct LimitedWriter {
    capacity: usize,
    written: Vec<u8>,
}

impl Write for LimitedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = bytes.len().min(self.capacity);
        if count == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        self.capacity -= count;
        self.written.extend(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(output: &mut Output) -> Vec<u8> {
    let mut writer = LimitedWriter { capacity: MEMORY, written: Vec::new() };
    assert_eq!(output.write_to(&mut writer).unwrap(), FlushStatus::Complete);
    writer.written
}

#[test]
fn a_write_is_complete_partial_or_blocked() {
    let mut output = output();
    output.push_response(Response::Value(b"value".to_vec())).unwrap();
    let mut writer = LimitedWriter { capacity: 0, written: Vec::new() };
    assert_eq!(output.write_to(&mut writer).unwrap(), FlushStatus::Blocked);
    writer.capacity = 3;
    assert_eq!(output.write_to(&mut writer).unwrap(), FlushStatus::Partial);
    assert!(!output.is_empty());
    writer.capacity = MEMORY;
    assert_eq!(output.write_to(&mut writer).unwrap(), FlushStatus::Complete);
    assert!(output.is_empty());
    assert_eq!(writer.written, [b"value", &*postgres::ready_for_query()].concat());
}

#[rstest]
#[case::none(None, None)]
#[case::zero(Some(Duration::ZERO), None)]
#[case::rounded_up(Some(Duration::from_micros(1)), Some("1"))]
#[case::whole_milliseconds(Some(Duration::from_millis(50)), Some("50"))]
#[case::a_little_more(Some(Duration::from_nanos(50_000_001)), Some("51"))]
fn a_rejection_says_after_how_many_milliseconds_to_retry(
    #[case] retry_after: Option<Duration>,
    #[case] detail: Option<&str>,
) {
    let mut output = output();
    output.push_response(Response::Rejected { retry_after }).unwrap();
    let code = sqlstate::TOO_MANY_CONNECTIONS;
    let error = postgres::error_response(Severity::Error, code, "refused: try again later", detail);
    assert_eq!(write_all(&mut output), [error, postgres::ready_for_query()].concat());
}

/// A client whose value does not fit into the buffer must still get a response.
#[test]
fn a_value_that_exceeds_the_memory_is_answered_with_an_error() {
    let mut output = output();
    output.push_response(Response::Value(vec![0; MEMORY])).unwrap();
    let error =
        postgres::error_response(Severity::Error, sqlstate::SYSTEM_ERROR, "no memory for the value", None);
    assert_eq!(write_all(&mut output), [error, postgres::ready_for_query()].concat());
}

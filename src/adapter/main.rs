//! Adapter that runs policy instances for a simulator. It reads lines from standard input and writes the
//! reply to each batch of lines to standard output.
#![forbid(unsafe_code)]

mod instances;
mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use instances::{BatchStatus, Instances};

/// The exit code after a line that cannot be read or handled.
const EXIT_FAILURE: u8 = 2;

fn main() -> ExitCode {
    let mut instances = Instances::default();
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut line = Vec::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        line_number += 1;
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(error) => return fail(line_number, &format_args!("cannot read standard input: {error}")),
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match instances.handle_line(&line, &mut output) {
            Ok(BatchStatus::Incomplete) => {}
            Ok(BatchStatus::Replied) => {
                // A closed output means that the simulator has ended.
                if output.flush().is_err() {
                    return ExitCode::SUCCESS;
                }
            }
            Err(error) => return fail(line_number, &error),
        }
    }
}

/// Prints the error with its line number to standard error, and returns the exit code.
fn fail(line_number: u64, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("pg-pooler-sim-adapter: line {line_number}: {error}");
    ExitCode::from(EXIT_FAILURE)
}

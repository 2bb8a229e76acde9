//! The `pg-pooler` program. The command line is implemented in [`pg_pooler::cli`].

use std::process::ExitCode;

fn main() -> ExitCode {
    pg_pooler::cli::run()
}

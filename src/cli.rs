//! The command line interface: subcommands and error reporting.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::config::{Config, ConfigError};
use crate::net::ServeError;
use crate::transient_error::retry;

/// The name of the program in its output.
const PROGRAM_NAME: &str = env!("CARGO_PKG_NAME");

/// The exit code of a failed command.
const EXIT_FAILURE: u8 = 2;

/// The environment variable with the path of the configuration file, used if the command line has none.
const CONFIG_VARIABLE: &str = "LB_CONFIG";

/// pg-pooler: a PostgreSQL connection pooler that routes reads and writes to replicated databases.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Version(Version),
    CheckConfig(CheckConfig),
}

/// Serve clients until SIGTERM; SIGHUP reloads the configuration, SIGUSR1 logs the counters.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// path of the configuration file; defaults to the environment variable LB_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Validate the configuration file and print a summary.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// path of the configuration file; defaults to the environment variable LB_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
}

/// The error of a failed command.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// Neither the command line nor the environment names a configuration file.
    #[error("no configuration file: use --config or set {CONFIG_VARIABLE}")]
    NoConfiguration,
    /// The configuration file cannot be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The pooler could not start, or stopped because of an error.
    #[error("cannot serve: {0}")]
    Serve(#[from] ServeError),
}

/// Runs the command given on the command line. Prints the error of a failed command to standard error.
pub fn run() -> ExitCode {
    let Args { command } = argh::from_env();
    let result = match command {
        Command::Serve(Serve { config }) => serve(config),
        Command::Version(Version {}) => {
            print_version();
            Ok(())
        }
        Command::CheckConfig(CheckConfig { config }) => check_config(config),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM_NAME}: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Serves clients until a graceful shutdown is complete. Retries reading the configuration file after a
/// transient error.
fn serve(path: Option<PathBuf>) -> Result<(), CommandError> {
    let path = config_path(path)?;
    let config = retry(|| Config::load(&path), ConfigError::is_transient)?;
    let _log_guard = crate::logging::init();
    crate::net::serve(&config, &path)?;
    Ok(())
}

fn print_version() {
    println!("{PROGRAM_NAME} {}", env!("CARGO_PKG_VERSION"));
}

/// Validates the configuration and prints a summary of it.
fn check_config(path: Option<PathBuf>) -> Result<(), CommandError> {
    let config = Config::load(&config_path(path)?)?;
    println!(
        "configuration is valid: {} listens on {} for {} classes of requests, discovery at {}",
        config.name,
        config.listen,
        config.classes.len(),
        config.discovery
    );
    Ok(())
}

/// Returns the path of the configuration file from the command line, or else from the environment.
fn config_path(path: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    path.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from)).ok_or(CommandError::NoConfiguration)
}

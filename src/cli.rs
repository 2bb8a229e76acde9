//! The command line: its subcommands, and how their failures are reported.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::config::{Config, ConfigError};
use crate::net::ServeError;
use crate::transient_error::retry;

/// The name of the program in its output.
const PROGRAM_NAME: &str = env!("CARGO_PKG_NAME");

/// The exit code of a command that failed.
const EXIT_FAILURE: u8 = 2;

/// The environment variable that names the configuration file where the command line does not.
const CONFIG_VARIABLE: &str = "LB_CONFIG";

/// pg-pooler: a pooler that sends each read and write of a replicated database where it belongs.
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

/// Serve until SIGTERM; SIGHUP rereads the configuration, SIGUSR1 prints the counters.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration file; the variable LB_CONFIG where this is not given
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Read the configuration, say whether it can be used, and stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// the configuration file; the variable LB_CONFIG where this is not given
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// Neither the command line nor the environment names a configuration file.
    #[error("no configuration: give --config or set {CONFIG_VARIABLE}")]
    NoConfiguration,
    /// The configuration file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The pooler could not start or had to stop.
    #[error("cannot serve: {0}")]
    Serve(#[from] ServeError),
}

/// Runs the program as its command line says. A failed command prints its error on standard error.
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

/// Serves clients until a graceful shutdown is complete. A file that cannot be read for a moment is read
/// again.
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

/// Reads the configuration and prints its main values.
fn check_config(path: Option<PathBuf>) -> Result<(), CommandError> {
    let config = Config::load(&config_path(path)?)?;
    println!(
        "usable: {} listens on {} for {} classes of requests, discovery at {}",
        config.name,
        config.listen,
        config.classes.len(),
        config.discovery
    );
    Ok(())
}

/// The configuration file that the command line names, or else the environment.
fn config_path(path: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    path.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from)).ok_or(CommandError::NoConfiguration)
}

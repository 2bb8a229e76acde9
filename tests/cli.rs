//! Tests of the command line of the pooler.
#![allow(clippy::unwrap_used, reason = "a panic is how a test fails, also in its helper functions")]

use std::process::{Command, Output};

/// Runs the program to completion, without a configuration from the environment.
fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pg-pooler"));
    command.args(arguments).env_remove("LB_CONFIG").output().unwrap()
}

#[test]
fn the_version_command_prints_the_version_of_the_crate() {
    let output = run(&["version"]);
    assert!(output.status.success());
    assert_eq!(output.stdout, format!("pg-pooler {}\n", env!("CARGO_PKG_VERSION")).as_bytes());
}

/// The smallest configuration that `check-config` accepts.
const VALID_CONFIGURATION: &str = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7f",
        "settings":{"classes":[{"name":"a","aim":1,"deadline":2}],"specifics":{"consistency":["any"]},
        "invariants":{"tipMultiple":2}}}"#;

/// Runs `check-config` on a file with the given text. Returns the output and the path of the file.
fn check_configuration(text: &str) -> (Output, String) {
    let file = std::env::temp_dir().join(format!("pg-pooler-cli-{}.json", std::process::id()));
    let path = file.to_str().unwrap();
    std::fs::write(&file, text).unwrap();
    let output = run(&["check-config", "--config", path]);
    std::fs::remove_file(&file).unwrap();
    (output, path.to_string())
}

#[test]
fn check_config_reports_the_file_and_the_error() {
    let (output, _) = check_configuration(VALID_CONFIGURATION);
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success(), "{message}");

    for (from, to, error) in [
        ("127.0.0.1:1", "nowhere", "'listen' is not an IP address"),
        ("7f", "xyz", "'seed' is not a 64-bit hexadecimal number"),
        (r#""aim":1"#, r#""aim":-1"#, "classes[0].aim"),
        (r#""deadline":2"#, r#""deadline":"soon""#, "'deadline' is not a number"),
        (r#"{"listen""#, "", "not JSON"),
    ] {
        let (output, path) = check_configuration(&VALID_CONFIGURATION.replacen(from, to, 1));
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{error}: {message}");
        assert!(message.contains(&path), "{error}: {message}");
        assert!(message.contains(error), "{error}: {message}");
    }
}

#[test]
fn serve_without_a_configuration_fails_and_names_the_environment_variable() {
    let output = run(&["serve"]);
    assert!(!output.status.success());
    assert!(String::from_utf8(output.stderr).unwrap().contains("LB_CONFIG"));
}

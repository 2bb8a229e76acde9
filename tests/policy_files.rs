//! Checks of the source files of the policy. The engineers who run the pooler read all of its decisions, so
//! the line width is limited and the deploy file lists every file.

use std::fs;
use std::path::{Path, PathBuf};

/// Maximum line width (characters).
const MAX_WIDTH: usize = 110;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the files listed under `policy` in the deploy file.
fn policy_files() -> Vec<PathBuf> {
    let deploy =
        fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file can be read");
    let (_, rest) = deploy.split_once("policy = [").expect("the deploy file lists the policy files");
    let (names, _) = rest.split_once(']').expect("the list is terminated");
    names
        .split(',')
        .map(|name| name.trim().trim_matches('"'))
        .filter(|n| !n.is_empty())
        .map(PathBuf::from)
        .collect()
}

#[test]
fn policy_lines_do_not_exceed_the_maximum_width() {
    for file in policy_files() {
        let text = fs::read_to_string(root().join(&file)).expect("each policy file can be read");
        for (number, line) in text.lines().enumerate() {
            assert!(
                line.chars().count() <= MAX_WIDTH,
                "{}:{} exceeds the maximum width",
                file.display(),
                number + 1
            );
        }
    }
}

/// Returns the paths of all source files below a directory, relative to the root and without test files.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(root().join(directory)).expect("the directory can be read");
    let paths = entries.map(|entry| directory.join(entry.expect("the entry can be read").file_name()));
    let files =
        paths.flat_map(|path| if root().join(&path).is_dir() { source_files(&path) } else { vec![path] });
    files.filter(|file| !file.ends_with("tests.rs")).collect()
}

#[test]
fn the_deploy_file_lists_every_policy_file() {
    let listed = policy_files();
    for file in source_files(Path::new("src/policy")) {
        assert!(listed.contains(&file), "{} is not listed", file.display());
    }
}

#[test]
fn the_policy_documentation_refers_to_its_interface() {
    let text = fs::read_to_string(root().join("src/policy/mod.rs")).expect("the policy module can be read");
    assert!(text.lines().take(3).any(|line| line.contains("src/interface")));
}

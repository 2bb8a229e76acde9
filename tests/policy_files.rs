//! The engineers who run the pooler read all of its decisions: their width is limited, and every file is
//! named.

use std::fs;
use std::path::{Path, PathBuf};

/// Longest line (characters).
const MAX_WIDTH: usize = 110;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The files that `policy` in the deploy file names.
fn policy_files() -> Vec<PathBuf> {
    let deploy = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file is there");
    let (_, rest) = deploy.split_once("policy = [").expect("the deploy file names the policy");
    let (names, _) = rest.split_once(']').expect("the list ends");
    names
        .split(',')
        .map(|name| name.trim().trim_matches('"'))
        .filter(|n| !n.is_empty())
        .map(PathBuf::from)
        .collect()
}

#[test]
fn the_policy_stays_within_its_width() {
    for file in policy_files() {
        let text = fs::read_to_string(root().join(&file)).expect("each file of the policy is there");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_WIDTH, "{}:{} is too wide", file.display(), number + 1);
        }
    }
}

/// Every file of decisions below a folder, as its path from the root. Test files decide nothing.
fn decision_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(root().join(folder)).expect("the folder is there");
    let paths = entries.map(|entry| folder.join(entry.expect("it can be listed").file_name()));
    let files =
        paths.flat_map(|path| if root().join(&path).is_dir() { decision_files(&path) } else { vec![path] });
    files.filter(|file| !file.ends_with("tests.rs")).collect()
}

#[test]
fn the_deploy_file_names_every_file_of_the_policy() {
    let named = policy_files();
    for file in decision_files(Path::new("src/policy")) {
        assert!(named.contains(&file), "{} is not named", file.display());
    }
}

#[test]
fn the_policy_says_where_its_interface_is() {
    let text = fs::read_to_string(root().join("src/policy/mod.rs")).expect("the policy is there");
    assert!(text.lines().take(3).any(|line| line.contains("src/interface")));
}

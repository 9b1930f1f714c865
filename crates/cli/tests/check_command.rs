//! End-to-end tests of `briartray check` on the examples and on files with mistakes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn check(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_briartray"));
    command.arg("check").args(arguments).output().expect("the program runs")
}

/// All YAML files below `folder`.
fn yaml_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder is there").flatten() {
        let path = entry.path();
        if path.is_dir() {
            files.extend(yaml_files(&path));
        } else if path.extension().is_some_and(|kind| kind == "yaml") {
            files.push(path);
        }
    }
    files
}

#[test]
fn every_example_is_valid() {
    let files = yaml_files(Path::new(EXAMPLES));
    let names: Vec<&str> = files.iter().filter_map(|file| file.to_str()).collect();

    let output = check(&names);

    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(text.lines().count(), names.len());
    assert!(names.len() > 25, "{names:?}");
}

#[test]
fn mistakes_are_reported_with_file_line_key_and_remedy() {
    // A settings file has a misspelled key. If the key were ignored, the process would run with the
    // default, unnoticed until the limit is needed.
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("node.yaml");
    let valid = std::fs::read_to_string(format!("{EXAMPLES}/try-out/node.yaml")).expect("it reads");
    let text = valid
        .replace("  listen: 127.0.0.1:8080", "  listen: 127.0.0.1:8080\n  max_opn_requests: 7");
    std::fs::write(&file, text).expect("the file is written");
    let name = file.to_str().expect("a text path");

    let (plain, json) = (check(&[name]), check(&["--output", "json", name]));

    let message = String::from_utf8_lossy(&plain.stderr).into_owned();
    let value: Value = serde_json::from_slice(&json.stdout).expect("the output is JSON");
    assert_eq!((plain.status.code(), json.status.code()), (Some(2), Some(2)));
    assert!(
        message.contains("node.yaml, line 12, column 3, key entry.max_opn_requests"),
        "{message}"
    );
    assert!(message.contains("did you mean `max_open_requests`"), "{message}");
    assert_eq!(value["files"][0]["problems"].as_array().map(Vec::len), Some(1));
}

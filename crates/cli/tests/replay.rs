//! End-to-end tests of `briartray replay` on the example traces and on a failed expectation.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn replay(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_briartray"))
        .arg("replay")
        .args(arguments)
        .output()
        .expect("the program runs")
}

fn committed_traces() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/traces");
    let entries = std::fs::read_dir(folder).expect("the traces are there");
    let mut paths: Vec<PathBuf> =
        entries.map(|entry| entry.expect("the folder can be read").path()).collect();
    paths.sort();
    paths
}

#[test]
fn committed_traces_meet_their_expected_outcomes() {
    let traces = committed_traces();

    let failed: Vec<String> = traces
        .iter()
        .map(|path| replay(&[&path.to_string_lossy(), "--planner", "cost"]))
        .filter(|output| !output.status.success())
        .map(|output| String::from_utf8_lossy(&output.stderr).into_owned())
        .collect();

    assert_eq!(failed, Vec::<String>::new());
    assert!(traces.len() >= 10);
}

#[test]
fn differing_outcome_fails_the_run() {
    // An outage is longer than the trace expects. The exit code must report the failure and the
    // error message must name the expectation.
    let path = committed_traces()
        .into_iter()
        .find(|path| path.ends_with("failed-host.jsonl"))
        .expect("the trace is there");
    let text = std::fs::read_to_string(path).expect("the trace can be read");
    let folder = tempfile::tempdir().expect("a folder can be made");
    let changed = folder.path().join("changed.jsonl");
    let stricter = text.replace(r#""at_most_s": 66"#, r#""at_most_s": 6"#);
    std::fs::write(&changed, &stricter).expect("the trace can be written");

    let output = replay(&[&changed.to_string_lossy(), "--planner", "cost"]);

    assert_ne!(stricter, text);
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("expect_downtime"), "{error}");
}

#[test]
fn same_seed_gives_same_trace() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let paths = ["one", "two"].map(|name| folder.path().join(name));

    for path in &paths {
        let out = path.to_string_lossy();
        let output = replay(&["--generate", "parkland", "--seed", "7", "--out", &out]);
        assert!(output.status.success());
    }

    let [one, two] = paths.map(|path| std::fs::read(path).expect("the trace can be read"));
    assert!(one == two && one.len() > 10_000);
}

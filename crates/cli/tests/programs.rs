//! End-to-end tests of the `briartray` program: help, exit codes, and a demonstration under load.

use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStdout, Command, Output, Stdio};

use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_briartray");

fn briartray(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().expect("the program runs")
}

/// A running demonstration that is killed when dropped.
struct RunningDemo {
    child: Child,
    lines: Vec<String>,
    _output: BufReader<ChildStdout>,
}

impl RunningDemo {
    fn start() -> Self {
        let mut child = Command::new(PROGRAM)
            .args(["demo", "--listen", "127.0.0.1:0", "--operator", "127.0.0.1:0"])
            .args(["--seconds", "120"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the demonstration starts");
        let mut output = BufReader::new(child.stdout.take().expect("its output is piped"));
        let mut lines = Vec::new();
        // The last line of the start-up output is that of the second plain service.
        while lines.iter().filter(|line: &&String| line.starts_with("service")).count() < 2 {
            let mut line = String::new();
            let read = output.read_line(&mut line).expect("the output is text");
            assert!(read > 0, "the demonstration ended early: {lines:?}");
            lines.push(line);
        }
        Self { child, lines, _output: output }
    }

    /// Addresses on the output lines that start with `word`.
    fn addresses(&self, word: &str) -> Vec<String> {
        let lines = self.lines.iter().filter_map(|line| line.strip_prefix(word));
        lines.map(|line| line.trim().trim_start_matches("http://").to_owned()).collect()
    }
}

impl Drop for RunningDemo {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn every_subcommand_has_help() {
    let overview = briartray(&["--help"]);
    let text = String::from_utf8_lossy(&overview.stdout).into_owned();
    let (_, list) = text.split_once("Commands:").expect("the help lists commands");
    let names: Vec<&str> =
        list.lines().filter_map(|line| line.strip_prefix("  ")?.split(' ').next()).collect();

    let helps: Vec<Output> = names.iter().map(|name| briartray(&[name, "--help"])).collect();

    assert!(names.contains(&"demo") && names.contains(&"load"), "{names:?}");
    for (name, help) in names.iter().zip(&helps) {
        let text = String::from_utf8_lossy(&help.stdout);
        assert!(help.status.success() && text.contains("Usage:"), "{name}: {text}");
    }
}

#[test]
fn wrong_usage_ends_with_code_two() {
    let cases: [&[&str]; 5] = [
        &["no-such-command"],
        &["load", "--rate", "fast"],
        &["load", "--rate", "0"],
        &["check", "no/such/file.yaml"],
        &["stand-in"],
    ];

    for case in cases {
        let output = briartray(case);

        assert_eq!(output.status.code(), Some(2), "{case:?}: {output:?}");
        assert!(!output.stderr.is_empty(), "{case:?}");
    }
}

#[test]
fn demonstration_answers_every_request_of_a_load() {
    let demo = RunningDemo::start();
    let callers = demo.addresses("callers");
    let stand_ins = [demo.addresses("engine"), demo.addresses("service")].concat();
    let mut arguments = vec!["load", "--address", &callers[0], "--rate", "40", "--seconds", "2"];
    arguments.extend(["--service", "ledger", "--keyed-share", "0.3", "--output", "json"]);
    for stand_in in &stand_ins {
        arguments.extend(["--stand-in", stand_in]);
    }

    let output = briartray(&arguments);

    let report: Value = serde_json::from_slice(&output.stdout).expect("the report is JSON");
    assert!(output.status.success(), "{report}");
    assert_eq!(report["answered"], report["sent"], "{report}");
    assert_eq!(report["audit"]["doubled"], 0, "{report}");
    assert!(report["sent"].as_u64().is_some_and(|sent| sent > 40), "{report}");
}

#[test]
fn load_without_an_entry_fails_with_no_connection() {
    // Nothing listens at the target address. The load must fail: success would hide an outage.
    let output =
        briartray(&["load", "--address", "127.0.0.1:1", "--rate", "20", "--seconds", "0.5"]);

    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("no_connection"), "{text}");
}

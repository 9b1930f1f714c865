//! End-to-end tests of `briartray rules check` and `briartray rules explain`.

use std::process::{Command, Output};

use serde_json::Value;

const DEMO_RULES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/demo/rules.yaml");

fn briartray(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_briartray"))
        .args(arguments)
        .output()
        .expect("the program runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn check_accepts_a_valid_document() {
    let output = briartray(&["rules", "check", DEMO_RULES]);

    assert!(output.status.success(), "{output:?}");
    assert!(stdout(&output).contains("holds"));
}

#[test]
fn check_names_line_and_remedy() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("rules.yaml");
    std::fs::write(&file, "rules:\n- rule: a\n  then: {}\n").expect("the file is written");

    let output = briartray(&["rules", "check", file.to_str().expect("a text path")]);

    assert_eq!(output.status.code(), Some(1));
    assert!(stdout(&output).contains("line 2: error: rule a decides nothing"), "{output:?}");
}

#[test]
fn check_rejects_input_that_is_not_a_rule_document() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("rules.yaml");
    std::fs::write(&file, "rules: 7\n").expect("the file is written");

    let output = briartray(&["rules", "check", file.to_str().expect("a text path")]);

    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn explain_reports_the_deciding_rule_and_why_others_do_not_apply() {
    let output =
        briartray(&["rules", "explain", DEMO_RULES, "--team", "default", "--output", "json"]);

    let reply: Value = serde_json::from_str(&stdout(&output)).expect("the reply is JSON");
    assert_eq!(reply["decider"], "everyone");
    assert_eq!(reply["steps"][0]["rule"], "traders-first");
    assert_eq!(reply["steps"][0]["verdict"], "wants team traders, and it is default");
    assert_eq!(reply["then"]["priority"], 100);
}

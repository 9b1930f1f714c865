//! Refused settings: each problem is reported with its line, key and remedy.

use std::path::Path;

use assert_matches::assert_matches;
use briartray_model::settings::{SettingsError, SettingsProblem, parse};

const VALID_SETTINGS: &str = "\
node: n
zone: z
cluster:
  token: long-enough
  control:
    - node: n
      link: 127.0.0.1:7000
entry:
  listen: 127.0.0.1:8080
";

fn problems(text: &str) -> Vec<SettingsProblem> {
    match parse(Path::new("node.yaml"), text) {
        Err(SettingsError::Refused { problems, .. }) => problems,
        other => panic!("the settings should be refused: {other:?}"),
    }
}

fn places(text: &str) -> Vec<(u64, String)> {
    problems(text).into_iter().map(|problem| (problem.line, problem.key)).collect()
}

fn place(line: u64, key: &str) -> (u64, String) {
    (line, key.to_owned())
}

#[test]
fn valid_settings_load_with_defaults() {
    let settings = parse(Path::new("node.yaml"), VALID_SETTINGS).expect("the settings are valid");

    assert_eq!(settings.entry.map(|entry| entry.max_open_requests), Some(4096));
}

#[test]
fn every_problem_is_reported_at_once() {
    // A file with several mistakes. If they were reported one at a time, each would cost the
    // operator another attempt.
    let text = format!(
        "{}  max_open_request: 4\n  when_rules_unconfirmed: maybe\n  max_body_bytes: -3\n",
        VALID_SETTINGS.replace("127.0.0.1:7000", "nowhere")
    );

    let found = places(&text);

    let expected = vec![
        place(7, "cluster.control.link"),
        place(10, "entry.max_open_request"),
        place(11, "entry.when_rules_unconfirmed"),
        place(12, "entry.max_body_bytes"),
    ];
    assert_eq!(found, expected);
}

#[test]
fn misspelt_choice_with_a_value_is_one_problem() {
    // A misspelt variant that has a value must not be corrected to parse on: that would report
    // follow-up problems, and the operator would look for mistakes that are not in the file.
    let text = format!(
        "{VALID_SETTINGS}control:\n  link: 127.0.0.1:7000\n  operator: 127.0.0.1:9000\n  \
         data_folder: d\n  rules_hold: {{ bounded: 5 }}\n"
    );

    let found = problems(&text);

    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].detail.contains("unknown variant `bounded`"), "{found:?}");
}

#[test]
fn misspelt_key_suggests_the_nearest_name() {
    let found = problems(&format!("{VALID_SETTINGS}  max_open_request: 4\n"));

    assert_eq!(found[0].remedy, "did you mean `max_open_requests`? correct or remove the key");
}

#[test]
fn missing_key_is_named_with_its_section() {
    let found = places(&VALID_SETTINGS.replace("  listen: 127.0.0.1:8080", "  max_body_bytes: 5"));

    assert_eq!(found, vec![place(9, "entry.listen")]);
}

#[test]
fn conflicting_values_are_all_reported() {
    let text = format!(
        "{}control:\n  link: 127.0.0.1:7000\n  operator: 10.0.0.1:9000\n  data_folder: d\n\
         log:\n  level: loud\n",
        VALID_SETTINGS.replace("long-enough", "short").replace("    - node: n", "    - node: m")
    );

    let found = places(&text);

    let expected = vec![
        place(15, "log.level"),
        place(4, "cluster.token"),
        place(10, "control.operator_token"),
        place(5, "cluster.control"),
    ];
    assert_eq!(found, expected);
}

#[test]
fn unreadable_file_is_named() {
    let result = briartray_model::settings::load(Path::new("no/such/file.yaml"));

    assert_matches!(result, Err(SettingsError::Unreadable { .. }));
}

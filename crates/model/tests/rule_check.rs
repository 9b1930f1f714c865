//! Errors in rule documents are reported with their line.

use briartray_model::rules::{FindingLevel, check_rules};

/// The errors of `text` as line and message.
fn errors(text: &str) -> Vec<(u64, String)> {
    check_rules(text)
        .expect("the text is a rule document")
        .into_iter()
        .filter(|finding| finding.level == FindingLevel::Error)
        .map(|finding| (finding.line, finding.message))
        .collect()
}

#[test]
fn document_without_mistakes_has_no_error() {
    let text = include_str!("../../../examples/demo/rules.yaml");

    assert_eq!(errors(text), Vec::new());
}

#[test]
fn rule_after_a_more_general_one_is_unreachable() {
    // An operator adds a special case after the general rule. It would never apply, and the team
    // it is for would keep its old limit.
    let text = r"
teams: [{ name: traders }]
rules:
- rule: everyone
  then: { admit: {} }
- rule: traders
  when: { team: [traders] }
  then: { admit: { priority: 9 } }
";

    let found = errors(text);

    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].0, 6);
    assert!(found[0].1.contains("rule everyone stands before it"), "{found:?}");
}

#[test]
fn rule_of_another_kind_does_not_shadow() {
    let text = r"
teams: [{ name: traders }]
rules:
- rule: everyone
  then: { route: {} }
- rule: traders
  when: { team: [traders] }
  then: { admit: {} }
";

    assert_eq!(errors(text), Vec::new());
}

#[test]
fn placement_by_team_never_decides() {
    // Placement decisions have no team, so a placement rule that requires one would be skipped
    // without notice.
    let text = r"
teams: [{ name: traders }]
rules:
- rule: place-traders
  when: { team: [traders] }
  then: { place: {} }
";

    let found = errors(text);

    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].1.contains("know no team"), "{found:?}");
}

#[test]
fn names_that_are_not_declared_are_errors() {
    let text = r"
rules:
- rule: a
  when: { service: [desk], team: [x], model: [m] }
  then: { admit: {} }
";

    let found = errors(text);

    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found.iter().all(|(line, _)| *line == 3), "{found:?}");
}

#[test]
fn values_out_of_range_are_errors() {
    let text = r"
services: [{ name: desk, hosts_per_replica: 0, capacity: 0 }]
rules:
- rule: a
  then:
    admit: { weight: 0, rate: -1 }
    retry: { attempts: 0 }
    route: { load_bound_percent: 50 }
    place: { stranded_weight: .nan }
";

    let found = errors(text);

    assert_eq!(found.len(), 7, "{found:?}");
}

#[test]
fn unknown_field_is_refused_with_its_line() {
    let text = "rules:\n- rule: a\n  whne: {}\n  then: { admit: {} }\n";

    let error = check_rules(text).expect_err("the field is unknown").to_string();

    assert!(error.contains("line 3"), "{error}");
    assert!(error.contains("whne"), "{error}");
}

#[test]
fn missing_fallback_is_a_warning() {
    let text = "rules:\n- rule: a\n  then: { admit: {} }\n";

    let findings = check_rules(text).expect("the text is a rule document");

    assert_eq!(findings.len(), 4, "{findings:?}");
    assert!(findings.iter().all(|finding| finding.level == FindingLevel::Warning));
}

#[test]
fn duplicate_names_are_errors() {
    let text = r"
services: [{ name: desk, models: [m] }, { name: desk, models: [m] }]
teams: [{ name: x }, { name: x }]
rules:
- rule: a
  when: { team: [x] }
  then: { admit: {} }
- rule: a
  then: { admit: {} }
";

    let found = errors(text);

    assert_eq!(found.len(), 4, "{found:?}");
}

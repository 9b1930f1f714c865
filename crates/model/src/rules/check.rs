//! Checks of a rule document that go beyond parsing it.

use std::fmt;

use serde::Deserialize;
use serde_saphyr::Spanned;

use super::book::DecisionKind;
use super::document::{
    RuleDocument, RuleEntry, RuleError, ServiceDeclaration, TeamDeclaration, malformed,
};
use super::{RuleAction, RuleCondition, ServiceKind};
use crate::names::RuleName;

/// Severity of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingLevel {
    /// A possible mistake; the document is still accepted.
    Warning,
    /// The document is refused.
    Error,
}

/// One error or warning about a rule document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleFinding {
    /// Line, counted from one; zero when the finding concerns the whole document.
    pub line: u64,
    /// Severity.
    pub level: FindingLevel,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl fmt::Display for RuleFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = match self.level {
            FindingLevel::Warning => "warning",
            FindingLevel::Error => "error",
        };
        write!(formatter, "line {}: {level}: {}", self.line, self.message)
    }
}

/// A rule document with the line of each item.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LocatedDocument {
    #[serde(default)]
    services: Vec<Spanned<ServiceDeclaration>>,
    #[serde(default)]
    teams: Vec<Spanned<TeamDeclaration>>,
    #[serde(default)]
    rules: Vec<Spanned<RuleEntry>>,
}

/// Checks the rule document `text` and returns the findings in line order.
///
/// # Errors
/// `RuleError::Malformed` when the text does not parse as a rule document.
pub fn check_rules(text: &str) -> Result<Vec<RuleFinding>, RuleError> {
    let document: LocatedDocument =
        serde_saphyr::from_str(text).map_err(|error| malformed(&error))?;
    let mut findings = Vec::new();
    check_services(&document, &mut findings);
    check_teams(&document, &mut findings);
    check_names(&document, &mut findings);
    for (position, entry) in document.rules.iter().enumerate() {
        check_values(entry, &mut findings);
        check_references(&document, entry, &mut findings);
        check_reachability(&document.rules[..position], entry, &mut findings);
    }
    check_fallbacks(&document, &mut findings);
    findings.sort_by_key(|finding| finding.line);
    Ok(findings)
}

/// Parses and checks a document; refuses it on errors but accepts warnings.
///
/// # Errors
/// `RuleError::Malformed` or `RuleError::Refused` with the first error.
pub fn accept_rules(text: &str) -> Result<RuleDocument, RuleError> {
    let findings = check_rules(text)?;
    let error = findings.into_iter().find(|finding| finding.level == FindingLevel::Error);
    match error {
        Some(finding) => Err(RuleError::Refused { line: finding.line, detail: finding.message }),
        None => RuleDocument::parse(text),
    }
}

fn line_of<T>(part: &Spanned<T>) -> u64 {
    part.referenced.line()
}

fn report(findings: &mut Vec<RuleFinding>, line: u64, level: FindingLevel, message: String) {
    findings.push(RuleFinding { line, level, message });
}

fn check_services(document: &LocatedDocument, findings: &mut Vec<RuleFinding>) {
    for (position, part) in document.services.iter().enumerate() {
        let service = &part.value;
        let mut error = |message: String| {
            report(findings, line_of(part), FindingLevel::Error, message);
        };
        let earlier = || document.services[..position].iter().map(|part| &part.value);
        if earlier().any(|other| other.name == service.name) {
            error(format!("service {} is declared twice; keep one", service.name));
        }
        let offered = |name: &str| {
            earlier()
                .filter(|other| other.kind == ServiceKind::Engine)
                .any(|other| other.models.iter().any(|model| model == name))
        };
        for model in service.models.iter().filter(|model| offered(model)) {
            error(format!("model {model} is offered by two services; keep one"));
        }
        if service.hosts_per_replica == 0 {
            error(format!("service {}: hosts_per_replica must be 1 or more", service.name));
        }
        if service.capacity == 0 {
            error(format!("service {}: capacity must be 1 or more", service.name));
        }
    }
}

fn check_teams(document: &LocatedDocument, findings: &mut Vec<RuleFinding>) {
    for (position, part) in document.teams.iter().enumerate() {
        let name = &part.value.name;
        if document.teams[..position].iter().any(|other| other.value.name == *name) {
            let message = format!("team {name} is declared twice; keep one");
            report(findings, line_of(part), FindingLevel::Error, message);
        }
    }
}

fn check_names(document: &LocatedDocument, findings: &mut Vec<RuleFinding>) {
    for (position, part) in document.rules.iter().enumerate() {
        let name = &part.value.rule;
        if document.rules[..position].iter().any(|other| other.value.rule == *name) {
            let message = format!("rule {name} stands twice; give each rule its own name");
            report(findings, line_of(part), FindingLevel::Error, message);
        }
    }
}

fn check_values(part: &Spanned<RuleEntry>, findings: &mut Vec<RuleFinding>) {
    let (name, then) = (&part.value.rule, &part.value.then);
    let mut error = |message: String| {
        report(findings, line_of(part), FindingLevel::Error, message);
    };
    if DecisionKind::ALL.iter().all(|kind| !then.decides(*kind)) {
        error(format!("rule {name} decides nothing; name admit, route, retry, place or stop"));
    }
    for problem in value_problems(then) {
        error(format!("rule {name}: {problem}"));
    }
}

fn value_problems(then: &RuleAction) -> Vec<&'static str> {
    let mut problems = Vec::new();
    let mut require = |holds: bool, problem: &'static str| {
        if !holds {
            problems.push(problem);
        }
    };
    if let Some(admit) = &then.admit {
        require(admit.rate.is_finite() && admit.rate >= 0.0, "admit.rate must be 0 or more");
        require(admit.weight > 0, "admit.weight must be 1 or more");
        require(admit.deadline_ms > 0, "admit.deadline_ms must be 1 or more");
    }
    if let Some(route) = &then.route {
        require(route.load_bound_percent >= 100, "route.load_bound_percent must be 100 or more");
    }
    if let Some(retry) = &then.retry {
        require(retry.attempts > 0, "retry.attempts must be 1 or more; 1 means no retry");
        require(retry.budget_percent <= 100, "retry.budget_percent must be 100 or less");
    }
    if let Some(place) = &then.place {
        let weights = [place.downtime_weight, place.stranded_weight];
        let valid = weights.iter().all(|weight| weight.is_finite() && *weight >= 0.0);
        require(valid, "place weights must be 0 or more");
        require(weights.iter().any(|weight| *weight > 0.0), "one place weight must be over 0");
    }
    problems
}

fn check_references(
    document: &LocatedDocument,
    part: &Spanned<RuleEntry>,
    findings: &mut Vec<RuleFinding>,
) {
    let (name, when) = (&part.value.rule, &part.value.when);
    let mut error = |message: String| {
        report(findings, line_of(part), FindingLevel::Error, message);
    };
    let services = || document.services.iter().map(|part| &part.value);
    for service in &when.service {
        if !services().any(|declared| declared.name == *service) {
            error(format!("rule {name} names service {service}, which is not declared"));
        }
    }
    for team in &when.team {
        if !document.teams.iter().any(|declared| declared.value.name == *team) {
            error(format!("rule {name} names team {team}, which is not declared"));
        }
    }
    for model in &when.model {
        let offered = services()
            .any(|declared| declared.name.as_str() == model || declared.models.contains(model));
        if !offered {
            error(format!("rule {name} names model {model}, which no service offers"));
        }
    }
}

/// Reports kinds of decision for which the rule can never apply.
fn check_reachability(
    earlier: &[Spanned<RuleEntry>],
    part: &Spanned<RuleEntry>,
    findings: &mut Vec<RuleFinding>,
) {
    let entry = &part.value;
    for kind in DecisionKind::ALL.into_iter().filter(|kind| entry.then.decides(*kind)) {
        if let Some(field) = unavailable_field(&entry.when, kind) {
            let message = format!(
                "rule {}: {} decisions know no {field}, so it never decides them; move them to a \
                 rule without {field}",
                entry.rule,
                kind.as_str()
            );
            report(findings, line_of(part), FindingLevel::Error, message);
            continue;
        }
        if let Some(covering) = covering_rule(earlier, &entry.when, kind) {
            let message = format!(
                "rule {} never makes {} decisions: rule {covering} stands before it and matches \
                 whenever it does; move it up or remove it",
                entry.rule,
                kind.as_str()
            );
            report(findings, line_of(part), FindingLevel::Error, message);
        }
    }
}

fn covering_rule(
    earlier: &[Spanned<RuleEntry>],
    when: &RuleCondition,
    kind: DecisionKind,
) -> Option<RuleName> {
    earlier
        .iter()
        .map(|part| &part.value)
        .filter(|entry| entry.then.decides(kind) && unavailable_field(&entry.when, kind).is_none())
        .find(|entry| covers(&entry.when, when))
        .map(|entry| entry.rule.clone())
}

/// A field of the condition that is never known in decisions of `kind`.
fn unavailable_field(when: &RuleCondition, kind: DecisionKind) -> Option<&'static str> {
    let about_requests = [
        ("team", !when.team.is_empty()),
        ("model", !when.model.is_empty()),
        ("path", !when.path.is_empty()),
        ("stream", when.stream.is_some()),
        ("keyed", when.keyed.is_some()),
    ];
    let about_hosts = [("provider", !when.provider.is_empty())];
    let unknown: &[(&'static str, bool)] = match kind {
        DecisionKind::Admit | DecisionKind::Route | DecisionKind::Retry => &about_hosts,
        DecisionKind::Place | DecisionKind::Stop => &about_requests,
    };
    unknown.iter().find(|(_, used)| *used).map(|(field, _)| *field)
}

/// Whether `wide` matches every decision that `narrow` matches.
fn covers(wide: &RuleCondition, narrow: &RuleCondition) -> bool {
    covers_names(&wide.team, &narrow.team)
        && covers_names(&wide.service, &narrow.service)
        && covers_names(&wide.model, &narrow.model)
        && covers_names(&wide.zone, &narrow.zone)
        && covers_names(&wide.provider, &narrow.provider)
        && covers_paths(&wide.path, &narrow.path)
        && (wide.stream.is_none() || wide.stream == narrow.stream)
        && (wide.keyed.is_none() || wide.keyed == narrow.keyed)
}

fn covers_names<T: PartialEq>(wide: &[T], narrow: &[T]) -> bool {
    wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|name| wide.contains(name)))
}

fn covers_paths(wide: &[String], narrow: &[String]) -> bool {
    let under = |path: &String| wide.iter().any(|prefix| path.starts_with(prefix.as_str()));
    wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(under))
}

fn check_fallbacks(document: &LocatedDocument, findings: &mut Vec<RuleFinding>) {
    for kind in DecisionKind::ALL {
        let has_fallback = document.rules.iter().any(|part| {
            part.value.then.decides(kind) && part.value.when == RuleCondition::default()
        });
        if !has_fallback {
            let message = format!(
                "no rule without a condition decides {}; built-in defaults count where no rule \
                 matches",
                kind.as_str()
            );
            report(findings, 0, FindingLevel::Warning, message);
        }
    }
}

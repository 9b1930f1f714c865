//! `briartray rules explain`: shows which rule decides a given request or placement.

use briartray_model::names::RevisionNumber;
use briartray_model::rules::{DecisionFacts, DecisionKind, RuleBook, RuleStep, RuleVerdict};
use gumdrop::Options;
use serde_json::{Value, json};

use super::read_document;
use crate::cmd::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct ExplainOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "rule document in YAML")]
    file: String,
    #[options(
        no_short,
        help = "kind of decision: admit, route, retry, place or stop",
        meta = "KIND",
        default = "admit"
    )]
    kind: String,
    #[options(no_short, help = "team of the caller", meta = "NAME")]
    team: Option<String>,
    #[options(no_short, help = "name of the service", meta = "NAME")]
    service: Option<String>,
    #[options(no_short, help = "name of the model", meta = "NAME")]
    model: Option<String>,
    #[options(no_short, help = "request path", meta = "PATH")]
    path: Option<String>,
    #[options(no_short, help = "availability zone", meta = "NAME")]
    zone: Option<String>,
    #[options(no_short, help = "provider", meta = "NAME")]
    provider: Option<String>,
    #[options(no_short, help = "whether the answer is a stream", meta = "true|false")]
    stream: Option<bool>,
    #[options(no_short, help = "whether the call has an Idempotency-Key", meta = "true|false")]
    keyed: Option<bool>,
    #[options(no_short, help = "output format: text or json", meta = "FORMAT")]
    output: OutputFormat,
}

pub(super) fn run(options: &ExplainOptions) -> Result<(), CommandError> {
    let kind = DecisionKind::parse(&options.kind).ok_or_else(|| {
        CommandError::unusable("unknown --kind; use admit, route, retry, place or stop")
    })?;
    let text = read_document(&options.file)?;
    let book = RuleBook::build(RevisionNumber::default(), &text)
        .map_err(|error| CommandError::unusable(format!("{}: {error}", options.file)))?;
    let facts = decision_facts(options);
    let steps = book.explain(kind, &facts);
    let action = action_json(&book, kind, &facts);
    match options.output {
        OutputFormat::Json => println!("{}", as_json(&steps, &action)),
        OutputFormat::Text => print_steps(&steps, &action),
    }
    Ok(())
}

fn decision_facts(options: &ExplainOptions) -> DecisionFacts<'_> {
    DecisionFacts {
        team: options.team.as_deref(),
        service: options.service.as_deref(),
        model: options.model.as_deref(),
        path: options.path.as_deref(),
        zone: options.zone.as_deref(),
        provider: options.provider.as_deref(),
        stream: options.stream,
        keyed: options.keyed,
    }
}

fn action_json(book: &RuleBook, kind: DecisionKind, facts: &DecisionFacts<'_>) -> Value {
    match kind {
        DecisionKind::Admit => json!(book.admit(facts).1),
        DecisionKind::Route => json!(book.route(facts).1),
        DecisionKind::Retry => json!(book.retry(facts).1),
        DecisionKind::Place => json!(book.place(facts).1),
        DecisionKind::Stop => json!(book.stop(facts).1),
    }
}

fn print_steps(steps: &[RuleStep], action: &Value) {
    for step in steps {
        println!("{}: {}", step.rule, step.verdict);
    }
    if steps.last().is_none_or(|step| step.verdict != RuleVerdict::Decides) {
        println!("no rule decides; the built-in default counts");
    }
    println!("then {action}");
}

fn as_json(steps: &[RuleStep], action: &Value) -> Value {
    let decider = steps.last().filter(|step| step.verdict == RuleVerdict::Decides);
    let rows: Vec<Value> = steps
        .iter()
        .map(|step| json!({ "rule": step.rule, "verdict": step.verdict.to_string() }))
        .collect();
    json!({ "decider": decider.map(|step| &step.rule), "steps": rows, "then": action })
}

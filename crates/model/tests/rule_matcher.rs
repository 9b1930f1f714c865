//! Compares the rule index with a linear search over the rules.

use briartray_model::names::{RevisionNumber, RuleName};
use briartray_model::rules::{
    AdmitAction, DecisionFacts, DecisionKind, PlaceAction, RuleAction, RuleBook, RuleCondition,
    RuleDocument, RuleEntry, RuleVerdict,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 4000;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const PATHS: [&str; 4] = ["/", "/v1", "/v1/completions", "/services/ledger"];

/// Generated facts; owned, unlike `DecisionFacts`.
#[derive(Debug, Clone)]
struct OwnedFacts {
    names: Vec<Option<&'static str>>,
    path: Option<&'static str>,
    stream: Option<bool>,
    keyed: Option<bool>,
}

impl OwnedFacts {
    fn borrow(&self) -> DecisionFacts<'_> {
        DecisionFacts {
            team: self.names[0],
            service: self.names[1],
            model: self.names[2],
            zone: self.names[3],
            provider: self.names[4],
            path: self.path,
            stream: self.stream,
            keyed: self.keyed,
        }
    }
}

fn some_names() -> impl Strategy<Value = Vec<&'static str>> {
    prop_oneof![
        3 => Just(Vec::new()),
        2 => prop::collection::vec(prop::sample::select(NAMES.to_vec()), 1..4),
    ]
}

fn condition() -> impl Strategy<Value = RuleCondition> {
    let paths = prop_oneof![
        3 => Just(Vec::new()),
        1 => prop::collection::vec(prop::sample::select(PATHS.to_vec()), 1..3),
    ];
    let flags = (any::<Option<bool>>(), any::<Option<bool>>());
    (prop::collection::vec(some_names(), 5), paths, flags).prop_map(
        |(names, path, (stream, keyed))| RuleCondition {
            team: names[0].iter().map(|name| (*name).into()).collect(),
            service: names[1].iter().map(|name| (*name).into()).collect(),
            model: names[2].iter().map(|name| (*name).to_owned()).collect(),
            zone: names[3].iter().map(|name| (*name).into()).collect(),
            provider: names[4].iter().map(|name| (*name).into()).collect(),
            path: path.iter().map(|name| (*name).to_owned()).collect(),
            stream,
            keyed,
        },
    )
}

fn document() -> impl Strategy<Value = RuleDocument> {
    let rule = (condition(), any::<bool>(), any::<bool>());
    prop::collection::vec(rule, 0..12).prop_map(|parts| RuleDocument {
        rules: parts
            .into_iter()
            .enumerate()
            .map(|(number, (when, admits, places))| RuleEntry {
                rule: RuleName::new(&format!("rule-{number}")),
                when,
                then: RuleAction {
                    admit: admits.then(AdmitAction::default),
                    place: places.then(PlaceAction::default),
                    ..RuleAction::default()
                },
            })
            .collect(),
        ..RuleDocument::default()
    })
}

fn facts() -> impl Strategy<Value = OwnedFacts> {
    let name = prop::option::of(prop::sample::select(NAMES.to_vec()));
    (
        prop::collection::vec(name, 5),
        prop::option::of(prop::sample::select(PATHS.to_vec())),
        any::<Option<bool>>(),
        any::<Option<bool>>(),
    )
        .prop_map(|(names, path, stream, keyed)| OwnedFacts { names, path, stream, keyed })
}

/// The first rule that matches, found by linear search.
fn linear_search<'a>(
    document: &'a RuleDocument,
    kind: DecisionKind,
    facts: &DecisionFacts<'_>,
) -> Option<&'a RuleName> {
    document
        .rules
        .iter()
        .find(|entry| entry.then.decides(kind) && entry.when.matches(facts))
        .map(|entry| &entry.rule)
}

#[test]
fn index_agrees_with_linear_search() {
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, random);

    runner
        .run(&(document(), facts()), |(document, facts)| {
            let text = serde_json::to_string(&document).expect("a document is plain data");
            let book = RuleBook::build(RevisionNumber(1), &text).expect("the document holds");
            let facts = facts.borrow();

            let admit = book.admit(&facts).0;
            let place = book.place(&facts).0;
            let steps = book.explain(DecisionKind::Admit, &facts);

            prop_assert_eq!(admit, linear_search(&document, DecisionKind::Admit, &facts));
            prop_assert_eq!(place, linear_search(&document, DecisionKind::Place, &facts));
            let explained = steps
                .last()
                .filter(|step| step.verdict == RuleVerdict::Decides)
                .map(|step| &step.rule);
            prop_assert_eq!(admit, explained);
            Ok(())
        })
        .expect("index and linear search agree");
}

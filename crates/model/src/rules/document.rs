//! The rule document in the form that operators write.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::RuleAction;
use crate::names::{ProviderName, RuleName, ServiceName, TeamName, ZoneName};

/// Why a rule document was refused.
#[derive(Debug, Snafu)]
pub enum RuleError {
    /// The text does not parse as a rule document.
    #[snafu(display("rule document, line {line}, column {column}: {detail}"))]
    Malformed {
        /// Line, counted from one.
        line: u64,
        /// Column, counted from one.
        column: u64,
        /// What is wrong and what is expected.
        detail: String,
    },
    /// The text is a rule document but has an error.
    #[snafu(display("rule document, line {line}: {detail}"))]
    Refused {
        /// Line, counted from one.
        line: u64,
        /// What is wrong and how to correct it.
        detail: String,
    },
}

/// One rule document.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleDocument {
    /// Services that are offered.
    #[serde(default)]
    pub services: Vec<ServiceDeclaration>,
    /// Teams that may send requests.
    #[serde(default)]
    pub teams: Vec<TeamDeclaration>,
    /// Rules in the order in which they are tried.
    #[serde(default)]
    pub rules: Vec<RuleEntry>,
}

plain_choice! {
    /// Kind of a service.
    #[derive(Default)]
    pub enum ServiceKind {
        /// A model engine.
        #[default]
        Engine,
        /// A plain HTTP service.
        Plain,
    }
}

/// Declaration of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDeclaration {
    /// Its name.
    pub name: ServiceName,
    /// Kind of the service.
    #[serde(default)]
    pub kind: ServiceKind,
    /// Models that callers may request from the service; its own name is always accepted as one.
    #[serde(default)]
    pub models: Vec<String>,
    /// Number of hosts in one replica.
    #[serde(default = "one")]
    pub hosts_per_replica: u32,
    /// Wanted number of replicas.
    #[serde(default = "one")]
    pub replicas: u32,
    /// Limit of attempts in flight per replica.
    #[serde(default = "default_capacity")]
    pub capacity: u32,
}

/// Declaration of one team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDeclaration {
    /// Its name.
    pub name: TeamName,
}

/// One rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleEntry {
    /// Its name.
    pub rule: RuleName,
    /// When it matches; an empty condition always matches.
    #[serde(default)]
    pub when: RuleCondition,
    /// What it decides.
    pub then: RuleAction,
}

/// Condition of a rule: every field that is given must match.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RuleCondition {
    /// The caller is of any of these teams.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub team: Vec<TeamName>,
    /// Any of these services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub service: Vec<ServiceName>,
    /// Any of these models.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub model: Vec<String>,
    /// A path that starts with any of these.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub path: Vec<String>,
    /// Any of these availability zones.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub zone: Vec<ZoneName>,
    /// Any of these providers.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub provider: Vec<ProviderName>,
    /// Whether the answer is a stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stream: Option<bool>,
    /// Whether the call carries an `Idempotency-Key`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keyed: Option<bool>,
}

impl RuleDocument {
    /// Parses a document from YAML.
    ///
    /// # Errors
    /// `RuleError::Malformed` with line and column when the text does not parse.
    pub fn parse(text: &str) -> Result<Self, RuleError> {
        serde_saphyr::from_str(text).map_err(|error| malformed(&error))
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceDeclaration> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// The engine service that offers `model`, as one of its models or as its own name.
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceDeclaration> {
        self.services.iter().find(|service| {
            service.kind == ServiceKind::Engine
                && (service.name.as_str() == model || service.models.iter().any(|m| m == model))
        })
    }
}

/// Converts the parser's error, with its location.
pub(super) fn malformed(error: &serde_saphyr::Error) -> RuleError {
    let location = error.location();
    RuleError::Malformed {
        line: location.map_or(0, |location| location.line()),
        column: location.map_or(0, |location| location.column()),
        detail: error.without_snippet().to_string(),
    }
}

fn one() -> u32 {
    1
}

fn default_capacity() -> u32 {
    64
}

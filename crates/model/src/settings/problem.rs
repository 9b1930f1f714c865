//! Problems in a settings file, with their location and remedy.

use std::fmt::{Display, Formatter, Result};

/// One problem in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Line, counted from one; zero when the problem concerns the whole file.
    pub line: u64,
    /// Column, counted from one; zero when the problem concerns the whole line.
    pub column: u64,
    /// Dotted path of the key, such as `entry.listen`; empty when the problem concerns no key.
    pub key: String,
    /// What is wrong.
    pub detail: String,
    /// What to do about it.
    pub remedy: String,
}

impl Display for SettingsProblem {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "line {}", self.line)?;
        if self.column > 0 {
            write!(formatter, ", column {}", self.column)?;
        }
        if !self.key.is_empty() {
            write!(formatter, ", key {}", self.key)?;
        }
        write!(formatter, ": {}; {}", self.detail, self.remedy)
    }
}

/// The remedy for the parser's error message `detail`.
pub(super) fn remedy_for(detail: &str) -> String {
    if detail.starts_with("unknown field") {
        return match nearest_name(detail) {
            Some(name) => format!("did you mean `{name}`? correct or remove the key"),
            None => "remove the key".to_owned(),
        };
    }
    let remedy = if detail.starts_with("missing field") {
        "add the key"
    } else if detail.starts_with("unknown variant") {
        "use one of the expected values"
    } else if detail.contains("socket address") {
        "write an IP address and a port, such as 10.0.0.5:7000"
    } else if detail.starts_with("invalid u") {
        "write a whole number that is not negative and not too large"
    } else if detail.contains("bool") {
        "write true or false"
    } else if detail.starts_with("duplicate") {
        "keep one of the two keys"
    } else {
        "see docs/guide/settings.md for the allowed values"
    };
    remedy.to_owned()
}

/// The expected name closest to the unknown one, if one is close enough.
fn nearest_name(detail: &str) -> Option<&str> {
    /// Names that differ by more edits than this are not suggested as a correction.
    const MAX_EDITS: usize = 2;
    let unknown = detail.split('`').nth(1)?;
    let (_, expected) = detail.split_once("expected one of ").or(detail.split_once("expected "))?;
    let names = expected.split(", ").map(|name| name.trim().trim_matches('`'));
    let rated = names.map(|name| (edit_distance(unknown, name), name));
    rated.filter(|(edits, _)| *edits <= MAX_EDITS).min().map(|(_, name)| name)
}

/// Levenshtein distance: the number of characters to change, add or remove to turn `left` into
/// `right`.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (above, letter) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = above + 1;
        for (index, other) in right.iter().enumerate() {
            let change = diagonal + usize::from(letter != *other);
            diagonal = row[index + 1];
            row[index + 1] = change.min(diagonal + 1).min(row[index] + 1);
        }
    }
    row[right.len()]
}

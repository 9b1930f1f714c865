//! Reading and checking settings.

use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

use super::DaemonSettings;
use super::constraints::find_conflicts;
use super::lines::SettingsLines;
use super::problem::{SettingsProblem, remedy_for};

/// Parsing of one file stops after this many problems.
const MAX_PARSE_PROBLEMS: usize = 20;

/// Why settings could not be loaded.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("settings file {}: {source}; check the path and its permissions", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file has unknown keys, invalid values or values that conflict.
    #[snafu(display("{}", describe(path, problems)))]
    Refused {
        /// The file.
        path: PathBuf,
        /// The problems, in the order in which they were found.
        problems: Vec<SettingsProblem>,
    },
}

fn describe(path: &Path, problems: &[SettingsProblem]) -> String {
    let lines =
        problems.iter().map(|problem| format!("settings file {}, {problem}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}

/// Loads and checks the settings in `path`.
///
/// # Errors
/// `SettingsError::Unreadable` when the file cannot be read, otherwise `SettingsError::Refused`
/// with location and remedy of each problem found.
pub fn load(path: &Path) -> Result<DaemonSettings, SettingsError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    parse(path, &text)
}

/// Parses and checks settings from `text`; `path` is used only in error messages.
///
/// # Errors
/// `SettingsError::Refused` with location and remedy of each problem found.
pub fn parse(path: &Path, text: &str) -> Result<DaemonSettings, SettingsError> {
    let mut lines = SettingsLines::new(text);
    let mut problems = Vec::new();
    loop {
        match serde_saphyr::from_str::<DaemonSettings>(&lines.text()) {
            Ok(settings) => {
                problems.extend(find_conflicts(&settings, &lines));
                if problems.is_empty() {
                    return Ok(settings);
                }
                break;
            }
            Err(error) => {
                let problem = describe_error(&error, &lines);
                let patched = patch_problem(&mut lines, &problem);
                problems.push(problem);
                if !patched || problems.len() >= MAX_PARSE_PROBLEMS {
                    break;
                }
            }
        }
    }
    RefusedSnafu { path, problems }.fail()
}

fn describe_error(error: &serde_saphyr::Error, lines: &SettingsLines) -> SettingsProblem {
    let location = error.location();
    let (line, column) = location.map_or((0, 0), |location| (location.line(), location.column()));
    let text = error.without_snippet().to_string();
    let detail = text.split(" at line ").next().unwrap_or_default().to_owned();
    let remedy = remedy_for(&detail);
    let mut key = lines.key_at(line, column);
    if let Some(missing) = detail.strip_prefix("missing field") {
        let outer = key.rsplit_once('.').map_or(String::new(), |(outer, _)| format!("{outer}."));
        key = format!("{outer}{}", missing.trim().trim_matches('`'));
    }
    SettingsProblem { line, column, key, detail, remedy }
}

/// Corrects the text at `problem` so that parsing gets past it; `false` when no correction is known
/// that would not cause problems of its own.
fn patch_problem(lines: &mut SettingsLines, problem: &SettingsProblem) -> bool {
    let (line, column, detail) = (problem.line, problem.column, problem.detail.as_str());
    if detail.starts_with("unknown field") {
        return lines.remove_key(line, column);
    }
    let placeholder = if detail.contains("socket address") {
        "127.0.0.1:1"
    } else if detail.starts_with("invalid u") {
        "1"
    } else if detail.contains("bool") {
        "true"
    } else if let Some((_, expected)) = detail.split_once("expected one of ") {
        expected.split(", ").next().unwrap_or_default().trim_matches('`')
    } else {
        return false;
    };
    lines.replace_value(line, column, placeholder)
}

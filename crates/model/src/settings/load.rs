//! Reading settings and refusing what does not fit.

use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

use super::DaemonSettings;
use super::lines::SettingsLines;
use super::problem::{SettingsProblem, remedy_for};
use super::rules::find_conflicts;

/// Problems of one file that are told at one time.
const MAX_PROBLEMS: usize = 20;

/// Why settings were refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("settings file {}: {source}; check the path and its permissions", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// Keys are unknown, values do not fit, or they do not fit together.
    #[snafu(display("{}", describe(path, problems)))]
    Refused {
        /// The file.
        path: PathBuf,
        /// What is wrong, in the order in which it was found.
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
/// A `SettingsError` that names file, place and remedy of every problem found.
pub fn load(path: &Path) -> Result<DaemonSettings, SettingsError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    parse(path, &text)
}

/// Reads and checks settings from `text`; `path` is only named in errors.
///
/// # Errors
/// A `SettingsError` that names file, place and remedy of every problem found.
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
                let mended = mend(&mut lines, &problem);
                problems.push(problem);
                if !mended || problems.len() >= MAX_PROBLEMS {
                    break;
                }
            }
        }
    }
    RefusedSnafu { path, problems }.fail()
}

fn describe_error(error: &serde_saphyr::Error, lines: &SettingsLines) -> SettingsProblem {
    let place = error.location();
    let (line, column) = place.map_or((0, 0), |place| (place.line(), place.column()));
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

/// Makes the text parse beyond `problem`; `false` when that would only invent further problems.
fn mend(lines: &mut SettingsLines, problem: &SettingsProblem) -> bool {
    let (line, column, detail) = (problem.line, problem.column, problem.detail.as_str());
    if detail.starts_with("unknown field") {
        return lines.remove_entry(line, column);
    }
    let stand_in = if detail.contains("socket address") {
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
    lines.replace_value(line, column, stand_in)
}

//! Reading settings and refusing what does not fit.

use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu, ensure};

use super::DaemonSettings;

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
    /// A key is unknown or a value does not fit.
    #[snafu(display("settings file {}, line {line}, column {column}: {detail}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Line, from one.
        line: u64,
        /// Column, from one.
        column: u64,
        /// What is wrong and what is expected.
        detail: String,
    },
    /// The values do not fit together.
    #[snafu(display("settings file {}, key {key}: {remedy}", path.display()))]
    Inconsistent {
        /// The file.
        path: PathBuf,
        /// The key concerned.
        key: &'static str,
        /// What to do about it.
        remedy: &'static str,
    },
}

/// Loads and checks the settings in `path`.
///
/// # Errors
/// A `SettingsError` that names file, place and remedy.
pub fn load(path: &Path) -> Result<DaemonSettings, SettingsError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    parse(path, &text)
}

/// Reads and checks settings from `text`; `path` is only named in errors.
///
/// # Errors
/// A `SettingsError` that names file, place and remedy.
pub fn parse(path: &Path, text: &str) -> Result<DaemonSettings, SettingsError> {
    let settings: DaemonSettings = serde_saphyr::from_str(text).map_err(|error| {
        let location = error.location();
        SettingsError::Malformed {
            path: path.to_owned(),
            line: location.map_or(0, |place| place.line()),
            column: location.map_or(0, |place| place.column()),
            detail: error.without_snippet().to_string(),
        }
    })?;
    check(path, &settings)?;
    Ok(settings)
}

fn check(path: &Path, settings: &DaemonSettings) -> Result<(), SettingsError> {
    let has_role =
        settings.entry.is_some() || settings.control.is_some() || settings.agent.is_some();
    ensure!(
        has_role,
        InconsistentSnafu {
            path,
            key: "entry",
            remedy: "name at least one of entry, control, agent"
        }
    );
    ensure!(
        !settings.cluster.control.is_empty(),
        InconsistentSnafu { path, key: "cluster.control", remedy: "list the control hosts" }
    );
    ensure!(
        settings.cluster.token.len() >= 8,
        InconsistentSnafu {
            path,
            key: "cluster.token",
            remedy: "use a secret of 8 or more characters"
        }
    );
    if let Some(control) = &settings.control {
        ensure!(
            control.operator.ip().is_loopback() || control.operator_token.is_some(),
            InconsistentSnafu {
                path,
                key: "control.operator_token",
                remedy: "set a token, or let the operator port listen on loopback",
            }
        );
        ensure!(
            settings.cluster.control.iter().any(|peer| peer.node == settings.node),
            InconsistentSnafu {
                path,
                key: "cluster.control",
                remedy: "list this node among the control hosts, or leave the control role out",
            }
        );
    }
    Ok(())
}

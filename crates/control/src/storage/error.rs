//! Why a data folder cannot be used.

use std::path::PathBuf;

use snafu::Snafu;

/// Why a data folder cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StorageError {
    /// Another process holds the folder.
    #[snafu(display(
        "data folder {} is in use; stop the other process or name another folder", path.display()
    ))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// The system refused a read, write or sync.
    #[snafu(display(
        "{}: cannot {action}: {source}; free space or replace the disk, then start again",
        path.display()
    ))]
    System {
        /// The file or folder.
        path: PathBuf,
        /// What was tried.
        action: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file holds something else than was synced.
    #[snafu(display(
        "{} is damaged at byte {offset}: {detail}; move the whole folder aside and start with an \
         empty one, the other control hosts bring it up to date",
        path.display()
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage begins.
        offset: u64,
        /// What is wrong.
        detail: String,
    },
    /// The folder belongs to another control host.
    #[snafu(display(
        "data folder {} belongs to node {found}, not {expected}; correct `node` or `data_folder`",
        path.display()
    ))]
    OtherNode {
        /// The folder.
        path: PathBuf,
        /// Node that it belongs to.
        found: String,
        /// Node of the settings.
        expected: String,
    },
    /// The control hosts are not those that founded the log.
    #[snafu(display(
        "data folder {} was made for the control hosts {found}, the settings name {expected}; \
         keep the names (an address may change)",
        path.display()
    ))]
    OtherMembers {
        /// The folder.
        path: PathBuf,
        /// Control hosts of the folder.
        found: String,
        /// Control hosts of the settings.
        expected: String,
    },
    /// An earlier write failed.
    #[snafu(display("an earlier write to {} failed; start the process again", path.display()))]
    Failed {
        /// The folder.
        path: PathBuf,
    },
    /// There is nothing to read.
    #[snafu(display("{} is no data folder; check the path", path.display()))]
    Missing {
        /// The folder.
        path: PathBuf,
    },
}

impl StorageError {
    /// Whether what the folder holds cannot be used. Otherwise it may open later as it is.
    pub fn is_unusable_contents(&self) -> bool {
        match self {
            Self::Damaged { .. } | Self::OtherNode { .. } | Self::OtherMembers { .. } => true,
            Self::Locked { .. }
            | Self::System { .. }
            | Self::Failed { .. }
            | Self::Missing { .. } => false,
        }
    }
}

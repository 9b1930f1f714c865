//! Errors of the data folder.

use std::path::PathBuf;

use snafu::Snafu;

/// Why a data folder cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StorageError {
    /// Another process has locked the folder.
    #[snafu(display(
        "data folder {} is in use; stop the other process or configure another folder",
        path.display()
    ))]
    Locked {
        /// The data folder.
        path: PathBuf,
    },
    /// A file operation failed.
    #[snafu(display(
        "{}: cannot {action}: {source}; free space or replace the disk, then restart the process",
        path.display()
    ))]
    System {
        /// File or folder of the operation.
        path: PathBuf,
        /// The operation that failed.
        action: &'static str,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The contents of a file differ from what was synced.
    #[snafu(display(
        "{} is damaged at byte {offset}: {detail}; move the whole folder aside and start with an \
         empty one; the other control hosts replicate the log to it",
        path.display()
    ))]
    Damaged {
        /// The damaged file.
        path: PathBuf,
        /// Byte offset at which the damage begins.
        offset: u64,
        /// Description of the damage.
        detail: String,
    },
    /// The folder belongs to another control host.
    #[snafu(display(
        "data folder {} belongs to node {found}, not {expected}; correct `node` or `data_folder`",
        path.display()
    ))]
    OtherNode {
        /// The data folder.
        path: PathBuf,
        /// Node name in the folder.
        found: String,
        /// Node name in the settings.
        expected: String,
    },
    /// The folder was created for a different set of control hosts.
    #[snafu(display(
        "data folder {} was created for the control hosts {found}, but the settings name \
         {expected}; restore the names (addresses may change)",
        path.display()
    ))]
    OtherMembers {
        /// The data folder.
        path: PathBuf,
        /// Control hosts in the folder.
        found: String,
        /// Control hosts in the settings.
        expected: String,
    },
    /// An earlier write failed, so the folder accepts no more writes.
    #[snafu(display("an earlier write to {} failed; restart the process", path.display()))]
    Failed {
        /// The data folder.
        path: PathBuf,
    },
    /// The path contains no data folder.
    #[snafu(display("{} contains no data folder; check the path", path.display()))]
    Missing {
        /// The path.
        path: PathBuf,
    },
}

impl StorageError {
    /// Whether the contents make the folder unusable; after other errors it may open unchanged
    /// later.
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

//! Reading declarations that the control hosts agreed on.

use briartray_fleet::deployment::{DeploymentPlan, PlanError};
use briartray_fleet::state::{StoredPlan, UnpackError};
use snafu::{ResultExt, Snafu};

/// Why an accepted declaration cannot be used.
#[derive(Debug, Snafu)]
pub(crate) enum StoredProblem {
    /// It does not unpack.
    #[snafu(display("{source}"))]
    Packed {
        /// What is wrong.
        source: UnpackError,
    },
    /// Its text is no declaration, though it was checked when it was accepted.
    #[snafu(display("{source}"))]
    Text {
        /// What is wrong.
        source: PlanError,
    },
}

/// The declaration in `stored`.
///
/// # Errors
/// A `StoredProblem`; the declaration must not be used then.
pub(crate) fn read_stored(stored: &StoredPlan) -> Result<DeploymentPlan, StoredProblem> {
    let text = stored.text().context(PackedSnafu)?;
    briartray_platform::read_plan(&text).context(TextSnafu)
}

//! Decoding of deployment plans from the replicated state.

use briartray_fleet::deployment::{DeploymentPlan, PlanError};
use briartray_fleet::state::{StoredPlan, UnpackError};
use snafu::{ResultExt, Snafu};

/// Reason why an accepted deployment plan cannot be used.
#[derive(Debug, Snafu)]
pub(crate) enum StoredPlanError {
    /// The plan cannot be unpacked.
    #[snafu(display("{source}"))]
    Packed {
        /// Underlying error.
        source: UnpackError,
    },
    /// The plan text is invalid, although it was validated when it was accepted.
    #[snafu(display("{source}"))]
    Text {
        /// Underlying error.
        source: PlanError,
    },
}

/// Decodes the deployment plan in `stored_plan`.
///
/// # Errors
/// A [`StoredPlanError`]; the plan must not be used.
pub(crate) fn read_stored_plan(
    stored_plan: &StoredPlan,
) -> Result<DeploymentPlan, StoredPlanError> {
    let text = stored_plan.text().context(PackedSnafu)?;
    briartray_platform::read_plan(&text).context(TextSnafu)
}

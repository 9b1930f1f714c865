//! The process for deployments whose endpoints register with the control hosts by heartbeat. It
//! runs the entry role, which serves callers, the control role, or both, and provides the threads,
//! sockets and storage around the decision logic in `briartray-fleet`.

mod control;
mod entry;
mod metrics_port;
mod process;
mod settings;
mod stored_plan;

pub use control::{ControlProcess, FileSource};
pub use entry::EntryProcess;
pub use process::{ProcessError, RoleFailure, run};
pub use settings::{
    ControlRole, DeploymentLimits, EntryOverload, EntryRole, GatewaySettings, SettingsError, load,
};

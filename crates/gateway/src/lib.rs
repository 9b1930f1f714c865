//! The processes of a deployment whose endpoints announce themselves: entries before callers and
//! control hosts, with the input and output around the decisions of `briartray-fleet`.

mod control;
mod entry;
mod metrics_port;
mod process;
mod settings;
mod stored;

pub use control::{ControlProcess, FileSource};
pub use entry::EntryProcess;
pub use process::{ProcessError, RoleFailure, run};
pub use settings::{
    ControlRole, DeploymentLimits, EntryRole, GatewaySettings, SettingsError, load,
};

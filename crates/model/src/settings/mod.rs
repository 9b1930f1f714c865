//! Settings of one process, read from a YAML file.

mod build;
mod constraints;
mod lines;
mod load;
mod problem;
mod types;

pub use load::{SettingsError, load, parse};
pub use problem::SettingsProblem;
pub use types::{
    AgentSettings, ClusterSettings, ControlPeer, ControlSettings, DaemonSettings, EndpointKind,
    EndpointSettings, EntrySettings, LogSettings, StopSettings, TraceSettings, UnconfirmedPolicy,
};

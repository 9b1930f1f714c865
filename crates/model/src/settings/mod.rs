//! Settings of one process, read from a YAML file.

mod build;
mod lines;
mod load;
mod problem;
mod rules;
mod types;

pub use load::{SettingsError, load, parse};
pub use problem::SettingsProblem;
pub use types::{
    AgentSettings, ClusterSettings, ControlPeer, ControlSettings, DaemonSettings, EndpointKind,
    EndpointSettings, EntrySettings, LogSettings, StopSettings, TraceSettings, UnconfirmedPolicy,
};

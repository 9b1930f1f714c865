//! Settings of one process, read from a YAML file.

mod load;
mod types;

pub use load::{SettingsError, load, parse};
pub use types::{
    AgentSettings, ClusterSettings, ControlPeer, ControlSettings, DaemonSettings, EndpointKind,
    EndpointSettings, EntrySettings, LogSettings, StopSettings, TraceSettings, UnconfirmedPolicy,
};

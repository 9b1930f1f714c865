//! The processes of a deployment whose endpoints announce themselves: entries before callers and
//! control hosts, with the input and output around the decisions of `briartray-fleet`.

mod control;
mod entry;
mod http;
mod process;
mod settings;

pub use process::{ProcessError, run};
pub use settings::{GatewaySettings, SettingsError, load};

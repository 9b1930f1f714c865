//! Small stand-ins for what briartray serves, for demonstrations, tests and measurements: a model
//! engine, a plain service, a weight store, and load against an entry.

pub mod engine;
pub mod fault;
pub mod group_host;
pub mod load;
mod ports;
pub mod runs;
pub mod service;
mod text;
pub mod weights;

pub use ports::{free_address, free_addresses};
pub use text::{expected_text, prompt_digest, token_text};

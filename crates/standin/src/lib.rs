//! Stand-ins for the systems that briartray works with, for demonstrations, tests and
//! measurements: a model engine, a plain service, a weight store and an endpoint that serves in
//! groups. It also contains a load generator for an entry.

pub mod engine;
pub mod fault;
pub mod group_host;
pub mod load;
mod ports;
pub mod runs;
pub mod service;
mod text;
pub mod weights;

pub use ports::{free_address, free_addresses, free_port};
pub use text::{expected_text, prompt_digest, token_text};

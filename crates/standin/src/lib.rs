//! Small stand-ins for what briartray serves, for demonstrations, tests and measurements.

pub mod engine;
mod text;

pub use text::{expected_text, token_text};

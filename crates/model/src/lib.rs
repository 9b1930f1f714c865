//! Types shared by every briartray package: names, time, rules, settings and the messages that
//! briartray processes exchange. The only input or output done here is reading a settings file.

#[macro_use]
mod derives;

pub mod codec;
pub mod lease;
pub mod message;
pub mod names;
mod retry_after;
pub mod rules;
pub mod settings;
mod table;
mod time;

pub use retry_after::read_retry_after;
pub use table::SortedTable;
pub use time::TimePoint;

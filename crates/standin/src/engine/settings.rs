//! What a stand-in engine is told.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Time of one step, which yields one token for each request.
    pub step: Duration,
}

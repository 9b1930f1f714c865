//! A model engine over HTTP: OpenAI-style completions, as JSON or as an event stream.
//!
//! One thread steps a batch of requests, as real engines do, so that load shows as longer waits.
//! Besides completions it has these calls:
//!
//! - `GET /health`, `GET /load` (with a lag), `GET /cache/events?after=N` (late and with gaps)
//! - `GET /requests/ID?from=N` resumes a stream, `POST /requests/ID/cancel` cancels it
//! - `GET` and `PUT /kv/PREFIX` export and import the cached keys and values of a prefix
//! - `POST /orders` loads a model or adapter, changes version or role; `GET /orders` lists them
//! - `GET /stand-in/runs` and `POST /stand-in/faults` are for tests and measurements

mod answer;
mod api;
pub mod batch;
pub mod cache;
mod core;
mod manage;
pub mod orders;
mod settings;
mod track;

use std::net::SocketAddr;
use std::sync::Arc;

use briartray_web::{HttpListener, ListenError};

pub use self::core::EngineLoad;
use self::core::EngineShared;
pub use settings::EngineSettings;
pub use track::TrackEnd;

use crate::runs::RunLog;

/// Requests that one stand-in engine keeps open.
const MAX_OPEN: u32 = 8192;

/// A running stand-in engine.
pub struct StandinEngine {
    listener: HttpListener,
    shared: Arc<EngineShared>,
}

impl StandinEngine {
    /// Starts an engine.
    ///
    /// # Errors
    /// A `ListenError` when its address cannot be used.
    pub fn start(settings: EngineSettings) -> Result<Self, ListenError> {
        let address = settings.listen;
        let shared = EngineShared::start(settings)
            .map_err(|source| ListenError::Address { address, source })?;
        let calls = Arc::clone(&shared);
        let handler = Arc::new(move |request| api::handle(request, &calls));
        Ok(Self { listener: HttpListener::start(address, MAX_OPEN, handler)?, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// What it truly ran.
    pub fn runs(&self) -> &RunLog {
        &self.shared.runs
    }

    /// Takes no more requests and ends those that run without a whole answer.
    pub fn stop(&self) {
        self.listener.stop();
        self.shared.stop();
    }
}

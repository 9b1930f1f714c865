//! A model engine over HTTP: OpenAI-style completions, as JSON or as an event stream.
//!
//! As in real engines, one thread runs a batch of requests step by step, so that waiting times grow
//! with load. Besides completions it serves these calls:
//!
//! - `GET /health`, `GET /load` (delayed), `GET /cache/events?after=N` (delayed, with gaps)
//! - `GET /requests/ID?from=N` resumes a stream, `POST /requests/ID/cancel` cancels a request
//! - `GET` and `PUT /kv/PREFIX` export and import the cached keys and values of a prefix
//! - `POST /orders` loads a model or adapter, sets version or role; `GET /orders` lists orders
//! - `GET /stand-in/runs` and `POST /stand-in/faults` are for tests and measurements

mod answer;
mod api;
pub mod batch;
pub mod cache;
mod core;
mod manage;
pub mod orders;
mod settings;
mod tracked;

use std::net::SocketAddr;
use std::sync::Arc;

use briartray_web::{HttpListener, ListenError};

pub use self::core::EngineLoad;
use self::core::EngineShared;
pub use settings::EngineSettings;
pub use tracked::RequestEnd;

use crate::runs::RunLog;

/// Maximum number of open HTTP requests.
const MAX_OPEN_REQUESTS: u32 = 8192;

/// A running stand-in for a model engine.
pub struct StandinEngine {
    listener: HttpListener,
    shared: Arc<EngineShared>,
}

impl StandinEngine {
    /// Starts the engine thread and the HTTP listener.
    ///
    /// # Errors
    /// A `ListenError` if the thread or the listener cannot be started.
    pub fn start(settings: EngineSettings) -> Result<Self, ListenError> {
        let address = settings.listen;
        let shared = EngineShared::start(settings)
            .map_err(|source| ListenError::Address { address, source })?;
        let handler_shared = Arc::clone(&shared);
        let handler = Arc::new(move |request| api::handle(request, &handler_shared));
        Ok(Self { listener: HttpListener::start(address, MAX_OPEN_REQUESTS, handler)?, shared })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the log of the requests that it ran.
    pub fn runs(&self) -> &RunLog {
        &self.shared.runs
    }

    /// Stops accepting requests and ends running ones with an incomplete answer.
    pub fn stop(&self) {
        self.listener.stop();
        self.shared.stop();
    }
}

//! A model engine over HTTP: OpenAI-style completions, as JSON or as an event stream.

mod api;
mod settings;

use std::net::SocketAddr;
use std::sync::Arc;

use briartray_web::{HttpListener, ListenError};

pub use settings::EngineSettings;

/// Requests that one stand-in engine keeps open.
const MAX_OPEN: u32 = 4096;

/// A running stand-in engine.
pub struct StandinEngine {
    listener: HttpListener,
}

impl StandinEngine {
    /// Starts an engine.
    ///
    /// # Errors
    /// A `ListenError` when its address cannot be used.
    pub fn start(settings: EngineSettings) -> Result<Self, ListenError> {
        let listen = settings.listen;
        let settings = Arc::new(settings);
        let handler = Arc::new(move |request| api::handle(request, &settings));
        Ok(Self { listener: HttpListener::start(listen, MAX_OPEN, handler)? })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Takes no more requests.
    pub fn stop(&self) {
        self.listener.stop();
    }
}

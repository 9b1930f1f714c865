//! A weight store that serves few loads at a time, each at a bounded rate.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use briartray_web::{HttpListener, JsonReply, ListenError, reply_json};
use serde_json::json;
use tiny_http::Request;

/// Requests that the store keeps open.
const MAX_OPEN: u32 = 1024;

/// Bytes sent at one time.
const PIECE_BYTES: usize = 64 * 1024;

/// Settings of a weight store, built step by step.
#[derive(Debug, Clone)]
pub struct WeightSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Loads served at one time; others wait.
    pub loads: usize,
    /// Bytes a second, over all loads.
    pub bytes_per_second: u64,
    /// Size of every weight file.
    pub file_bytes: usize,
}

impl WeightSettings {
    /// A store that listens on `listen`, with the defaults.
    pub fn new(listen: SocketAddr) -> Self {
        Self { listen, loads: 4, bytes_per_second: 8 << 20, file_bytes: 1 << 20 }
    }

    /// Sets how many loads are served at one time.
    #[must_use]
    pub fn loads(mut self, loads: usize) -> Self {
        self.loads = loads.max(1);
        self
    }

    /// Sets the rate over all loads.
    #[must_use]
    pub fn bytes_per_second(mut self, rate: u64) -> Self {
        self.bytes_per_second = rate.max(1);
        self
    }

    /// Sets the size of every weight file.
    #[must_use]
    pub fn file_bytes(mut self, bytes: usize) -> Self {
        self.file_bytes = bytes;
        self
    }
}

#[derive(Debug, Default)]
struct StoreState {
    active: usize,
    most_active: usize,
    served: u64,
    /// When the next byte may be sent.
    free_at: Option<Instant>,
}

struct StoreShared {
    settings: WeightSettings,
    state: Mutex<StoreState>,
    freed: Condvar,
}

/// A running weight store.
pub struct StandinWeights {
    listener: HttpListener,
    shared: Arc<StoreShared>,
}

impl StandinWeights {
    /// Starts a weight store.
    ///
    /// # Errors
    /// A `ListenError` when its address cannot be used.
    pub fn start(settings: WeightSettings) -> Result<Self, ListenError> {
        let listen = settings.listen;
        let shared =
            Arc::new(StoreShared { settings, state: Mutex::default(), freed: Condvar::new() });
        let calls = Arc::clone(&shared);
        let handler = Arc::new(move |request| handle(request, &calls));
        Ok(Self { listener: HttpListener::start(listen, MAX_OPEN, handler)?, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Loads served to their end.
    pub fn served(&self) -> u64 {
        self.shared.lock().served
    }

    /// Most loads that were served at one time.
    pub fn most_active(&self) -> usize {
        self.shared.lock().most_active
    }

    /// Takes no more requests.
    pub fn stop(&self) {
        self.listener.stop();
    }
}

impl StoreShared {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a place among the loads.
    fn enter(&self) {
        let full = |state: &mut StoreState| state.active >= self.settings.loads;
        let waited = self.freed.wait_while(self.lock(), full);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner);
        state.active += 1;
        state.most_active = state.most_active.max(state.active);
    }

    fn leave(&self, whole: bool) {
        let mut state = self.lock();
        state.active -= 1;
        state.served += u64::from(whole);
        self.freed.notify_one();
    }

    /// Waits until `bytes` may be sent.
    fn pace(&self, bytes: usize) {
        let rate = self.settings.bytes_per_second;
        let time = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let now = Instant::now();
        let mut state = self.lock();
        let start = state.free_at.map_or(now, |at| at.max(now));
        state.free_at = Some(start + time);
        drop(state);
        std::thread::sleep((start + time).saturating_duration_since(now));
    }
}

fn handle(request: Request, shared: &StoreShared) {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    if path.strip_prefix("/weights/").is_none_or(str::is_empty) {
        let state = shared.lock();
        let body = json!({ "served": state.served, "active": state.active });
        drop(state);
        return reply_json(request, &JsonReply::new(200, body));
    }
    shared.enter();
    let sent = send_file(request, shared);
    shared.leave(sent.is_ok());
    if let Err(error) = sent {
        log::debug!("a load broke off: {error}");
    }
}

fn send_file(request: Request, shared: &StoreShared) -> std::io::Result<()> {
    let size = shared.settings.file_bytes;
    let mut output: Box<dyn Write + Send> = request.into_writer();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: {size}\r\n\r\n"
    );
    output.write_all(head.as_bytes())?;
    let piece = [0_u8; PIECE_BYTES];
    let mut left = size;
    while left > 0 {
        let bytes = left.min(PIECE_BYTES);
        shared.pace(bytes);
        output.write_all(&piece[..bytes])?;
        left -= bytes;
    }
    output.flush()
}

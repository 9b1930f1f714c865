//! A weight store with bounded concurrency and a bandwidth limit shared by all loads.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use briartray_web::{HttpListener, JsonReply, ListenError, reply_json};
use serde_json::json;
use tiny_http::Request;

/// Maximum number of open HTTP requests.
const MAX_OPEN_REQUESTS: u32 = 1024;

/// Size of a write to a response, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Settings of a stand-in weight store, with builder methods.
#[derive(Debug, Clone)]
pub struct WeightSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of concurrent loads; others wait.
    pub loads: usize,
    /// Total bandwidth of all loads, in bytes per second.
    pub bytes_per_second: u64,
    /// Size of every weight file, in bytes.
    pub file_bytes: usize,
}

impl WeightSettings {
    /// Creates default settings for a store that listens on `listen`.
    pub fn new(listen: SocketAddr) -> Self {
        Self { listen, loads: 4, bytes_per_second: 8 << 20, file_bytes: 1 << 20 }
    }

    /// Sets the maximum number of concurrent loads, at least one.
    #[must_use]
    pub fn loads(mut self, loads: usize) -> Self {
        self.loads = loads.max(1);
        self
    }

    /// Sets the total bandwidth of all loads, in bytes per second, at least one.
    #[must_use]
    pub fn bytes_per_second(mut self, rate: u64) -> Self {
        self.bytes_per_second = rate.max(1);
        self
    }

    /// Sets the size of every weight file, in bytes.
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
    /// Time at which the next chunk may start.
    next_send: Option<Instant>,
}

struct StoreShared {
    settings: WeightSettings,
    state: Mutex<StoreState>,
    slot_freed: Condvar,
}

/// A running stand-in for a weight store.
pub struct StandinWeights {
    listener: HttpListener,
    shared: Arc<StoreShared>,
}

impl StandinWeights {
    /// Starts the HTTP listener.
    ///
    /// # Errors
    /// A `ListenError` if the address cannot be used.
    pub fn start(settings: WeightSettings) -> Result<Self, ListenError> {
        let listen = settings.listen;
        let shared =
            Arc::new(StoreShared { settings, state: Mutex::default(), slot_freed: Condvar::new() });
        let handler_shared = Arc::clone(&shared);
        let handler = Arc::new(move |request| handle(request, &handler_shared));
        Ok(Self { listener: HttpListener::start(listen, MAX_OPEN_REQUESTS, handler)?, shared })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the number of completed loads.
    pub fn served(&self) -> u64 {
        self.shared.lock().served
    }

    /// Returns the maximum number of loads that were active at the same time.
    pub fn most_active(&self) -> usize {
        self.shared.lock().most_active
    }

    /// Stops accepting requests.
    pub fn stop(&self) {
        self.listener.stop();
    }
}

impl StoreShared {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until fewer than `loads` loads are active, and starts one.
    fn acquire_slot(&self) {
        let full = |state: &mut StoreState| state.active >= self.settings.loads;
        let waited = self.slot_freed.wait_while(self.lock(), full);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner);
        state.active += 1;
        state.most_active = state.most_active.max(state.active);
    }

    fn release_slot(&self, complete: bool) {
        let mut state = self.lock();
        state.active -= 1;
        state.served += u64::from(complete);
        self.slot_freed.notify_one();
    }

    /// Reserves the time to send `bytes` at the total rate, and waits for its end.
    fn throttle(&self, bytes: usize) {
        let rate = self.settings.bytes_per_second;
        let time = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let now = Instant::now();
        let mut state = self.lock();
        let start = state.next_send.map_or(now, |at| at.max(now));
        state.next_send = Some(start + time);
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
    shared.acquire_slot();
    let sent = send_file(request, shared);
    shared.release_slot(sent.is_ok());
    if let Err(error) = sent {
        log::debug!("load ended before the file was sent: {error}");
    }
}

fn send_file(request: Request, shared: &StoreShared) -> std::io::Result<()> {
    let size = shared.settings.file_bytes;
    let mut output: Box<dyn Write + Send> = request.into_writer();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: {size}\r\n\r\n"
    );
    output.write_all(head.as_bytes())?;
    let chunk = [0_u8; CHUNK_BYTES];
    let mut remaining = size;
    while remaining > 0 {
        let bytes = remaining.min(CHUNK_BYTES);
        shared.throttle(bytes);
        output.write_all(&chunk[..bytes])?;
        remaining -= bytes;
    }
    output.flush()
}

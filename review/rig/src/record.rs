//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{seconds:8.3}  {}", text.as_ref());
        }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }
}

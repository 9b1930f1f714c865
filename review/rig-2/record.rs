//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The file `record.txt` of a case. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(format!("{folder}/record.txt")).expect("the record can be created");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record is usable");
        writeln!(file, "{seconds:8.3} {text}").expect("the record can be written");
    }
}

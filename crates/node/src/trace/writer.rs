//! Writes spans to a file as JSON lines, with rotation by size.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, Sender, bounded};
use opentelemetry::trace::{SpanId, Status};
use opentelemetry_sdk::trace::SpanData;
use serde_json::{Map, Value, json};

use crate::timestamp::format_utc;

/// Maximum number of spans that wait to be written.
const QUEUE_SPANS: usize = 8192;

/// Size above which the file is rotated; the previously rotated file is replaced.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

/// Maximum number of further spans written together with the first one.
const MAX_BATCH_SPANS: usize = 256;

/// Starts the thread that writes spans to `path`; it ends when the sender is dropped.
pub(super) fn start(path: &Path, node: &str) -> std::io::Result<Sender<SpanData>> {
    let file = open(path)?;
    let (sender, queue) = bounded(QUEUE_SPANS);
    let writer = SpanWriter { path: path.to_owned(), node: node.to_owned(), file };
    spawn_worker("spans", WORKER_STACK_BYTES, move || writer.run(&queue))?;
    Ok(sender)
}

fn open(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

struct SpanWriter {
    path: PathBuf,
    node: String,
    file: File,
}

impl SpanWriter {
    fn run(mut self, queue: &Receiver<SpanData>) {
        while let Ok(first) = queue.recv() {
            let more = queue.try_iter().take(MAX_BATCH_SPANS);
            let lines: String = std::iter::once(first).chain(more).map(|s| self.line(&s)).collect();
            // Whole lines in one write: processes that share the file do not interleave theirs.
            if let Err(error) = self.write(&lines) {
                log::warn!("spans lost in writing: {error}; free disk space or change trace.file");
            }
        }
    }

    fn write(&mut self, lines: &str) -> std::io::Result<()> {
        if self.file.metadata()?.len() > MAX_FILE_BYTES {
            std::fs::rename(&self.path, self.path.with_extension("old"))?;
            self.file = open(&self.path)?;
        }
        self.file.write_all(lines.as_bytes())
    }

    fn line(&self, span: &SpanData) -> String {
        let attributes: Map<String, Value> = span
            .attributes
            .iter()
            .map(|pair| (pair.key.to_string(), json!(pair.value.to_string())))
            .collect();
        let duration = span.end_time.duration_since(span.start_time).unwrap_or_default();
        let parent = Some(span.parent_span_id).filter(|id| *id != SpanId::INVALID);
        let failure = match &span.status {
            Status::Error { description } => Some(description.to_string()),
            _ => None,
        };
        let line = json!({
            "trace_id": span.span_context.trace_id().to_string(),
            "span_id": span.span_context.span_id().to_string(),
            "parent_span_id": parent.map(|id| id.to_string()),
            "name": span.name,
            "node": self.node,
            "start": format_utc(span.start_time),
            "duration_us": u64::try_from(duration.as_micros()).unwrap_or(u64::MAX),
            "error": failure,
            "attributes": attributes,
        });
        format!("{line}\n")
    }
}

//! Queues ended spans for the writer, so that no request waits for the disk.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam::channel::Sender;
use opentelemetry::Context;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{Span, SpanData, SpanProcessor};

/// Puts ended spans into a bounded queue; drops and counts them while the queue is full.
#[derive(Debug)]
pub(super) struct QueueProcessor {
    queue: Sender<SpanData>,
    dropped: Arc<AtomicU64>,
}

impl QueueProcessor {
    pub(super) fn new(queue: Sender<SpanData>, dropped: Arc<AtomicU64>) -> Self {
        Self { queue, dropped }
    }
}

impl SpanProcessor for QueueProcessor {
    fn on_start(&self, _span: &mut Span, _context: &Context) {}

    fn on_end(&self, span: SpanData) {
        if self.queue.try_send(span).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }
}

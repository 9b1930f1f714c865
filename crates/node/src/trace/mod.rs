//! Tracing: one span for each hop of a request, under the caller's trace id.
//!
//! The hops are `entry` (from the request's arrival to its answer), `link` (one attempt as seen by
//! the entry), `agent` (the attempt as seen by the agent) and `engine` (the call to the endpoint).
//! Each passes its context to the next, so the caller's `traceparent` reaches the endpoint.

mod processor;
mod scope;
mod span;
mod writer;

pub use scope::{TraceScope, current_trace};
pub use span::{HopSpan, SpanHop};

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use briartray_model::message::TraceContext;
use briartray_model::names::NodeName;
use briartray_model::settings::TraceSettings;
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};

use self::processor::QueueProcessor;

/// Instrumentation scope of the spans.
const SCOPE_NAME: &str = "briartray";

/// Creates the spans of one process.
#[derive(Debug, Clone, Default)]
pub struct TraceHub {
    tracer: Option<SdkTracer>,
    /// Held to keep the processor and its queue to the writer open.
    _provider: Option<SdkTracerProvider>,
    dropped: Arc<AtomicU64>,
}

impl TraceHub {
    /// Starts writing spans to the file in `settings`; without one, no spans are recorded.
    ///
    /// # Errors
    /// The file cannot be opened, or the writer thread cannot start.
    pub fn start(settings: &TraceSettings, node: &NodeName) -> std::io::Result<Self> {
        let Some(file) = &settings.file else { return Ok(Self::default()) };
        let dropped = Arc::new(AtomicU64::new(0));
        let queue = writer::start(file, node.as_str())?;
        let processor = QueueProcessor::new(queue, Arc::clone(&dropped));
        let provider = SdkTracerProvider::builder().with_span_processor(processor).build();
        let tracer = provider.tracer(SCOPE_NAME);
        Ok(Self { tracer: Some(tracer), _provider: Some(provider), dropped })
    }

    /// Number of spans dropped because the writer's queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Begins a span as a child of `parent`; a parent without a span id begins a new trace.
    pub fn span(&self, hop: SpanHop, parent: TraceContext) -> HopSpan {
        HopSpan::begin(self.tracer.as_ref(), hop, parent)
    }
}

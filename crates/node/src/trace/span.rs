//! One span of one hop.

use briartray_model::message::TraceContext;
use opentelemetry::trace::{
    Span, SpanBuilder, SpanContext, SpanId, SpanKind, Status, TraceContextExt, TraceFlags, TraceId,
    TraceState,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::trace::{SdkTracer, Span as SdkSpan};

use crate::new_span;

/// A hop of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpanHop {
    /// The whole request at the entry.
    Entry,
    /// One attempt as the entry sees it.
    Link,
    /// One attempt as the agent sees it.
    Agent,
    /// The call of the endpoint.
    Engine,
}

impl SpanHop {
    fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Link => "link",
            Self::Agent => "agent",
            Self::Engine => "engine",
        }
    }

    fn kind(self) -> SpanKind {
        match self {
            Self::Entry | Self::Agent => SpanKind::Server,
            Self::Link | Self::Engine => SpanKind::Client,
        }
    }
}

/// A span that ends when it is dropped.
#[derive(Debug)]
pub struct HopSpan {
    span: Option<SdkSpan>,
    context: TraceContext,
}

impl HopSpan {
    pub(super) fn begin(tracer: Option<&SdkTracer>, hop: SpanHop, parent: TraceContext) -> Self {
        let starts_trace = parent.span_id == 0;
        let span = tracer.filter(|_| parent.sampled || starts_trace).map(|tracer| {
            let builder = SpanBuilder::from_name(hop.name()).with_kind(hop.kind());
            builder.start_with_context(tracer, &parent_context(parent))
        });
        let context = match &span {
            Some(span) => read_context(span.span_context()),
            // Nothing is recorded here; others on the path may, under the same trace id.
            None if starts_trace => {
                TraceContext { trace_id: rand::random(), span_id: new_span(), sampled: false }
            }
            None => parent,
        };
        Self { span, context }
    }

    /// The identity that the next hop is handed.
    pub fn context(&self) -> TraceContext {
        self.context
    }

    /// Adds an attribute.
    pub fn set_attribute(&mut self, key: &'static str, value: impl ToString) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(key, value.to_string()));
        }
    }

    /// Marks the span as failed.
    pub fn fail(&mut self, detail: &str) {
        if let Some(span) = &mut self.span {
            span.set_status(Status::error(detail.to_owned()));
        }
    }
}

fn parent_context(parent: TraceContext) -> Context {
    if parent.span_id == 0 {
        return Context::new();
    }
    let flags = if parent.sampled { TraceFlags::SAMPLED } else { TraceFlags::NOT_SAMPLED };
    let remote = SpanContext::new(
        TraceId::from_bytes(parent.trace_id.to_be_bytes()),
        SpanId::from_bytes(parent.span_id.to_be_bytes()),
        flags,
        true,
        TraceState::default(),
    );
    Context::new().with_remote_span_context(remote)
}

fn read_context(context: &SpanContext) -> TraceContext {
    TraceContext {
        trace_id: u128::from_be_bytes(context.trace_id().to_bytes()),
        span_id: u64::from_be_bytes(context.span_id().to_bytes()),
        sampled: context.is_sampled(),
    }
}
